package replicaserver

import (
	"time"
)

// Cold describes a replica that is cold.
type Cold struct {
	// Ms is how long the replica is cold from the time at which this is set, 0 for never.
	Ms int64 `json:"ms"`
	// PerSecond is the rate of requests that it can handle. With more than PerSecond x 1.5 + 5 requests in one second
	// it crashes: the fault Down is set.
	PerSecond float64 `json:"per_second"`
}

// coldLeft returns how much longer the replica is cold. The caller holds the lock.
func (r *Replica) coldLeft(now time.Time) time.Duration {
	return max(r.coldUntil.Sub(now), 0)
}

// observeRequest counts a request and sets the fault Down if there are too many for a cold replica.
func (r *Replica) observeRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coldLeft(now) == 0 {
		r.recent = nil
		return
	}
	for len(r.recent) > 0 && now.Sub(r.recent[0]) > time.Second {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, now)
	if float64(len(r.recent)) > 1.5*r.faults.Cold.PerSecond+5 {
		r.faults.Down = true
	}
}
