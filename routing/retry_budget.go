package routing

import (
	"sync"
	"time"
)

// Bounds are those of a retry budget. Without it, retries of a fleet that refuses work multiply the load on it.
type RetryBudgetConfig struct {
	// Ratio of the requests of the window that may be sent again, and MinRetries the number that always may.
	Ratio, MinRetries float64
	WindowSeconds     int
}

// DefaultBounds returns the usual bounds.
func DefaultRetryBudgetConfig() RetryBudgetConfig {
	return RetryBudgetConfig{Ratio: 0.1, MinRetries: 10, WindowSeconds: 10}
}

// Budget bounds retries and hedges to a share of the requests of a sliding window. It may be used by any goroutine.
type RetryBudget struct {
	config RetryBudgetConfig

	mu            sync.Mutex
	start         time.Time
	currentSecond int64
	// first and retries count sends by second. There is one second more than the window has, because the oldest one is only
	// partly in it: its retries still count, and its requests do not any more.
	requests, retries []int
}

// NewBudget returns a budget with no requests counted.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, requests: make([]int, c.WindowSeconds+1), retries: make([]int, c.WindowSeconds+1)}
}

// SetConfig changes the share and the floor; the window stays.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Ratio, b.config.MinRetries = config.Ratio, config.MinRetries
}

// Request counts a request that is sent for the first time.
func (b *RetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Retry takes one retry from the budget; false means that the request must not be sent again.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	requests, retries := 0, 0
	oldest := (i + 1) % len(b.requests)
	for j := range b.requests {
		if j != oldest {
			requests += b.requests[j]
		}
		retries += b.retries[j]
	}
	if float64(retries) >= b.config.Ratio*float64(requests)+b.config.MinRetries {
		return false
	}
	b.retries[i]++
	return true
}

// bucket returns the index of the present second and empties the buckets that have passed out of the window. Seconds are
// counted by the monotonic clock, because a step of the time of day would empty the budget or keep old sends in it.
func (b *RetryBudget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	n := int64(len(b.requests))
	s := int64(now.Sub(b.start) / time.Second)
	for elapsed := min(max(s-b.currentSecond, 0), n); elapsed > 0; elapsed-- {
		i := ((s-elapsed+1)%n + n) % n
		b.requests[i], b.retries[i] = 0, 0
	}
	b.currentSecond = max(b.currentSecond, s)
	return int(b.currentSecond % n)
}
