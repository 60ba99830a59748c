package routing

import (
	"sync"
	"time"
)

// RetryBudgetConfig configures a RetryBudget. Without a budget, retries multiply the load on a fleet that refuses
// requests.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per request in the window. MinRetries more are allowed in the window
	// regardless of the number of requests.
	Ratio, MinRetries float64
	WindowSeconds     int
}

// DefaultRetryBudgetConfig returns the default configuration.
func DefaultRetryBudgetConfig() RetryBudgetConfig {
	return RetryBudgetConfig{Ratio: 0.1, MinRetries: 10, WindowSeconds: 10}
}

// RetryBudget limits retries and hedges to a ratio of the requests in a sliding window. It is safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig

	mu            sync.Mutex
	start         time.Time
	currentSecond int64
	// requests and retries are ring buffers of the first attempts and retries per second. They hold one second more
	// than the window, because the window includes only part of the oldest second. The retries of that second still
	// count and its requests do not, so that the limit holds in every interval of the window's length.
	requests, retries []int
}

// NewRetryBudget returns a budget with no requests counted.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, requests: make([]int, c.WindowSeconds+1), retries: make([]int, c.WindowSeconds+1)}
}

// SetConfig changes the ratio and the minimum. The window length does not change.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Ratio, b.config.MinRetries = config.Ratio, config.MinRetries
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TryRetry takes one retry from the budget. If it returns false, the request must not be retried.
func (b *RetryBudget) TryRetry(now time.Time) bool {
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

// advance returns the index of the current second and clears the seconds that have left the window. It uses the
// monotonic clock, because a step of the wall clock would clear the budget or keep old attempts in it.
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
