// Package limit bounds the streams that a process has at one group of model engines, where every stream slows all
// others. The bound follows the pauses between events that the process sees in its own streams, so processes that share
// a group need not tell each other anything: all see the same pauses. It does no I/O.
package limit

import (
	"math"
	"slices"
	"time"
)

// Bounds and steps of the limit.
const (
	// initialLimit holds until the slots of the group are known. Then the limit starts at startShare of this process's part of
	// them, as far as it is known, until pauses have changed it: how many streams the group can carry in time is not known yet.
	initialLimit = 24
	startShare   = 0.5
	minLimit     = 4
	// window is the time over which pauses are collected for one step.
	window = 250 * time.Millisecond
	// minSamples is the number of pauses without which a window decides nothing.
	minSamples = 8
	// quantile of the pauses that is held under the aim. A stream is late by its longest pause of some 25.
	quantile = 0.9
	// highShare and lowShare of the aim are where the limit is lowered and raised.
	highShare = 0.77
	lowShare  = 0.62
	decrease  = 0.92
	// increase is the share of the limit by which it is raised at least, and at least one.
	increase = 0.04
	// targetShare of the aim is what the limit that is predicted from the pauses leads to; approach is the part of the way to it that
	// one step goes, and maxRise the factor by which one step raises the limit at most.
	targetShare = 0.55
	approach    = 0.65
	maxRise     = 1.5
	// usedShare of the limit has to be in use before it is raised.
	usedShare  = 0.8
	holdWeight = 0.05
	firstWeigh = 0.1
)

// Limiter is the state of one group's limit. It is owned by one goroutine or guarded by its caller.
type Limiter struct {
	limit    float64
	most     float64
	inFlight int
	// hold is the mean time for which a stream is in flight, first the mean time to its first event.
	hold, first time.Duration
	since       time.Time
	pauses      []float64
	lastPause   float64
	// moved says that pauses have changed the limit.
	moved bool
	// empty is the time of a pass without streams, and aim that for the last pause.
	empty, aim time.Duration
}

// New returns a limiter.
func New(now time.Time) *Limiter {
	return &Limiter{
		limit: initialLimit, most: math.Inf(1), since: now,
		hold: 2 * time.Second, first: 200 * time.Millisecond,
	}
}

// SetCapacity bounds the limit by the slots of the group, of which the process may begin with a share.
func (l *Limiter) SetCapacity(slots int, share float64) {
	if !l.moved && slots > 0 {
		l.limit = max(startShare*share*float64(slots), minLimit)
	}
	l.most = float64(max(slots, minLimit))
	l.limit = min(l.limit, l.most)
}

// SetEmptyPass sets the time that a pass of the group takes without any stream, 0 if it is not known.
func (l *Limiter) SetEmptyPass(d time.Duration) { l.empty = d }

// Limit returns the number of streams allowed.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of streams admitted that have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// GapRatio returns the quantile of the pauses of the last full window over the aim.
func (l *Limiter) GapRatio() float64 { return l.lastPause }

// FirstEventLatency returns the mean time from admission to the first event.
func (l *Limiter) FirstEventLatency() time.Duration { return l.first }

// TryAcquire takes a place if one is free.
func (l *Limiter) TryAcquire() bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.inFlight++
	return true
}

// Release gives a place back after a stream of a duration.
func (l *Limiter) Release(held time.Duration) {
	l.inFlight--
	l.hold += time.Duration(holdWeight * float64(held-l.hold))
}

// ObserveFirstEvent takes the time from admission to a stream's first event.
func (l *Limiter) ObserveFirstEvent(d time.Duration) {
	l.first += time.Duration(firstWeigh * float64(d-l.first))
}

// ObserveGap takes a pause between two events and the aim for it.
func (l *Limiter) ObserveGap(pause, aim time.Duration, now time.Time) {
	if aim <= 0 {
		return
	}
	l.aim = aim
	l.pauses = append(l.pauses, float64(pause)/float64(aim))
	if now.Sub(l.since) < window {
		return
	}
	if len(l.pauses) >= minSamples {
		l.adjust()
	}
	l.since, l.pauses = now, l.pauses[:0]
}

// adjust raises the limit by steps and lowers it in proportion, as additive increase and multiplicative decrease do
// (Chiu and Jain, 1989): processes that share a group then come to equal shares.
func (l *Limiter) adjust() {
	slices.Sort(l.pauses)
	l.lastPause = l.pauses[int(quantile*float64(len(l.pauses)-1))]
	switch {
	case l.lastPause > highShare:
		l.moved = true
		l.limit = max(min(l.limit, float64(l.inFlight)+1)*decrease, minLimit)
	case l.lastPause < lowShare && float64(l.inFlight) >= usedShare*l.limit:
		l.moved = true
		l.limit = min(max(l.limit+max(increase*l.limit, 1), l.predicted()), l.most)
	}
}

// predicted returns where the next step leads. A pass takes a fixed time and one that grows with the streams, of which all processes
// that share the group see the same and have the same proportion to take: when each of them makes this step, the pauses come to the
// target together. A limit that fell during a fault, or began low, does not refuse for long then.
func (l *Limiter) predicted() float64 {
	empty := min(float64(l.empty)/float64(l.aim), l.lastPause/2)
	there := float64(l.inFlight) * (targetShare - empty) / (l.lastPause - empty)
	return min(l.limit+approach*(there-l.limit), maxRise*l.limit)
}

// Cancel gives back a place that was not used.
func (l *Limiter) Cancel() { l.inFlight-- }

// StreamDuration returns the mean time for which a stream is in flight.
func (l *Limiter) StreamDuration() time.Duration { return l.hold }

// rate estimates how many places become free in a second while all are in use.
func (l *Limiter) rate() float64 { return max(l.limit, 1) / l.hold.Seconds() }
