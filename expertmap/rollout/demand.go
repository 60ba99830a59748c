package rollout

import (
	"math"
	"time"

	"lavendermoor.example/expertmap"
)

// Demand estimates how often each expert is chosen, from the counts of the sampled ranks. It performs no I/O.
type Demand struct {
	shape expertmap.Shape
	// timeConstant is the time in which the weight of an observation decays to 1/e.
	timeConstant time.Duration
	lastCounts   []Counts
	epoch        int64
	observedAt   time.Time
	// choices is the weighted number of times that each expert was chosen, in order of layer and expert.
	choices []float64
}

// NewDemand returns an estimate without observations.
func NewDemand(s expertmap.Shape, timeConstant time.Duration) *Demand {
	return &Demand{
		shape: s, timeConstant: timeConstant, lastCounts: make([]Counts, s.Ranks),
		choices: make([]float64, s.Layers*s.Experts),
	}
}

// Observe adds the counts of the ranks. A rank without comparable earlier counts contributes nothing this time. If the
// choices in a layer differ strongly from the estimate, the estimate of that layer is reset: the mix of requests has
// changed, and a map for a mixture of old and new demand suits neither.
func (d *Demand) Observe(states []State, now time.Time) {
	decay := math.Exp(-float64(now.Sub(d.observedAt)) / float64(d.timeConstant))
	for i := range d.choices {
		d.choices[i] *= decay
	}
	d.observedAt = now
	recent := d.recentChoices(states)
	for l := range d.shape.Layers {
		from, to := l*d.shape.Experts, (l+1)*d.shape.Experts
		row, recentRow := d.choices[from:to], recent[from:to]
		if distance(row, recentRow) > shiftThreshold {
			clear(row)
		}
		for e, n := range recentRow {
			row[e] += n
		}
	}
}

// recentChoices returns how often each expert was chosen since the previous observation.
func (d *Demand) recentChoices(states []State) []float64 {
	if len(states) > 0 && states[0].Epoch != d.epoch {
		d.epoch = states[0].Epoch
		clear(d.lastCounts) // Counts of different epochs are not comparable.
	}
	recent := make([]float64, len(d.choices))
	for r, s := range states {
		if s.Counts == nil {
			continue // Counts were not requested.
		}
		previous := d.lastCounts[r]
		d.lastCounts[r] = s.Counts
		if len(previous) != len(recent) || len(s.Counts) != len(recent) {
			continue
		}
		for i, n := range s.Counts {
			recent[i] += float64(n - previous[i]) // The uint16 difference is correct modulo 65,536, also after an overflow.
		}
	}
	return recent
}

// shiftThreshold is the total variation distance between the recent choices and the estimate above which the demand has
// shifted. The normal variation of concurrently running requests stays below it.
const shiftThreshold = 0.25

// distance returns the total variation distance, 0 to 1, between two distributions of the choices in one layer, or 0 if
// either has fewer than minChoices.
func distance(a, b []float64) float64 {
	sumA, sumB := sum(a), sum(b)
	if sumA < minChoices || sumB < minChoices {
		return 0
	}
	total := 0.0
	for i := range a {
		total += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return total / 2
}

func sum(row []float64) float64 {
	total := 0.0
	for _, n := range row {
		total += n
	}
	return total
}

// minChoices is the number of choices in a layer, in units of CountUnit, below which an estimate is not used.
const minChoices = 200

// Load returns, instead of compute times in seconds, the share of each expert in the choices of its layer. The result
// is false while a layer has fewer than minChoices.
func (d *Demand) Load() (*expertmap.ExpertLoad, bool) {
	load := expertmap.NewExpertLoad(d.shape)
	for l := range d.shape.Layers {
		row := d.choices[l*d.shape.Experts : (l+1)*d.shape.Experts]
		total := sum(row)
		if total < minChoices {
			return nil, false
		}
		for e, n := range row {
			load.Layer(l)[e] = n / total
		}
	}
	return load, true
}
