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
	// them: how many streams the group can carry in time is not known yet.
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
	highShare = 0.85
	lowShare  = 0.70
	decrease  = 0.92
	// increase is the share of the limit by which it is raised, and at least one. Below idleShare of the aim it is
	// raised by fastIncrease, so that a limit which fell during a fault does not refuse for long after its end.
	increase     = 0.04
	idleShare    = 0.5
	fastIncrease = 0.16
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
}

// New returns a limiter.
func New(now time.Time) *Limiter {
	return &Limiter{
		limit: initialLimit, most: math.Inf(1), since: now,
		hold: 2 * time.Second, first: 200 * time.Millisecond,
	}
}

// SetMost bounds the limit by the slots of the group, of which the process may begin with a share.
func (l *Limiter) SetMost(slots int, share float64) {
	if math.IsInf(l.most, 1) && slots > 0 {
		l.limit = max(startShare*share*float64(slots), minLimit)
	}
	l.most = float64(max(slots, minLimit))
	l.limit = min(l.limit, l.most)
}

// Limit returns the number of streams allowed.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of streams admitted that have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// Pause returns the quantile of the pauses of the last full window over the aim.
func (l *Limiter) Pause() float64 { return l.lastPause }

// First returns the mean time from admission to the first event.
func (l *Limiter) First() time.Duration { return l.first }

// Admit takes a place if one is free.
func (l *Limiter) Admit() bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.inFlight++
	return true
}

// End gives a place back after a stream of a duration.
func (l *Limiter) End(held time.Duration) {
	l.inFlight--
	l.hold += time.Duration(holdWeight * float64(held-l.hold))
}

// ObserveFirst takes the time from admission to a stream's first event.
func (l *Limiter) ObserveFirst(d time.Duration) {
	l.first += time.Duration(firstWeigh * float64(d-l.first))
}

// ObservePause takes a pause between two events and the aim for it.
func (l *Limiter) ObservePause(pause, aim time.Duration, now time.Time) {
	if aim <= 0 {
		return
	}
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
		l.limit = max(min(l.limit, float64(l.inFlight)+1)*decrease, minLimit)
	case l.lastPause < lowShare && float64(l.inFlight) >= usedShare*l.limit:
		l.limit = min(l.limit+max(l.growth()*l.limit, 1), l.most)
	}
}

// growth is the share by which the limit is raised.
func (l *Limiter) growth() float64 {
	if l.lastPause < idleShare {
		return fastIncrease
	}
	return increase
}

// Cancel gives back a place that was not used.
func (l *Limiter) Cancel() { l.inFlight-- }

// Hold returns the mean time for which a stream is in flight.
func (l *Limiter) Hold() time.Duration { return l.hold }

// rate estimates how many places become free in a second while all are in use.
func (l *Limiter) rate() float64 { return max(l.limit, 1) / l.hold.Seconds() }
