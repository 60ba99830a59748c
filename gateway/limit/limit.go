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
	initialShare = 0.5
	minLimit     = 4
	// window is the time over which pauses are collected for one step.
	window = 250 * time.Millisecond
	// minGaps is the number of pauses without which a window decides nothing.
	minGaps = 8
	// gapQuantile of the pauses that is held under the aim. A stream is late by its longest pause of some 25.
	gapQuantile = 0.9
	// decreaseAbove and lowShare of the aim are where the limit is lowered and raised.
	decreaseAbove  = 0.77
	increaseBelow  = 0.62
	decreaseFactor = 0.92
	// minIncrease is the share of the limit by which it is raised at least, and at least one.
	minIncrease = 0.04
	// targetGapRatio of the aim is what the limit that is predicted from the pauses leads to; approach is the part of the way to it that
	// one step goes, and maxRise the factor by which one step raises the limit at most.
	targetGapRatio = 0.55
	stepGain       = 0.65
	maxStepFactor  = 1.5
	// minUtilization of the limit has to be in use before it is raised.
	minUtilization   = 0.8
	durationWeight   = 0.05
	firstEventWeight = 0.1
)

// Limiter is the state of one group's limit. It is owned by one goroutine or guarded by its caller.
type Limiter struct {
	limit    float64
	capacity float64
	inFlight int
	// streamDuration is the mean time for which a stream is in flight, firstEvent the mean time to its firstEvent event.
	streamDuration, firstEvent time.Duration
	windowStart                time.Time
	gapRatios                  []float64
	lastGapRatio               float64
	// adjusted says that pauses have changed the limit.
	adjusted bool
	// emptyPass is the time of a pass without streams, and targetGap that for the last pause.
	emptyPass, targetGap time.Duration
}

// New returns a limiter.
func New(now time.Time) *Limiter {
	return &Limiter{
		limit: initialLimit, capacity: math.Inf(1), windowStart: now,
		streamDuration: 2 * time.Second, firstEvent: 200 * time.Millisecond,
	}
}

// SetCapacity bounds the limit by the slots of the group, of which the process may begin with a share.
func (l *Limiter) SetCapacity(slots int, share float64) {
	if !l.adjusted && slots > 0 {
		l.limit = max(initialShare*share*float64(slots), minLimit)
	}
	l.capacity = float64(max(slots, minLimit))
	l.limit = min(l.limit, l.capacity)
}

// SetEmptyPass sets the time that a pass of the group takes without any stream, 0 if it is not known.
func (l *Limiter) SetEmptyPass(d time.Duration) { l.emptyPass = d }

// Limit returns the number of streams allowed.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of streams admitted that have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// GapRatio returns the quantile of the pauses of the last full window over the aim.
func (l *Limiter) GapRatio() float64 { return l.lastGapRatio }

// FirstEventLatency returns the mean time from admission to the first event.
func (l *Limiter) FirstEventLatency() time.Duration { return l.firstEvent }

// TryAcquire takes a place if one is free.
func (l *Limiter) TryAcquire() bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.inFlight++
	return true
}

// Release gives a place back after a stream of a duration.
func (l *Limiter) Release(duration time.Duration) {
	l.inFlight--
	l.streamDuration += time.Duration(durationWeight * float64(duration-l.streamDuration))
}

// ObserveFirstEvent takes the time from admission to a stream's first event.
func (l *Limiter) ObserveFirstEvent(d time.Duration) {
	l.firstEvent += time.Duration(firstEventWeight * float64(d-l.firstEvent))
}

// ObserveGap takes a pause between two events and the aim for it.
func (l *Limiter) ObserveGap(gap, target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	l.targetGap = target
	l.gapRatios = append(l.gapRatios, float64(gap)/float64(target))
	if now.Sub(l.windowStart) < window {
		return
	}
	if len(l.gapRatios) >= minGaps {
		l.adjust()
	}
	l.windowStart, l.gapRatios = now, l.gapRatios[:0]
}

// adjust raises the limit by steps and lowers it in proportion, as additive increase and multiplicative decrease do
// (Chiu and Jain, 1989): processes that share a group then come to equal shares.
func (l *Limiter) adjust() {
	slices.Sort(l.gapRatios)
	l.lastGapRatio = l.gapRatios[int(gapQuantile*float64(len(l.gapRatios)-1))]
	switch {
	case l.lastGapRatio > decreaseAbove:
		l.adjusted = true
		l.limit = max(min(l.limit, float64(l.inFlight)+1)*decreaseFactor, minLimit)
	case l.lastGapRatio < increaseBelow && float64(l.inFlight) >= minUtilization*l.limit:
		l.adjusted = true
		l.limit = min(max(l.limit+max(minIncrease*l.limit, 1), l.predictedLimit()), l.capacity)
	}
}

// predictedLimit returns where the next step leads. A pass takes a fixed time and one that grows with the streams, of which all processes
// that share the group see the same and have the same proportion to take: when each of them makes this step, the pauses come to the
// target together. A limit that fell during a fault, or began low, does not refuse for long then.
func (l *Limiter) predictedLimit() float64 {
	empty := min(float64(l.emptyPass)/float64(l.targetGap), l.lastGapRatio/2)
	predicted := float64(l.inFlight) * (targetGapRatio - empty) / (l.lastGapRatio - empty)
	return min(l.limit+stepGain*(predicted-l.limit), maxStepFactor*l.limit)
}

// Cancel gives back a place that was not used.
func (l *Limiter) Cancel() { l.inFlight-- }

// StreamDuration returns the mean time for which a stream is in flight.
func (l *Limiter) StreamDuration() time.Duration { return l.streamDuration }

// releaseRate estimates how many places become free in a second while all are in use.
func (l *Limiter) releaseRate() float64 { return max(l.limit, 1) / l.streamDuration.Seconds() }
