// Package routing chooses a replica for each request: it filters, scores and picks. A Picker is immutable. The counters
// that change with every request are atomics in the replicas, which are kept across pickers. The package does no I/O,
// and the time and the random number of a decision are arguments.
package routing

import (
	"fmt"
	"time"
)

// Target identifies the service, or the model with version and adapter, that a request is for. Either Model or Service
// is set.
type Target struct {
	Model, Service string
	// Version of the model. If it is empty, the default version is used, or any version if no replica of the default is
	// usable.
	Version string
	Adapter string
}

// Query describes one routing decision.
type Query struct {
	Target
	// Prompt is the part of the request that a prefix cache can reuse, or nil.
	Prompt []byte
	// Tried lists the replicas that must not be chosen again for this request.
	Tried []*Replica
	// Random seeds all random choices, which makes the decision reproducible.
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

// nextRandom returns the next random number of the decision. The generator is SplitMix64 (Steele, Lea and Flood, 2014).
func (q *Query) nextRandom() uint64 {
	q.Random += 0x9e3779b97f4a7c15
	return mix(q.Random)
}

// mix is the output function of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// uniformInt maps a random number to 0..n-1 by Lemire's multiplication method without rejection.
func uniformInt(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }

// uniformFloat maps a random number to [0, 1).
func uniformFloat(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// UnknownTargetError reports that no replica is configured for the target.
type UnknownTargetError struct{ Target Target }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no replica is configured for %+v", e.Target)
}

// NoReplicaError reports that replicas are configured for the target but none of them may receive the request.
type NoReplicaError struct {
	Target Target
	// Configured and Usable count replicas. Tried counts those that this request has already tried.
	Configured, Usable, Tried int
}

func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("none of %d replicas for %+v takes the request: %d usable, %d tried",
		e.Configured, e.Target, e.Usable, e.Tried)
}
