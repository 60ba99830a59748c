package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// targetStats aggregates the load of all replicas of one model or service. An update takes constant time, so the cost
// of the mean does not depend on the number of replicas. It is kept across pickers.
type targetStats struct {
	inFlight atomic.Int64
	// prefixes is nil for a service, as its calls have no prompt.
	prefixes *PrefixCounter

	mu sync.Mutex
	// weightedSum / weight is the mean of the reported external loads, each weighted by decayWeight(age).
	weightedSum, weight float64
	updatedAt           time.Time
}

// observe adds a report of the external load of one replica.
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

// meanExternalLoad returns the mean load caused by other processes, 0 before the first report.
func (s *targetStats) meanExternalLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weight == 0 {
		return 0
	}
	return s.weightedSum / s.weight
}
