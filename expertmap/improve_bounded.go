package expertmap

import "slices"

// TransferBounds limit the transfers for one new map.
type TransferBounds struct {
	// PerLayer limits the transfers to a rank in one layer, PerRank those in all layers together; 0 means no limit.
	// A map takes effect only after the rank with the most transfers has completed them.
	PerLayer, PerRank int
	// MinGainSeconds is the step time in seconds that each transfer must save.
	MinGainSeconds float64
}

// ImproveBounded returns a plan for a new map version with a shorter step time under the load, within the bounds.
// Unlike Improve, it spreads the transfers over the ranks: the limit of a rank covers all layers, and the change with
// the largest gain per transfer is applied first, whichever layer it is in. It fails with a *SizeError.
func ImproveBounded(current *Map, load *ExpertLoad, speed []float64, bounds TransferBounds) (Plan, error) {
	if err := checkSizes(current, load, speed); err != nil {
		return Plan{}, err
	}
	before := PredictStepTiming(current, load, speed).Step
	plan := Plan{Before: before, After: before}
	var budget []int
	if bounds.PerRank > 0 {
		budget = slices.Repeat([]int{bounds.PerRank}, current.Shape.Ranks)
	}
	searches := make([]*layerSearch, current.Shape.Layers)
	for l := range searches {
		ls := newLayerState(current, l, load.Layer(l), speed, bounds.PerLayer)
		ls.budget = budget
		searches[l] = newLayerSearch(ls, bounds.MinGainSeconds)
	}
	for {
		next := nextSearch(searches)
		if next == nil {
			break
		}
		next.applyNext()
	}
	return planFromSearches(plan, current, load, speed, searches)
}

// planFromSearches returns the plan that combines the best result of each layer's search.
func planFromSearches(plan Plan, current *Map, load *ExpertLoad, speed []float64, searches []*layerSearch) (Plan, error) {
	assign := slices.Clone(current.assignment)
	size := current.Shape.Ranks * current.Shape.Slots
	for l, s := range searches {
		copy(assign[l*size:], s.bestSlots)
	}
	next, err := NewMap(current.Version+1, current.Shape, assign)
	if err != nil {
		return plan, err
	}
	transfers := TotalTransfers(current, next)
	if transfers == 0 {
		return plan, nil
	}
	plan.Map, plan.Transfers, plan.After = next, transfers, PredictStepTiming(next, load, speed).Step
	return plan, nil
}

// layerSearch is the state of the search in one layer of a map.
type layerSearch struct {
	layer *layerState
	// minGain is the gain required per transfer, start the layer's time before the search; both in seconds.
	minGain, start float64
	// transfers is the number of transfers for the changes applied so far.
	transfers int
	// bestSlots are the slots after the change with the largest netGain so far: the time saved less minGain per
	// transfer.
	bestSlots []uint16
	netGain   float64
	// change is the next change, rate its gain per transfer in seconds. Both are valid only if found is set.
	change change
	rate   float64
	found  bool
	// changes is the number of changes applied so far.
	changes int
}

func newLayerSearch(ls *layerState, minGain float64) *layerSearch {
	s := &layerSearch{layer: ls, minGain: minGain, start: ls.rankTime[ls.slowest()], bestSlots: slices.Clone(ls.slots)}
	s.findNext()
	return s
}

// findNext searches for the next change of the layer. It must save at least minGainShare of the layer's time before the
// search, and at least minGain in total, even if it needs two transfers.
func (s *layerSearch) findNext() {
	s.found = false
	if s.changes >= maxLayerChanges {
		return
	}
	minGain := max(minGainShare*s.start, s.minGain)
	s.change, s.rate, s.found = s.layer.bestChange(minGain)
}

// nextSearch returns the search whose next change has the largest gain per transfer, or nil when none is left.
func nextSearch(searches []*layerSearch) *layerSearch {
	var best *layerSearch
	for _, s := range searches {
		if s.found && !s.layer.allowsChange(s.change) {
			s.findNext() // Other layers have used up a rank's transfer limit.
		}
		if s.found && (best == nil || s.rate > best.rate) {
			best = s
		}
	}
	return best
}

// applyNext applies the next change of the layer and searches for the one after it.
func (s *layerSearch) applyNext() {
	s.changes++
	s.transfers += s.layer.transfers(s.change)
	s.layer.apply(s.change)
	if netGain := s.start - s.layer.rankTime[s.layer.slowest()] - s.minGain*float64(s.transfers); netGain > s.netGain {
		s.netGain = netGain
		s.bestSlots = slices.Clone(s.layer.slots)
	}
	s.findNext()
}
