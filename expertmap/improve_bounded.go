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
	searches := make([]*search, current.Shape.Layers)
	for l := range searches {
		y := newLayer(current, l, load.Layer(l), speed, bounds.PerLayer)
		y.budget = budget
		searches[l] = newSearch(y, bounds.MinGainSeconds)
	}
	for {
		next := bestSearch(searches)
		if next == nil {
			break
		}
		next.advance()
	}
	return relieved(plan, current, load, speed, searches)
}

// relieved returns the plan with the changes that the searches have found worth making.
func relieved(plan Plan, current *Map, load *ExpertLoad, speed []float64, searches []*search) (Plan, error) {
	assign := slices.Clone(current.assign)
	size := current.Shape.Ranks * current.Shape.Slots
	for l, s := range searches {
		copy(assign[l*size:], s.best)
	}
	next, err := NewMap(current.Version+1, current.Shape, assign)
	if err != nil {
		return plan, err
	}
	loads := TotalTransfers(current, next)
	if loads == 0 {
		return plan, nil
	}
	plan.Map, plan.Transfers, plan.After = next, loads, StepTimes(next, load, speed).Step
	return plan, nil
}

// search is the search in one layer of a map.
type search struct {
	y *layer
	// cost is that of each expert loaded, start the time of the layer before the search, in seconds.
	cost, start float64
	loads       int
	// best holds the slots after the change up to which the layer's gain less its cost, worth, is greatest.
	best  []uint16
	worth float64
	// found says that step is the next change; rate is its gain for each expert loaded.
	step  step
	rate  float64
	found bool
	steps int
}

func newSearch(y *layer, cost float64) *search {
	s := &search{y: y, cost: cost, start: y.time[y.slowest()], best: slices.Clone(y.slots)}
	s.look()
	return s
}

// look finds the next change of the layer.
func (s *search) look() {
	s.found = false
	if s.steps >= maxLayerSteps {
		return
	}
	minGain := max(minGainShare*s.start, s.cost)
	s.step, s.rate, s.found = s.y.best(minGain)
}

// bestSearch returns the search whose next change gains the most for each expert loaded, nil when there is none left.
func bestSearch(searches []*search) *search {
	var best *search
	for _, s := range searches {
		if s.found && !s.y.allowsStep(s.step) {
			s.look() // A rank has no room for it any more.
		}
		if s.found && (best == nil || s.rate > best.rate) {
			best = s
		}
	}
	return best
}

// advance makes the next change of the layer.
func (s *search) advance() {
	s.steps++
	s.loads += s.y.loads(s.step)
	s.y.apply(s.step)
	if worth := s.start - s.y.time[s.y.slowest()] - s.cost*float64(s.loads); worth > s.worth {
		s.worth = worth
		s.best = slices.Clone(s.y.slots)
	}
	s.look()
}
