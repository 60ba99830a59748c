package limit

import (
	"time"
)

// AcquireOptions says for how long and with which right a request waits for a place.
type AcquireOptions struct {
	// MaxOnTimeWait is how long the request may wait so that its first event still comes within the objective; not positive when
	// that is not possible any more.
	MaxOnTimeWait time.Duration
	// MaxWait is how long it may wait so that its answer still ends within the caller's time.
	MaxWait time.Duration
	// TargetGap is the longest pause between events with which the answer is on time, 0 for none.
	TargetGap time.Duration
	// IsRetry says that the caller has been refused before and has come back.
	IsRetry bool
	// isMove says that the stream has begun in another group, and that its caller waits for the next event.
	isMove bool
}

// retryYieldTime is how long a caller that has come back lets those in time go first. Without a bound, callers that were refused
// in a crest would be refused again for as long as new ones come.
const retryYieldTime = 700 * time.Millisecond

// waiter is a request that waits for a place.
type waiter struct {
	// admitted receives the group of the place, nil when the request is refused because no group serves any more.
	admitted chan *group
	// onTimeUntil is the latest time at which the request goes before those that are late, zero for one that is late itself.
	onTimeUntil time.Time
	// arrived orders the late ones.
	arrived time.Time
	// excluded is a group in which the request must not run again.
	excluded  string
	targetGap time.Duration
	// isRetry says that the caller has no further try, isMove that the stream has begun elsewhere.
	isRetry, isMove bool
	done            bool
}

// newWaiter returns the waiter of a request that arrives now.
func newWaiter(opts AcquireOptions, now time.Time) *waiter {
	w := &waiter{admitted: make(chan *group, 1), arrived: now, targetGap: opts.TargetGap, isRetry: opts.IsRetry, isMove: opts.isMove}
	switch {
	case opts.MaxOnTimeWait > 0:
		w.onTimeUntil = now.Add(opts.MaxOnTimeWait)
	case opts.IsRetry:
		w.onTimeUntil = now.Add(retryYieldTime)
	}
	return w
}

// Classes of waiting requests, in the order in which they get places.
const (
	classMove = iota
	classOnTime
	classLate
)

// class returns the class of the request. One that was in time becomes late by waiting.
func (w *waiter) class(now time.Time) int {
	switch {
	case w.isMove:
		return classMove
	case now.Before(w.onTimeUntil):
		return classOnTime
	}
	return classLate
}

// before says whether a request gets a place before another: streams that have begun in another group first, then those that can
// still be in time, by the time that is left to them, then the late ones; otherwise in order of arrival.
func (w *waiter) before(other *waiter, now time.Time) bool {
	a, b := w.class(now), other.class(now)
	switch {
	case a != b:
		return a < b
	case a == classOnTime:
		return w.onTimeUntil.Before(other.onTimeUntil)
	}
	return w.arrived.Before(other.arrived)
}

// nextWaiter returns the index of the request that gets the nextWaiter place in a group, -1 if there is none.
func nextWaiter(waiting []*waiter, group string, now time.Time) int {
	best := -1
	for i, w := range waiting {
		if w.excluded != "" && w.excluded == group {
			continue
		}
		if best < 0 || w.before(waiting[best], now) {
			best = i
		}
	}
	return best
}
