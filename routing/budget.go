package routing

import (
	"sync"
	"time"
)

// Bounds of the retry budget. Without it, retries of a fleet that refuses work multiply the load on it.
const (
	retryShare  = 0.1
	retryFloor  = 10
	retryWindow = 10 // seconds
)

// Budget bounds retries and hedges to a share of the requests of the last 10 s. It may be used by any
// goroutine.
type Budget struct {
	mu      sync.Mutex
	second  int64
	first   [retryWindow]int
	retries [retryWindow]int
}

// Request counts a request that is sent for the first time.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.bucket(now)]++
}

// Retry takes one retry from the budget; false means that the request must not be sent again.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.bucket(now)
	requests, retries := 0, 0
	for j := range b.first {
		requests += b.first[j]
		retries += b.retries[j]
	}
	if float64(retries) >= retryShare*float64(requests)+retryFloor {
		return false
	}
	b.retries[i]++
	return true
}

// bucket returns the index of the present second and empties the buckets that have passed out of the window.
func (b *Budget) bucket(now time.Time) int {
	s := now.Unix()
	for passed := min(max(s-b.second, 0), retryWindow); passed > 0; passed-- {
		i := (s - passed + 1) % retryWindow
		b.first[i], b.retries[i] = 0, 0
	}
	b.second = max(b.second, s)
	return int(b.second % retryWindow)
}
