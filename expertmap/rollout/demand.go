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
	// total is the weighted number of times that each expert was chosen.
	total choices
	// suspected holds, by layer, whether the last poll showed a change that was too small for a shift.
	suspected []bool
	// shiftedAt is the time of the last poll that showed a shift.
	shiftedAt time.Time
}

// choices are the numbers of times that each expert was chosen at the first and second half of the sampled ranks, in
// order of layer and expert.
type choices struct{ first, second []float64 }

func newChoices(s expertmap.Shape) choices {
	return choices{first: make([]float64, s.Layers*s.Experts), second: make([]float64, s.Layers*s.Experts)}
}

// layer returns the part of the choices that belongs to one layer. It is not a copy.
func (c choices) layer(s expertmap.Shape, l int) choices {
	from, to := l*s.Experts, (l+1)*s.Experts
	return choices{first: c.first[from:to], second: c.second[from:to]}
}

// both returns the choices at all sampled ranks.
func (c choices) both() []float64 {
	out := make([]float64, len(c.first))
	for i, n := range c.first {
		out[i] = n + c.second[i]
	}
	return out
}

// NewDemand returns an estimate without observations.
func NewDemand(s expertmap.Shape, timeConstant time.Duration) *Demand {
	return &Demand{
		shape: s, timeConstant: timeConstant, lastCounts: make([]Counts, s.Ranks),
		total: newChoices(s), suspected: make([]bool, s.Layers),
	}
}

// Observe adds the counts of the ranks. A rank without comparable earlier counts contributes nothing this time. When the
// demand in a layer has shifted, the estimate of that layer is reset, because a map for a mixture of old and new demand
// suits neither. A poll that mixes both is not used.
func (d *Demand) Observe(states []State, now time.Time) {
	recent := d.recentChoices(states)
	d.decay(now)
	changes := make([]change, d.shape.Layers)
	for l := range changes {
		changes[l] = changeOf(d.total.layer(d.shape, l), recent.layer(d.shape, l).both())
	}
	all := combine(changes)
	for l, c := range changes {
		shifted := c.isShift() || (all.isShift() && c.fraction > minLayerShift)
		d.update(l, recent.layer(d.shape, l), c, shifted)
		if shifted {
			d.shiftedAt = now
		}
	}
}

// decay reduces the weights of earlier observations.
func (d *Demand) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(d.observedAt)) / float64(d.timeConstant))
	for i := range d.total.first {
		d.total.first[i] *= factor
		d.total.second[i] *= factor
	}
	d.observedAt = now
}

// update adds the recent choices of a layer to its estimate, after a shift to an empty one.
func (d *Demand) update(l int, recent choices, c change, shifted bool) {
	row := d.total.layer(d.shape, l)
	if shifted {
		clear(row.first)
		clear(row.second)
	}
	// The first poll that shows a shift may have begun before it. It is whole if the poll before it was mixed, or if nearly
	// all of its choices have changed.
	mixed := shifted && !d.suspected[l] && c.fraction < wholeShift
	d.suspected[l] = !shifted && c.isSuspected()
	if mixed {
		return
	}
	for e := range row.first {
		row.first[e] += recent.first[e]
		row.second[e] += recent.second[e]
	}
}

// recentChoices returns how often each expert was chosen since the previous observation.
func (d *Demand) recentChoices(states []State) choices {
	if len(states) > 0 && states[0].Epoch != d.epoch {
		d.epoch = states[0].Epoch
		clear(d.lastCounts) // Counts of different epochs are not comparable.
	}
	recent := newChoices(d.shape)
	sampled := 0
	for r, s := range states {
		if s.Counts == nil {
			continue // Counts were not requested.
		}
		previous := d.lastCounts[r]
		d.lastCounts[r] = s.Counts
		half := recent.first
		if sampled++; sampled%2 == 0 {
			half = recent.second
		}
		if len(previous) != len(half) || len(s.Counts) != len(half) {
			continue
		}
		for i, n := range s.Counts {
			half[i] += float64(n - previous[i]) // The uint16 difference is correct modulo 65,536, also after an overflow.
		}
	}
	return recent
}

func sum(row []float64) float64 {
	total := 0.0
	for _, n := range row {
		total += n
	}
	return total
}

// minChoices is the number of choices in a layer, in units of CountUnit, below which an estimate is not used.
const minChoices = 3200 / CountUnit

// Load returns, instead of compute times in seconds, the share of each expert in the choices of its layer. The result
// is false while a layer has fewer than minChoices.
func (d *Demand) Load() (*expertmap.ExpertLoad, bool) {
	load := expertmap.NewExpertLoad(d.shape)
	for l := range d.shape.Layers {
		row := d.total.layer(d.shape, l).both()
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
