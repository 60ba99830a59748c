package expertmap

import "slices"

// StragglerSettings are the parameters of a StragglerDetector.
type StragglerSettings struct {
	// Weight is the weight of the newest step in the moving average, above 0 and at most 1.
	Weight float64
	// SlowRatio is the ratio to the group's median above which a rank counts as slow. NormalRatio is the ratio below
	// which it counts as normal again.
	SlowRatio, NormalRatio float64
	// MaxRatio caps the ratio of one step, so that a single long step cannot dominate the average.
	MaxRatio float64
	// MinSteps is the number of consecutive steps for which the average must be beyond the threshold before the state
	// of the rank changes.
	MinSteps int
}

// DefaultStragglerSettings returns settings that detect a rank that is 30% slow within about a second at 38 ms per
// step. The measurements are in docs/measurements/expert-maps.md.
func DefaultStragglerSettings() StragglerSettings {
	return StragglerSettings{Weight: 0.1, SlowRatio: 1.15, NormalRatio: 1.08, MaxRatio: 2, MinSteps: 8}
}

// StragglerDetector detects ranks that stay slow. It keeps an exponentially weighted moving average (Roberts, 1959) of
// the ratio of each rank's step time to the group's median, caps each ratio at MaxRatio and applies hysteresis. It is
// not safe for concurrent use.
type StragglerDetector struct {
	settings StragglerSettings
	// ratio is the moving average for each rank. streak is the number of consecutive steps for which it has been beyond
	// the threshold.
	ratio  []float64
	streak []int
	slow   []bool
	// scratch is the buffer in which median sorts the step times.
	scratch []float64
}

// NewStragglerDetector returns a detector for a number of ranks, all of which start as normal.
func NewStragglerDetector(ranks int, settings StragglerSettings) *StragglerDetector {
	d := &StragglerDetector{
		settings: settings, ratio: make([]float64, ranks), streak: make([]int, ranks), slow: make([]bool, ranks),
		scratch: make([]float64, ranks),
	}
	for i := range d.ratio {
		d.ratio[i] = 1
	}
	return d
}

// Observe records the compute time of each rank in one step, in any unit. To distinguish a slow rank from one with much
// work, pass times per unit of work. Observe fails with a *SizeError.
func (d *StragglerDetector) Observe(times []float64) error {
	if len(times) != len(d.ratio) {
		return &SizeError{Argument: "step times", Expected: len(d.ratio), Got: len(times)}
	}
	median := d.median(times)
	if median <= 0 {
		return nil
	}
	for r, t := range times {
		d.ratio[r] += d.settings.Weight * (min(t/median, d.settings.MaxRatio) - d.ratio[r])
		d.updateState(r)
	}
	return nil
}

func (d *StragglerDetector) median(times []float64) float64 {
	copy(d.scratch, times)
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2]
}

func (d *StragglerDetector) updateState(r int) {
	beyond := d.ratio[r] > d.settings.SlowRatio
	if d.slow[r] {
		beyond = d.ratio[r] < d.settings.NormalRatio
	}
	if !beyond {
		d.streak[r] = 0
		return
	}
	if d.streak[r]++; d.streak[r] >= d.settings.MinSteps {
		d.slow[r] = !d.slow[r]
		d.streak[r] = 0
	}
}

// Slow returns the slow ranks in ascending order.
func (d *StragglerDetector) Slow() []int {
	var out []int
	for r, slow := range d.slow {
		if slow {
			out = append(out, r)
		}
	}
	return out
}

// Speeds returns the measured speed of each rank, 1 for the median rank, as the placement functions expect it.
func (d *StragglerDetector) Speeds() []float64 {
	out := make([]float64, len(d.ratio))
	for r, ratio := range d.ratio {
		out[r] = 1 / max(ratio, 0.01)
	}
	return out
}
