// Package limit implements an adaptive concurrency limit for the streams that a process runs in one group of model
// engines, where every stream slows all others. The limit follows the gaps between events in the process's own streams.
// Processes that share a group need no coordination because all of them observe the same gaps. The package does no I/O.
package limit

import (
	"math"
	"slices"
	"time"
)

// Parameters of the limit. A gap ratio is the gap between two events over its target.
const (
	// initialLimit applies until the number of slots of the group is set. From then until the first adjustment, the limit
	// is initialFraction of this process's share of the slots, because no gaps show yet how many streams the group can
	// serve on time.
	initialLimit    = 24
	initialFraction = 0.5
	minLimit        = 4
	// window is the time over which gaps are collected for one adjustment.
	window = 250 * time.Millisecond
	// minGaps is the minimum number of gaps in a window for an adjustment.
	minGaps = 8
	// gapQuantile is the quantile of the gaps that is kept below the target. One late gap makes a stream late, and a
	// stream has about 25 gaps.
	gapQuantile = 0.9
	// decreaseAbove and increaseBelow are the gap ratios above and below which the limit is decreased and increased.
	decreaseAbove  = 0.77
	increaseBelow  = 0.62
	decreaseFactor = 0.92
	// minIncrease is the minimum increase as a fraction of the limit. An increase is also at least 1 stream.
	minIncrease = 0.04
	// targetGapRatio is the gap ratio towards which the limit increases. One step covers stepGain of the difference to
	// that limit, and multiplies the limit by at most maxStepFactor.
	targetGapRatio = 0.55
	stepGain       = 0.65
	maxStepFactor  = 1.5
	// minUtilization is the fraction of the limit that must be in use before it is increased.
	minUtilization = 0.8
	// durationWeight and firstEventWeight are the weights of the newest sample in the moving averages.
	durationWeight   = 0.05
	firstEventWeight = 0.1
	// lateShareWeight is the weight of the newest stream in the moving average of late streams.
	lateShareWeight = 0.05
	// lateGapTolerance is the fraction by which gaps may be longer, during a recovery, if all streams are late.
	lateGapTolerance = 1.2
	// competingGapTolerance is lateGapTolerance while requests of several priorities compete. It is smaller because some
	// streams are still on time: with a third of them late, the limit falls when gapQuantile of the gaps reaches the target.
	competingGapTolerance = 0.9
)

// Limiter is the concurrency limit of one group. It is not safe for concurrent use.
type Limiter struct {
	limit float64
	// capacity is the maximum of the limit: the slots of the group, at least minLimit, or infinity until they are set.
	capacity float64
	inFlight int
	// streamDuration is the mean time that a stream is in flight, firstEvent the mean time to its first event.
	streamDuration, firstEvent time.Duration
	// gapRatios are the gap ratios observed since windowStart.
	windowStart time.Time
	gapRatios   []float64
	// lastGapRatio is the gapQuantile of the gap ratios in the last window with at least minGaps gaps.
	lastGapRatio float64
	// adjusted is set once gaps have changed the limit.
	adjusted bool
	// emptyPass is the time of a forward pass without streams, 0 if unknown. targetGap is the target for the last gap
	// observed.
	emptyPass, targetGap time.Duration
	// lateShare is the moving average of the fraction of streams that were late when they were admitted.
	lateShare float64
	// recoveryEnds is the time until which late streams raise the limit.
	recoveryEnds time.Time
	// competesUntil is the time until which late streams raise the limit because requests compete.
	competesUntil time.Time
}

// New returns a limiter with the initial limit.
func New(now time.Time) *Limiter {
	return &Limiter{
		limit: initialLimit, capacity: math.Inf(1), windowStart: now,
		streamDuration: 2 * time.Second, firstEvent: 200 * time.Millisecond,
	}
}

// SetCapacity bounds the limit by the slots of the group. Until the first adjustment, the limit is set from the
// process's share of the slots.
func (l *Limiter) SetCapacity(slots int, share float64) {
	if !l.adjusted && slots > 0 {
		l.limit = max(initialFraction*share*float64(slots), minLimit)
	}
	l.capacity = float64(max(slots, minLimit))
	l.limit = min(l.limit, l.capacity)
}

// SetEmptyPass sets the time of a forward pass of the group without any stream, 0 if unknown.
func (l *Limiter) SetEmptyPass(d time.Duration) { l.emptyPass = d }

