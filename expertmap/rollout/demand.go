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

// Observe takes the counts of all ranks. A rank whose counts started anew adds nothing this time.
func (d *Demand) Observe(states []State, now time.Time) {
	fade := math.Exp(-float64(now.Sub(d.at)) / float64(d.memory))
	for i := range d.chosen {
		d.chosen[i] *= fade
	}
	if len(states) > 0 && states[0].Epoch != d.epoch {
		d.epoch = states[0].Epoch
		clear(d.last) // The counts of another epoch are no base for differences.
	}
	for r, s := range states {
		if s.Counts == nil {
			continue // Not asked this time.
		}
		before := d.last[r]
		d.last[r] = s.Counts
		if len(before) != len(d.chosen) || len(s.Counts) != len(d.chosen) {
			continue
		}
		for i, n := range s.Counts {
			d.chosen[i] += float64(n - before[i]) // The difference of counts modulo 65,536.
		}
	}
	d.at = now
}

// minChosen is the number of choices in a layer, in units of CountUnit, below which an estimate says nothing.
const minChosen = 200

// Load returns the share of each expert in its layer, false while too little was seen.
func (d *Demand) Load() (*expertmap.Load, bool) {
	load := expertmap.NewLoad(d.shape)
	for l := range d.shape.Layers {
		row := d.chosen[l*d.shape.Experts : (l+1)*d.shape.Experts]
		sum := 0.0
		for _, n := range row {
			sum += n
		}
		if sum < minChosen {
			return nil, false
		}
		for e, n := range row {
			load.Layer(l)[e] = n / sum
		}
	}
	return load, true
}
