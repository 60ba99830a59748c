package expertmap

import (
	"slices"
	"sort"
)

// Costs are the costs and limits by which a policy decides whether a new map pays off.
type Costs struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// BudgetBytes limits the bytes transferred for one new map.
	BudgetBytes int64
	// TransferSeconds is the total delay that one transfer adds to the group's steps.
	TransferSeconds float64
	// SwitchSeconds is the fixed cost of switching to a new map.
	SwitchSeconds float64
	// LifetimeSteps is the expected number of steps until the new map is replaced.
	LifetimeSteps float64
	// MaxNewPerLayer limits the transfers to a rank in one layer for one new map; 0 means no limit.
	MaxNewPerLayer int
}

// Plan is the result of a placement decision.
type Plan struct {
	// Map is the new map, or nil to keep the current one.
	Map *Map
	// Transfers is the number of experts that the ranks have to transfer, Bytes their total size.
	Transfers int
	Bytes     int64
	// Before and After are the predicted step times in seconds under the current and the new map. They are equal if Map
	// is nil.
	Before, After float64
}

const (
	// maxLayerChanges limits the search in one layer to twice the number of ranks of the design target.
	maxLayerChanges = 128
	// minGainShare is the fraction of a layer's step time that one change must save.
	minGainShare = 0.002
)

// segment is a run of consecutive changes in one layer. Its gain per transfer is larger than that of the segments after
// it. changes is the number of the layer's changes up to the end of the segment, gain the step time in seconds that the
// segment saves.
type segment struct {
	layer, changes int
	transfers      int
	gain           float64
}

func (s segment) rate() float64 { return s.gain / float64(s.transfers) }

// Improve returns a plan for a new map version with a shorter step time under the load. In each layer, it searches for
// changes that take work off the slowest rank. Across layers, it applies the changes with the largest gain per transfer
// first, as long as the gain over the expected lifetime exceeds the cost and the budget allows it (greedy rule for the
// fractional knapsack, Dantzig, 1957). It fails with a *SizeError.
func Improve(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error) {
	if err := checkSizes(current, load, speed); err != nil {
		return Plan{}, err
	}
	before := PredictStepTiming(current, load, speed).Step
	plan := Plan{Before: before, After: before}
	var segments []segment
	paths := make([][][]uint16, current.Shape.Layers)
	for l := range current.Shape.Layers {
		var found []segment
		found, paths[l] = searchLayer(current, l, load.Layer(l), speed, costs.MaxNewPerLayer)
		segments = append(segments, found...)
	}
	chosen := chooseChanges(segments, costs)
	if len(chosen) == 0 {
		return plan, nil
	}
	next, err := assembleMap(current, paths, chosen)
	if err != nil {
		return plan, err
	}
	return acceptIfWorthwhile(plan, current, next, load, speed, costs), nil
}

func checkSizes(m *Map, load *ExpertLoad, speed []float64) error {
	if len(speed) != m.Shape.Ranks {
		return &SizeError{Argument: "speeds", Expected: m.Shape.Ranks, Got: len(speed)}
	}
	if expected := m.Shape.Layers * m.Shape.Experts; len(load.Seconds) != expected {
		return &SizeError{Argument: "load", Expected: expected, Got: len(load.Seconds)}
	}
	return nil
}

// acceptIfWorthwhile adds the new map to the plan if the time that it saves over its lifetime exceeds the cost of all
// transfers and of the switch.
func acceptIfWorthwhile(plan Plan, current, next *Map, load *ExpertLoad, speed []float64, costs Costs) Plan {
	after := PredictStepTiming(next, load, speed).Step
	transfers := TotalTransfers(current, next)
	cost := float64(transfers)*costs.TransferSeconds + costs.SwitchSeconds
	if (plan.Before-after)*costs.LifetimeSteps <= cost {
		return plan
	}
	plan.Map, plan.After = next, after
	plan.Transfers, plan.Bytes = transfers, int64(transfers)*costs.ExpertBytes
	return plan
}

// searchLayer returns the segments of changes that shorten the step time of a layer, in order of decreasing gain per
// transfer, and the layer's slots after each change.
func searchLayer(m *Map, l int, work, speed []float64, maxNew int) ([]segment, [][]uint16) {
	ls := newLayerState(m, l, work, speed, maxNew)
	start := ls.rankTime[ls.slowest()]
	var transfers []int
	var times []float64
	var path [][]uint16
	total := 0
	for range maxLayerChanges {
		c, _, ok := ls.bestChange(minGainShare * start)
		if !ok {
			break
		}
		total += ls.transfers(c)
		ls.apply(c)
		transfers = append(transfers, total)
		times = append(times, ls.rankTime[ls.slowest()])
		path = append(path, slices.Clone(ls.slots))
	}
	return envelope(l, start, transfers, times), path
}

// envelope splits a sequence of changes into segments of decreasing gain per transfer: the upper concave envelope of
// gain over transfers.
func envelope(l int, start float64, transfers []int, times []float64) []segment {
	var out []segment
	covered, spent, gained := 0, 0, 0.0
	for covered < len(transfers) {
		best := segment{layer: l}
		for i := covered; i < len(transfers); i++ {
			s := segment{layer: l, changes: i + 1, transfers: transfers[i] - spent, gain: start - times[i] - gained}
			if s.gain > 0 && (best.changes == 0 || s.rate() >= best.rate()) {
				best = s
			}
		}
		if best.changes == 0 {
			break
		}
		out = append(out, best)
		covered, spent, gained = best.changes, transfers[best.changes-1], start-times[best.changes-1]
	}
	return out
}

// chooseChanges returns the number of changes to apply, by layer. Layers without changes are not in the result.
func chooseChanges(segments []segment, costs Costs) map[int]int {
	sort.SliceStable(segments, func(i, j int) bool { return segments[i].rate() > segments[j].rate() })
	changes := map[int]int{}
	blocked := map[int]bool{}
	bytes := int64(0)
	for _, s := range segments {
		if s.gain*costs.LifetimeSteps <= float64(s.transfers)*costs.TransferSeconds {
			break
		}
		size := int64(s.transfers) * costs.ExpertBytes
		if blocked[s.layer] || bytes+size > costs.BudgetBytes {
			blocked[s.layer] = true // Later changes of the layer depend on this one.
			continue
		}
		bytes += size
		changes[s.layer] = s.changes
	}
	return changes
}

// assembleMap returns the next version of the current map, with the given number of changes applied in each layer.
func assembleMap(current *Map, paths [][][]uint16, changes map[int]int) (*Map, error) {
	assign := slices.Clone(current.assignment)
	size := current.Shape.Ranks * current.Shape.Slots
	for l, n := range changes {
		copy(assign[l*size:], paths[l][n-1])
	}
	return NewMap(current.Version+1, current.Shape, assign)
}
