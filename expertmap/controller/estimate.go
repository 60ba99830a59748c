package controller

import (
	"math"
	"slices"

	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rankapi"
)

// loadEstimate estimates the load of the experts and the speeds of the ranks from the ranks' counters. It performs no
// I/O.
type loadEstimate struct {
	shape expertmap.Shape
	// averagingSteps is the time constant of the average: the number of steps after which the weight of an observation
	// has decayed to 1/e.
	averagingSteps float64
	stragglers     *expertmap.StragglerDetector
	// lastStatus holds the status of each rank at the last poll, lastCounted that at the last poll with token counts of
	// the experts.
	lastStatus, lastCounted []rankapi.Status
	// tokens is the average number of tokens per step of each expert; observed is false before the first observation.
	tokens   []float64
	observed bool
	// tokenSeconds is the median over the ranks of the compute time per token.
	tokenSeconds float64
	// stepRatio is the compute time per step of each rank between the last two polls, relative to the group's median.
	stepRatio []float64
}

func newLoadEstimate(s expertmap.Shape, averagingSteps float64, settings expertmap.StragglerSettings) *loadEstimate {
	return &loadEstimate{
		shape: s, averagingSteps: averagingSteps, stragglers: expertmap.NewStragglerDetector(s.Ranks, settings),
		lastStatus: make([]rankapi.Status, s.Ranks), lastCounted: make([]rankapi.Status, s.Ranks),
		tokens: make([]float64, s.Layers*s.Experts), stepRatio: make([]float64, s.Ranks),
	}
}

// countersSince returns the status now with the increase of its counters since an earlier status. A switch to another
// map or a restart resets the counters; they are then returned as they are.
func countersSince(now, before rankapi.Status) rankapi.Status {
	if now.Active != before.Active || now.Steps < before.Steps {
		return now
	}
	now.Steps -= before.Steps
	now.Seconds -= before.Seconds
	now.Tokens -= before.Tokens
	if len(now.Experts) == len(before.Experts) {
		now.Experts = slices.Clone(now.Experts)
		for i := range now.Experts {
			now.Experts[i] -= before.Experts[i]
		}
	}
	return now
}

// observeTimes updates the speeds from the statuses of all ranks. It returns false if a rank has run no step since the
// last poll.
func (e *loadEstimate) observeTimes(statuses []rankapi.Status) (bool, error) {
	perToken := make([]float64, len(statuses))
	perStep := make([]float64, len(statuses))
	complete := true
	for r, s := range statuses {
		d := countersSince(s, e.lastStatus[r])
		e.lastStatus[r] = s
		if d.Steps <= 0 || d.Tokens <= 0 {
			complete = false
			continue
		}
		perToken[r] = d.Seconds / float64(d.Tokens)
		perStep[r] = d.Seconds / float64(d.Steps)
	}
	if !complete {
		return false, nil
	}
	e.tokenSeconds = median(perToken)
	medianStep := median(perStep)
	for r := range perStep {
		e.stepRatio[r] = perStep[r] / medianStep
	}
	return true, e.stragglers.Observe(perToken)
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// observeExperts updates the load from statuses with token counts of experts. All ranks must use the map m.
func (e *loadEstimate) observeExperts(m *expertmap.Map, statuses []rankapi.Status) {
	sum := make([]float64, len(e.tokens))
	steps := 0.0
	for r, s := range statuses {
		d := countersSince(s, e.lastCounted[r])
		e.lastCounted[r] = s
		if d.Steps <= 0 || len(d.Experts) != m.Shape.Layers*m.Shape.Slots {
			return
		}
		steps = float64(d.Steps)
		for i, n := range d.Experts {
			layer, slot := i/m.Shape.Slots, i%m.Shape.Slots
			if expert := m.Slots(layer, r)[slot]; expert != expertmap.EmptySlot {
				sum[layer*m.Shape.Experts+int(expert)] += float64(n) / steps
			}
		}
	}
	weight := 1 - math.Exp(-steps/e.averagingSteps)
	if !e.observed {
		weight = 1
	}
	e.observed = true
	for i := range e.tokens {
		e.tokens[i] += weight * (sum[i] - e.tokens[i])
	}
}

// load returns the estimated load, in seconds on a rank of speed 1.
func (e *loadEstimate) load() *expertmap.ExpertLoad {
	out := expertmap.NewExpertLoad(e.shape)
	for i, n := range e.tokens {
		out.Seconds[i] = n * e.tokenSeconds
	}
	return out
}

// stragglerRemains reports whether a slow rank still needs more time per step than threshold times the median. No
// work, or not enough, has then been moved off the rank.
func (e *loadEstimate) stragglerRemains(threshold float64) bool {
	for _, r := range e.stragglers.Slow() {
		if e.stepRatio[r] > threshold {
			return true
		}
	}
	return false
}
