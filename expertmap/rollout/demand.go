package rollout

import (
	"math"
	"time"

	"lavendermoor.example/expertmap"
)

// Demand estimates how often each expert is chosen, from the counts of all ranks. It does no I/O.
type Demand struct {
	shape expertmap.Shape
	// memory is the time after which the weight of an observation has fallen to 1/e.
	timeConstant time.Duration
	lastCounts   []Counts
	epoch        int64
	observedAt   time.Time
	choices      []float64
}

// NewDemand returns an estimate that knows nothing.
func NewDemand(s expertmap.Shape, timeConstant time.Duration) *Demand {
	return &Demand{shape: s, timeConstant: timeConstant, lastCounts: make([]Counts, s.Ranks), choices: make([]float64, s.Layers*s.Experts)}
}

// Observe takes the counts of all ranks. A rank whose counts started anew adds nothing this time. Where a layer's choices differ much
// from the estimate, what was seen before is forgotten: the content of requests has changed, and a map that is made for a mixture of
// both serves neither.
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

// differences returns how often each expert was chosen since the last observation.
func (d *Demand) recentChoices(states []State) []float64 {
	if len(states) > 0 && states[0].Epoch != d.epoch {
		d.epoch = states[0].Epoch
		clear(d.lastCounts) // The counts of another epoch are no base for differences.
	}
	recent := make([]float64, len(d.choices))
	for r, s := range states {
		if s.Counts == nil {
			continue // Not asked this time.
		}
		previous := d.lastCounts[r]
		d.lastCounts[r] = s.Counts
		if len(previous) != len(recent) || len(s.Counts) != len(recent) {
			continue
		}
		for i, n := range s.Counts {
			recent[i] += float64(n - previous[i]) // The difference of counts modulo 65,536.
		}
	}
	return recent
}

// shiftDistance is the part of the choices that have to go to other experts than before for the demand to count as another one. The
// requests that happen to run together differ by less.
const shiftThreshold = 0.25

// distance returns the part of the choices, 0 to 1, by which two layers differ (total variation), 0 while either says too little.
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

// minChosen is the number of choices in a layer, in units of CountUnit, below which an estimate says nothing.
const minChoices = 200

// Load returns the share of each expert in its layer, false while too little was seen.
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