// SetRecoveryEnds sets the time until which the limiter tolerates longer gaps the more streams are late. After an outage,
// most streams are those of callers that were refused during it. A short gap no longer helps them, while a higher limit
// serves more of them.
func (l *Limiter) SetRecoveryEnds(t time.Time) { l.recoveryEnds = t }

// SetCompetesUntil sets the time until which requests of several priorities compete. The limiter then tolerates somewhat
// longer gaps the more streams are late, because a late response is better for a caller than none.
func (l *Limiter) SetCompetesUntil(t time.Time) { l.competesUntil = t }

// ObserveAdmission records whether an admitted stream is late already, so that its gaps cannot make it late.
func (l *Limiter) ObserveAdmission(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	l.lateShare += lateShareWeight * (sample - l.lateShare)
}

// Limit returns the number of streams allowed.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of streams that were admitted and have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// GapRatio returns the gapQuantile of the gap ratios in the last window with at least minGaps gaps.
func (l *Limiter) GapRatio() float64 { return l.lastGapRatio }

// FirstEventLatency returns the mean time from admission to the first event.
func (l *Limiter) FirstEventLatency() time.Duration { return l.firstEvent }

// TryAcquire admits a stream unless the limit is reached.
func (l *Limiter) TryAcquire() bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a stream that was in flight for the duration.
func (l *Limiter) Release(duration time.Duration) {
	l.inFlight--
	l.streamDuration += time.Duration(durationWeight * float64(duration-l.streamDuration))
}

// ObserveFirstEvent records the time from a stream's admission to its first event.
func (l *Limiter) ObserveFirstEvent(d time.Duration) {
	l.firstEvent += time.Duration(firstEventWeight * float64(d-l.firstEvent))
}

// ObserveGap records the gap between two events and its target. Gaps without a target are ignored.
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
		l.adjust(now)
	}
	l.windowStart, l.gapRatios = now, l.gapRatios[:0]
}

// adjust increases the limit in steps and decreases it by a factor. Like additive increase, multiplicative decrease
// (Chiu and Jain, 1989), this converges to equal shares for the processes that share a group.
func (l *Limiter) adjust(now time.Time) {
	slices.Sort(l.gapRatios)
	l.lastGapRatio = l.gapRatios[int(gapQuantile*float64(len(l.gapRatios)-1))]
	tolerance := l.gapTolerance(now)
	ratio := l.lastGapRatio / tolerance
	switch {
	case ratio > decreaseAbove:
		l.adjusted = true
		l.limit = max(min(l.limit, float64(l.inFlight)+1)*decreaseFactor, minLimit)
	case ratio < increaseBelow && float64(l.inFlight) >= minUtilization*l.limit:
		l.adjusted = true
		l.limit = min(max(l.limit+max(minIncrease*l.limit, 1), l.predictedLimit(targetGapRatio*tolerance)), l.capacity)
	}
}

// gapTolerance returns the factor by which gaps may be longer than usual.
func (l *Limiter) gapTolerance(now time.Time) float64 {
	switch {
	case now.Before(l.recoveryEnds):
		return 1 + lateGapTolerance*l.lateShare
	case now.Before(l.competesUntil):
		return 1 + competingGapTolerance*l.lateShare
	}
	return 1
}

// predictedLimit returns the limit after a step towards a gap ratio of target. The time of a forward pass is modeled as a
// constant plus a term proportional to the streams. All processes that share the group observe the same gaps and scale
// by the same factor, so that their steps together reach the target. A limit that fell during a fault, or started low,
// recovers quickly in this way, and callers are not refused for long.
func (l *Limiter) predictedLimit(target float64) float64 {
	empty := min(float64(l.emptyPass)/float64(l.targetGap), l.lastGapRatio/2)
	predicted := float64(l.inFlight) * (target - empty) / (l.lastGapRatio - empty)
	return min(l.limit+stepGain*(predicted-l.limit), maxStepFactor*l.limit)
}

// Cancel reverts the admission of a stream that never started. It does not count for the mean stream duration.
func (l *Limiter) Cancel() { l.inFlight-- }

// StreamDuration returns the mean time that a stream is in flight.
func (l *Limiter) StreamDuration() time.Duration { return l.streamDuration }

// releaseRate estimates the number of streams that end per second when the limit is fully used.
func (l *Limiter) releaseRate() float64 { return max(l.limit, 1) / l.streamDuration.Seconds() }
