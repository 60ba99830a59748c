package expertmap

import "fmt"

// ExpertLoad is the compute time that each expert of each layer needs per step on ranks of speed 1. The replicas of an
// expert share it equally.
type ExpertLoad struct {
	Shape Shape
	// Seconds is indexed by layer*Experts + expert.
	Seconds []float64
}

// NewExpertLoad returns a load of zero for every expert.
func NewExpertLoad(s Shape) *ExpertLoad {
	return &ExpertLoad{Shape: s, Seconds: make([]float64, s.Layers*s.Experts)}
}

// Layer returns the part of Seconds that belongs to one layer. It is not a copy.
func (l *ExpertLoad) Layer(layer int) []float64 {
	return l.Seconds[layer*l.Shape.Experts : (layer+1)*l.Shape.Experts]
}

// SizeError reports an argument whose length does not match the shape.
type SizeError struct {
	Argument      string
	Expected, Got int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d values, expected %d", e.Argument, e.Got, e.Expected)
}

// StepTiming is the predicted time of one step under a map.
type StepTiming struct {
	// Step is the duration of the step in seconds. The ranks exchange tokens in every layer, so all of them wait for
	// the slowest rank of each layer: Step is the sum of these maxima over the layers.
	Step float64
	// Mean is the duration of the step in seconds if all ranks were equally busy.
	Mean float64
	// Rank is the compute time of each rank in seconds, without waiting.
	Rank []float64
}

// Imbalance returns Step divided by Mean. It is at least 1.
func (t StepTiming) Imbalance() float64 {
	if t.Mean == 0 {
		return 1
	}
	return t.Step / t.Mean
}

// PredictStepTiming predicts the timing of a step under a map, given the relative speed of each rank (1 is normal).
func PredictStepTiming(m *Map, load *ExpertLoad, speed []float64) StepTiming {
	t := StepTiming{Rank: make([]float64, m.Shape.Ranks)}
	counts := make([]int, m.Shape.Experts)
	for l := range m.Shape.Layers {
		countReplicas(m, l, counts)
		work := load.Layer(l)
		slowest := 0.0
		for r := range m.Shape.Ranks {
			busy := 0.0
			for _, e := range m.Slots(l, r) {
				if e != EmptySlot {
					busy += work[e] / float64(counts[e])
				}
			}
			busy /= speed[r]
			t.Rank[r] += busy
			slowest = max(slowest, busy)
		}
		t.Step += slowest
	}
	for _, busy := range t.Rank {
		t.Mean += busy / float64(len(t.Rank))
	}
	return t
}

// countReplicas sets counts to the number of replicas of each expert in a layer.
func countReplicas(m *Map, layer int, counts []int) {
	clear(counts)
	for r := range m.Shape.Ranks {
		for _, e := range m.Slots(layer, r) {
			if e != EmptySlot {
				counts[e]++
			}
		}
	}
}
