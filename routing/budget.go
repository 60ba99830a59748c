package routing

import (
	"sync"
	"time"
)

// Bounds are those of a retry budget. Without it, retries of a fleet that refuses work multiply the load on it.
type Bounds struct {
	// Share of the requests of the window that may be sent again, and Floor the number that always may.
	Share, Floor  float64
	WindowSeconds int
}

// DefaultBounds returns the usual bounds.
func DefaultBounds() Bounds { return Bounds{Share: 0.1, Floor: 10, WindowSeconds: 10} }

// Budget bounds retries and hedges to a share of the requests of a sliding window. It may be used by any goroutine.
type Budget struct {
	bounds Bounds

	mu     sync.Mutex
	start  time.Time
	second int64
	// first and retries count sends by second. There is one second more than the window has, because the oldest one is only
	// partly in it: its retries still count, and its requests do not any more.
	first, retries []int
}

// NewBudget returns a budget with no requests counted.
func NewBudget(b Bounds) *Budget {
	return &Budget{bounds: b, first: make([]int, b.WindowSeconds+1), retries: make([]int, b.WindowSeconds+1)}
}

// SetBounds changes the share and the floor; the window stays.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds.Share, b.bounds.Floor = bounds.Share, bounds.Floor
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
	oldest := (i + 1) % len(b.first)
	for j := range b.first {
		if j != oldest {
			requests += b.first[j]
		}
		retries += b.retries[j]
	}
	if float64(retries) >= b.bounds.Share*float64(requests)+b.bounds.Floor {
		return false
	}
	b.retries[i]++
	return true
}

// bucket returns the index of the present second and empties the buckets that have passed out of the window. Seconds are
// counted by the monotonic clock, because a step of the time of day would empty the budget or keep old sends in it.
func (b *Budget) bucket(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	n := int64(len(b.first))
	s := int64(now.Sub(b.start) / time.Second)
	for passed := min(max(s-b.second, 0), n); passed > 0; passed-- {
		i := ((s-passed+1)%n + n) % n
		b.first[i], b.retries[i] = 0, 0
	}
	b.second = max(b.second, s)
	return int(b.second % n)
}
