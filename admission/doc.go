// Package admission implements admission control for a backend server: it decides which request runs next, which
// ones wait and which are refused.
//
// Queue holds the decision logic. It does no I/O, takes no locks and starts no goroutines; the caller passes
// the time as the duration since a fixed start on a monotonic clock. Gate is the wrapper for concurrent use in a
// sidecar.
//
// PolicyName selects the queueing discipline. "fair" serves request kinds by priority with aging, and the customers
// within a kind by start-time fair queueing (Goyal, Vin and Cheng, 1996). "fifo" and "priority" are baselines.
package admission
