package expertmap

import "slices"

// TransferBounds limit what one new map makes ranks load.
type TransferBounds struct {
	// PerLayer bounds the experts of one layer that a rank loads, PerRank those of all layers together; 0 is no bound. A map is in
	// force when the rank with the most to load is done.
	PerLayer, PerRank int
	// MinGainSeconds is what each expert loaded has to take off the step in seconds.
	MinGainSeconds float64
}

// ImproveBounded returns a new version of a map that is better for the load within the bounds. Unlike Improve it spreads what has to be
// loaded over the ranks: the layers share each rank's bound, and the change with the largest gain for each expert loaded goes first,
// whichever layer it is in. It fails with a *SizeError.
func ImproveBounded(current *Map, load *ExpertLoad, speed []float64, bounds TransferBounds) (Plan, error) {
	if err := checkSizes(current, load, speed); err != nil {
		return Plan{}, err
	}
	before := StepTimes(current, load, speed).Step
	plan := Plan{Before: before, After: before}
	var budget []int
	if bounds.PerRank > 0 {
		budget = slices.Repeat([]int{bounds.PerRank}, current.Shape.Ranks)
	}
	searches := make([]*layerSearch, current.Shape.Layers)
	for l := range searches {
		ls := newLayer(current, l, load.Layer(l), speed, bounds.PerLayer)
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

// planFromSearches returns the plan with the changes that the searches have found worth making.
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
	plan.Map, plan.Transfers, plan.After = next, transfers, StepTimes(next, load, speed).Step
	return plan, nil
}

// layerSearch is the search in one layer of a map.
type layerSearch struct {
	layer *layerState
	// minGain is that of each expert loaded, start the time of the layer before the search, in seconds.
	minGain, start float64
	transfers      int
	// best holds the slots after the change up to which the layer's gain less its minGain, netGain, is greatest.
	bestSlots []uint16
	netGain   float64
	// found says that change is the next change; rate is its gain for each expert loaded.
	change  change
	rate    float64
	found   bool
	changes int
}

func newLayerSearch(ls *layerState, minGain float64) *layerSearch {
	s := &layerSearch{layer: ls, minGain: minGain, start: ls.rankTime[ls.slowest()], bestSlots: slices.Clone(ls.slots)}
	s.findNext()
	return s
}

// findNext finds the next change of the layer.
func (s *layerSearch) findNext() {
	s.found = false
	if s.changes >= maxLayerChanges {
		return
	}
	minGain := max(minGainShare*s.start, s.minGain)
	s.change, s.rate, s.found = s.layer.bestChange(minGain)
}

// nextSearch returns the search whose next change gains the most for each expert loaded, nil when there is none left.
func nextSearch(searches []*layerSearch) *layerSearch {
	var best *layerSearch
	for _, s := range searches {
		if s.found && !s.layer.allowsChange(s.change) {
			s.findNext() // A rank has no room for it any more.
		}
		if s.found && (best == nil || s.rate > best.rate) {
			best = s
		}
	}
	return best
}

// applyNext makes the next change of the layer.
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
