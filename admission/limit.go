package admission

import "time"

// LimitConfig configures the adaptive concurrency limit.
type LimitConfig struct {
	// Initial, Min and Max are numbers of concurrent requests.
	Initial, Min, Max int
	// Tolerance is the ratio of observed to lowest service time above which the limit is decreased.
	Tolerance float64
	// Fixed keeps the limit at Initial.
	Fixed bool
}

const (
	// minSamples and maxSamples bound the number of service times of one kind that are averaged for one adjustment.
	minSamples = 32
	maxSamples = 1024
	// maxStandardError is the maximum standard error of the mean service time, relative to the mean, for an adjustment.
	// With a fixed number of 32 samples, exponential service times (18% error) drove the limit to its minimum at 90%
	// load.
	maxStandardError = 0.05
	// minDecreaseFactor and maxDecreaseFactor bound the factor of a decrease. A fixed factor of 0.8 put the limit well
	// below the capacity whenever it had grown slightly beyond the capacity.
	minDecreaseFactor = 0.5
	maxDecreaseFactor = 0.9
	// decreasePause is the time without adjustments after a decrease, in addition to the mean service time, so that
	// requests which started before the decrease do not cause another one.
	decreasePause = 500 * time.Millisecond
	// unitTimeGain is the weight of a new observation in meanUnitTime.
	unitTimeGain = 0.05
	// lowestDrift is the factor by which each adjustment raises the lowest service time, so that the service
	// times of a permanently slower server become the reference after some minutes.
	lowestDrift = 1.001
)

// serviceTimes are the observed service times of one kind, in seconds per unit. A unit is a token for generations and a
// request for other kinds.
type serviceTimes struct {
	// meanUnitTime is the exponentially weighted mean, 0 before the first observation.
	meanUnitTime float64
	// lowest follows the lowest means of the samples and rises by lowestDrift at each adjustment; 0 before the first one.
	lowest float64
	// sum and squares are the sums of the samples and of their squares since the last adjustment. seconds is the sum of
	// the service times of the n requests.
	sum     float64
	squares float64
	seconds float64
	n       int
}

// limiter adapts the concurrency limit to the number of requests that the backend server runs concurrently without
// slowing down. It uses additive increase and multiplicative decrease (Chiu and Jain, 1989).
type limiter struct {
	cfg          LimitConfig
	limit        float64
	serviceTimes [numKinds]serviceTimes
	// saturated is true if all slots were busy at some time since the last adjustment; only then may the limit increase.
	saturated   bool
	pausedUntil time.Duration
}

func newLimiter(cfg LimitConfig) *limiter {
	return &limiter{cfg: cfg, limit: float64(cfg.Initial)}
}

// setSlots restarts the limit at a new initial value and sets a new maximum.
func (l *limiter) setSlots(initial, maximum int) {
	l.cfg.Initial, l.cfg.Max = initial, maximum
	l.cfg.Min = min(l.cfg.Min, initial)
	l.limit = float64(initial)
}

func (l *limiter) slots() int { return int(l.limit) }

// observe records the service time of a completed request with the given number of units.
func (l *limiter) observe(now time.Duration, k Kind, seconds, units float64) {
	t := &l.serviceTimes[k]
	unit := seconds / max(units, 1)
	if t.meanUnitTime == 0 {
		t.meanUnitTime = unit
	}
	t.meanUnitTime += unitTimeGain * (unit - t.meanUnitTime)
	t.sum += unit
	t.squares += unit * unit
	t.seconds += seconds
	t.n++
	if t.accurate() {
		l.adjust(now, t)
	}
}

// accurate reports whether the mean of the samples is accurate enough for an adjustment.
func (t *serviceTimes) accurate() bool {
	if t.n < minSamples || t.n >= maxSamples {
		return t.n >= maxSamples
	}
	n := float64(t.n)
	mean := t.sum / n
	variance := max(t.squares/n-mean*mean, 0)
	return variance <= n*maxStandardError*maxStandardError*mean*mean
}

func (l *limiter) adjust(now time.Duration, t *serviceTimes) {
	mean, seconds := t.sum/float64(t.n), t.seconds/float64(t.n)
	t.sum, t.squares, t.seconds, t.n = 0, 0, 0, 0
	if t.lowest == 0 {
		t.lowest = mean
	}
	// Approach a lower mean only halfway, because the minimum of noisy means is biased low.
	t.lowest = min(t.lowest*lowestDrift, (t.lowest+mean)/2)
	if l.cfg.Fixed || now < l.pausedUntil {
		return
	}
	if allowed := l.cfg.Tolerance * t.lowest; mean > allowed {
		cut := min(max(allowed/mean, minDecreaseFactor), maxDecreaseFactor)
		l.limit = max(l.limit*cut, float64(l.cfg.Min))
		l.pausedUntil = now + decreasePause + time.Duration(seconds*float64(time.Second))
	} else if l.saturated {
		l.limit = min(l.limit+1, float64(l.cfg.Max))
	}
	l.saturated = false
}
