// Package routing chooses a replica for each request: filter, score, pick. A Picker is immutable; the counts
// that change with every request are atomics in the replicas, which outlive the pickers. Nothing here does I/O,
// and the time and the random number of a decision are arguments.
package routing

import (
	"fmt"
	"time"
)

// Target names what a request needs. Model or Service is set.
type Target struct {
	Model, Service string
	// Version of the model, or empty for the default version where it is available and any other elsewhere.
	Version string
	Adapter string
}

// Query is one decision to make.
type Query struct {
	Target
	// Prompt is the part of the request that a prefix cache can share, or nil.
	Prompt []byte
	// Tried lists replicas that must not be chosen again for this request.
	Tried []*Replica
	// Random decides all draws, so that a decision can be repeated.
	Random uint64
	Now    time.Time
}

func (q *Query) tried(r *Replica) bool {
	for _, t := range q.Tried {
		if t == r {
			return true
		}
	}
	return false
}

// draw returns the next random number of the decision; SplitMix64 by Steele, Lea and Flood.
func (q *Query) nextRandom() uint64 {
	q.Random += 0x9e3779b97f4a7c15
	return mix(q.Random)
}

func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below returns a number from 0 to n-1 for a random number; multiplication method of Lemire without rejection.
func uniformInt(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }

// unit returns a number in [0, 1) for a random number.
func uniformFloat(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// UnknownTargetError says that no replica is configured for the target.
type UnknownTargetError struct{ Target Target }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no replica is configured for %+v", e.Target)
}

// NoReplicaError says that replicas are configured for the target but none may get the request.
type NoReplicaError struct {
	Target Target
	// Configured and Usable count replicas; Tried those that this request has used up.
	Configured, Usable, Tried int
}

func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("none of %d replicas for %+v takes the request: %d usable, %d tried",
		e.Configured, e.Target, e.Usable, e.Tried)
}
