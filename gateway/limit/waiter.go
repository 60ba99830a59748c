package limit

import (
	"cmp"
	"time"
)

// AcquireOptions bounds how long a request waits for a permit, and sets its precedence.
type AcquireOptions struct {
	// MaxOnTimeWait is the longest wait after which the first event can still meet the route's objective. It is 0 or
	// negative when that is no longer possible.
	MaxOnTimeWait time.Duration
	// MaxWait is the longest wait after which the response can still end within the caller's deadline.
	MaxWait time.Duration
	// TargetGap is the target for the longest gap between two events of the stream, 0 for none.
	TargetGap time.Duration
	// IsRetry is set when the caller was refused before and retries.
	IsRetry bool
	// Priority is the priority of the request, 0 to 9; 0 is the most urgent.
	Priority int
	// AllowedGroups holds the names of the groups in which the request may run, nil for all. It must not be modified.
	AllowedGroups map[string]bool
	// isMove is set when the stream has started in another group, and its caller waits for the next event.
	isMove bool
}

// retryYieldTime is how long a retry yields to requests that can be on time. Without a bound, callers refused during a
// traffic peak would be refused again for as long as new requests arrive.
const retryYieldTime = 700 * time.Millisecond

// waiter is a request that waits for a permit.
type waiter struct {
	// admitted receives the group of the permit, or nil if the request is refused.
	admitted chan *group
	// onTimeUntil is the time until which the request has precedence over late ones, zero for a request that is late on
	// arrival and no retry.
	onTimeUntil time.Time
	// lateOnArrival is set if the request could not be on time even without a wait.
	lateOnArrival bool
	// arrived orders late requests.
	arrived time.Time
	// filter tells in which groups the request may run.
	filter    groupFilter
	targetGap time.Duration
	// isRetry, isMove and priority are as in AcquireOptions.
	isRetry, isMove bool
	priority        int
	// waitsUntil is the time until which the request may wait.
	waitsUntil time.Time
	// refusal is why a request was refused while it waited, nil if no group was usable.
	refusal *RefusedError
	// done is set once the request has left the queue.
	done bool
}

// newWaiter returns the waiter of a request that arrives now.
func newWaiter(opts AcquireOptions, now time.Time) *waiter {
	w := &waiter{
		admitted: make(chan *group, 1), lateOnArrival: opts.MaxOnTimeWait <= 0, arrived: now, targetGap: opts.TargetGap,
		isRetry: opts.IsRetry, isMove: opts.isMove, priority: clampPriority(opts.Priority),
		waitsUntil: now.Add(max(opts.MaxWait, opts.MaxOnTimeWait)),
	}
	switch {
	case opts.MaxOnTimeWait > 0:
		w.onTimeUntil = now.Add(opts.MaxOnTimeWait)
	case opts.IsRetry:
		w.onTimeUntil = now.Add(retryYieldTime)
	}
	return w
}

// isLate reports whether the stream can no longer be on time.
func (w *waiter) isLate(now time.Time) bool { return w.lateOnArrival || !now.Before(w.onTimeUntil) }

// Classes of waiting requests, in the order in which they get permits.
const (
	classMove = iota
	classOnTime
	classLate
)

// class returns the class of the request. A request that can be on time becomes late while it waits.
func (w *waiter) class(now time.Time) int {
	switch {
	case w.isMove:
		return classMove
	case now.Before(w.onTimeUntil):
		return classOnTime
	}
	return classLate
}

// compareByTime orders waiting requests without regard to priorities. Streams that have started in another group go
// first, then requests that can be on time, by the time left to them, then late requests. Otherwise the order of arrival
// decides.
func compareByTime(a, b *waiter, now time.Time) int {
	if c := cmp.Compare(a.class(now), b.class(now)); c != 0 {
		return c
	}
	if a.class(now) == classOnTime {
		return a.onTimeUntil.Compare(b.onTimeUntil)
	}
	return a.arrived.Compare(b.arrived)
}

// first returns the index of the first eligible request in an order, -1 if there is none.
func first(waiting []*waiter, eligible func(*waiter) bool, compare func(a, b *waiter, now time.Time) int, now time.Time) int {
	best := -1
	for i, w := range waiting {
		if eligible(w) && (best < 0 || compare(w, waiting[best], now) < 0) {
			best = i
		}
	}
	return best
}
