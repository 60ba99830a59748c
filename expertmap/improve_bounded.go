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
	b, err := NewBoundedSearch(current, load, speed, bounds)
	if err != nil {
		return Plan{}, err
	}
	return b.Improve()
}

// BoundedSearch is the search of ImproveBounded, which can be continued with a higher limit of transfers per rank. It is
// not safe for concurrent use.
type BoundedSearch struct {
	current *Map
	load    *ExpertLoad
	speed   []float64
	before  float64
	// budget is the number of experts that each rank may still transfer, nil if there is no limit.
	budget   []int
	searches []*layerSearch
}

// NewBoundedSearch returns a search that has not begun. It fails with a *SizeError.
func NewBoundedSearch(current *Map, load *ExpertLoad, speed []float64, bounds TransferBounds) (*BoundedSearch, error) {
	if err := checkSizes(current, load, speed); err != nil {
		return nil, err
	}
	b := &BoundedSearch{current: current, load: load, speed: speed, before: PredictStepTiming(current, load, speed).Step}
	if bounds.PerRank > 0 {
		b.budget = slices.Repeat([]int{bounds.PerRank}, current.Shape.Ranks)
	}
	b.searches = make([]*layerSearch, current.Shape.Layers)
	for l := range b.searches {
		ls := newLayerState(current, l, load.Layer(l), speed, bounds.PerLayer)
		ls.budget = b.budget
		b.searches[l] = newLayerSearch(ls, bounds.MinGainSeconds)
	}
	return b, nil
}

// RaisePerRank raises the limit of transfers per rank. The search continues from its present state, so that a plan with
// a higher limit costs only the changes that it has in addition.
func (b *BoundedSearch) RaisePerRank(transfers int) {
	for r := range b.budget {
		b.budget[r] += transfers
	}
	for _, s := range b.searches {
		s.findNext()
	}
}

// Improve returns the best plan within the bounds. The plan's Map is nil if there is none.
func (b *BoundedSearch) Improve() (Plan, error) {
	for next := nextSearch(b.searches); next != nil; next = nextSearch(b.searches) {
		next.applyNext()
	}
	plan := Plan{Before: b.before, After: b.before}
	assign := slices.Clone(b.current.assignment)
	size := b.current.Shape.Ranks * b.current.Shape.Slots
	for l, s := range b.searches {
		copy(assign[l*size:], s.bestSlots)
	}
	next, err := NewMap(b.current.Version+1, b.current.Shape, assign)
	if err != nil {
		return plan, err
	}
	transfers := TotalTransfers(b.current, next)
	if transfers == 0 {
		return plan, nil
	}
	plan.Map, plan.Transfers, plan.After = next, transfers, PredictStepTiming(next, b.load, b.speed).Step
	return plan, nil
}

// layerSearch is the state of the search in one layer of a map.
type layerSearch struct {
	layer *layerState
	// minGain is the gain required per transfer, start the layer's time before the search, mean a lower bound of it; all
	// in seconds.
	minGain, start, mean float64
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
	work, speed := 0.0, 0.0
	for _, w := range ls.work {
		work += w
	}
	for _, v := range ls.speed {
		speed += v
	}
	s.mean = work / speed
	s.findNext()
	return s
}

// findNext searches for the next change of the layer. It must save at least minGainShare of the layer's time before the
// search, and at least minGain in total, even if it needs two transfers.
func (s *layerSearch) findNext() {
	s.found = false
	if s.changes >= maxLayerChanges || s.exhausted() {
		return
	}
	minGain := max(minGainShare*s.start, s.minGain)
	s.change, s.rate, s.found = s.layer.bestChange(minGain)
}

// exhausted reports whether even a layer with the mean time at every rank would not be worth its transfers any more.
func (s *layerSearch) exhausted() bool {
	return s.start-s.mean-s.minGain*float64(s.transfers+1) <= s.netGain
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
