package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// loads is what a process knows of the load of all replicas of one model or service. Keeping it needs one step
// per request, so that the mean costs the same for any number of replicas. It outlives the pickers.
type targetStats struct {
	inFlight atomic.Int64
	// prefixes is nil for a service, whose calls have no prompt.
	prefixes *PrefixCounter

	mu sync.Mutex
	// sum and weight make the mean of reported loads, weighted by fade(age).
	weightedSum, weight float64
	updatedAt           time.Time
}

// observe takes the load that others cause at one replica.
func (s *targetStats) observe(now time.Time, external float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.updatedAt) {
		f := decayWeight(now.Sub(s.updatedAt))
		s.weightedSum *= f
		s.weight *= f
		s.updatedAt = now
	}
	s.weightedSum += external
	s.weight++
}

// others returns the mean load that other processes cause, 0 before the first report.
func (s *targetStats) meanExternalLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weight == 0 {
		return 0
	}
	return s.weightedSum / s.weight
}
