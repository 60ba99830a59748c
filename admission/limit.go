package admission

import "time"

// LimitConfig sets the learned concurrency limit.
type LimitConfig struct {
	// Initial, Min and Max are numbers of requests that run at the same time.
	Initial, Min, Max int
	// Tolerance is the ratio of observed to lowest service time above which the limit is cut.
	Tolerance float64
	// Fixed keeps the limit at Initial.
	Fixed bool
}

const (
	// minSamples and maxSamples bound the number of service times of one kind that are averaged for a decision.
	minSamples = 32
	maxSamples = 1024
	// maxStandardError is the standard error, relative to the mean, at which enough times are averaged. With a fixed
	// number of 32, exponential service times (18% error) made the limit fall to its minimum at 90% load.
	maxStandardError = 0.05
	// minDecreaseFactor and maxCut bound the factor of a decrease. A fixed factor of 0.8 cut well below the capacity
	// whenever the limit had grown slightly beyond it.
	minDecreaseFactor = 0.5
	maxDecreaseFactor = 0.9
	// decreasePause follows a decrease, in addition to the mean service time, so that requests which started
	// before the cut do not cause a second one.
	decreasePause = 500 * time.Millisecond
	// unitTimeGain is the weight of a new observation in the mean service time.
	unitTimeGain = 0.05
	// lowestDrift raises the lowest service time with each decision, so that a server that stays slower is
	// accepted after some minutes.
	lowestDrift = 1.001
)

// serviceTimes are the observed seconds per unit of one kind: per token for generations, per request otherwise.
type serviceTimes struct {
	// meanUnitTime is the running mean, 0 before the first observation.
	meanUnitTime float64
	lowest       float64
	sum          float64
	squares      float64
	seconds      float64
	n            int
}

// limiter learns how many requests the backend server runs at the same time without slowing down. It follows
// an additive-increase, multiplicative-decrease rule (Chiu and Jain, 1989).
type limiter struct {
	cfg   LimitConfig
	limit float64
	kinds [numKinds]serviceTimes
	// saturated says that all slots were busy at some time since the last decision; otherwise the limit does not grow.
	saturated   bool
	pausedUntil time.Duration
}

func newLimiter(cfg LimitConfig) *limiter {
	return &limiter{cfg: cfg, limit: float64(cfg.Initial)}
}

// setSlots starts learning again at a new number of slots.
func (l *limiter) setSlots(initial, maximum int) {
	l.cfg.Initial, l.cfg.Max = initial, maximum
	l.cfg.Min = min(l.cfg.Min, initial)
	l.limit = float64(initial)
}

func (l *limiter) slots() int { return int(l.limit) }

// observe takes the service time of a finished request that consisted of the given number of units.
func (l *limiter) observe(now time.Duration, k Kind, seconds, units float64) {
	t := &l.kinds[k]
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
		l.decide(now, t)
	}
}

// accurate says whether the mean of the observed times is accurate enough for a decision.
func (t *serviceTimes) accurate() bool {
	if t.n < minSamples || t.n >= maxSamples {
		return t.n >= maxSamples
	}
	n := float64(t.n)
	mean := t.sum / n
	variance := max(t.squares/n-mean*mean, 0)
	return variance <= n*maxStandardError*maxStandardError*mean*mean
}

func (l *limiter) decide(now time.Duration, t *serviceTimes) {
	mean, seconds := t.sum/float64(t.n), t.seconds/float64(t.n)
	t.sum, t.squares, t.seconds, t.n = 0, 0, 0, 0
	if t.lowest == 0 {
		t.lowest = mean
	}
	// The lowest mean is approached halfway, because the minimum of noisy means is too low.
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
