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
	memory time.Duration
	last   []Counts
	epoch  int64
	at     time.Time
	chosen []float64
}

// NewDemand returns an estimate that knows nothing.
func NewDemand(s expertmap.Shape, memory time.Duration) *Demand {
	return &Demand{shape: s, memory: memory, last: make([]Counts, s.Ranks), chosen: make([]float64, s.Layers*s.Experts)}
}

// Observe takes the counts of all ranks. A rank whose counts started anew adds nothing this time. Where a layer's choices differ much
// from the estimate, what was seen before is forgotten: the content of requests has changed, and a map that is made for a mixture of
// both serves neither.
func (d *Demand) Observe(states []State, now time.Time) {
	fade := math.Exp(-float64(now.Sub(d.at)) / float64(d.memory))
	for i := range d.chosen {
		d.chosen[i] *= fade
	}
	d.at = now
	fresh := d.differences(states)
	for l := range d.shape.Layers {
		from, to := l*d.shape.Experts, (l+1)*d.shape.Experts
		row, latest := d.chosen[from:to], fresh[from:to]
		if distance(row, latest) > shiftDistance {
			clear(row)
		}
		for e, n := range latest {
			row[e] += n
		}
	}
}

// differences returns how often each expert was chosen since the last observation.
func (d *Demand) differences(states []State) []float64 {
	if len(states) > 0 && states[0].Epoch != d.epoch {
		d.epoch = states[0].Epoch
		clear(d.last) // The counts of another epoch are no base for differences.
	}
	fresh := make([]float64, len(d.chosen))
	for r, s := range states {
		if s.Counts == nil {
			continue // Not asked this time.
		}
		before := d.last[r]
		d.last[r] = s.Counts
		if len(before) != len(fresh) || len(s.Counts) != len(fresh) {
			continue
		}
		for i, n := range s.Counts {
			fresh[i] += float64(n - before[i]) // The difference of counts modulo 65,536.
		}
	}
	return fresh
}

// shiftDistance is the part of the choices that have to go to other experts than before for the demand to count as another one. The
// requests that happen to run together differ by less.
const shiftDistance = 0.25

// distance returns the part of the choices, 0 to 1, by which two layers differ (total variation), 0 while either says too little.
func distance(a, b []float64) float64 {
	sumA, sumB := sum(a), sum(b)
	if sumA < minChosen || sumB < minChosen {
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
const minChosen = 200

// Load returns the share of each expert in its layer, false while too little was seen.
func (d *Demand) Load() (*expertmap.Load, bool) {
	load := expertmap.NewLoad(d.shape)
	for l := range d.shape.Layers {
		row := d.chosen[l*d.shape.Experts : (l+1)*d.shape.Experts]
		total := sum(row)
		if total < minChosen {
			return nil, false
		}
		for e, n := range row {
			load.Layer(l)[e] = n / total
		}
	}
	return load, true
}
