// Package admission decides which request a backend server runs next, which wait and which are refused.
//
// Queue holds the decision logic. It does no I/O, takes no locks and starts no goroutines; the caller passes
// the time as the duration since a fixed start on a monotonic clock. Gate is the concurrent wrapper that a
// side process uses.
//
// PolicyName selects the order of waiting work. "fair" serves kinds by level and age, and the customers of one kind
// by start-time fair queueing (Goyal, Vin and Cheng, 1996). "fifo" and "priority" are baselines.
package admission
