package expertmap

import "fmt"

// ExpertLoad is the popularity of experts: the seconds of work that each one brings in a step to ranks of speed 1,
// shared equally by its replicas.
type ExpertLoad struct {
	Shape Shape
	// Seconds is in order of layer and expert.
	Seconds []float64
}

// NewExpertLoad returns a load of zeros.
func NewExpertLoad(s Shape) *ExpertLoad {
	return &ExpertLoad{Shape: s, Seconds: make([]float64, s.Layers*s.Experts)}
}

// Layer returns the seconds of the experts of one layer.
func (l *ExpertLoad) Layer(layer int) []float64 {
	return l.Seconds[layer*l.Shape.Experts : (layer+1)*l.Shape.Experts]
}

// SizeError says that an argument does not have the length that the shape gives.
type SizeError struct {
	Argument  string
	Want, Got int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d values, expected %d", e.Argument, e.Got, e.Want)
}

// StepTiming is the time of one step under a map.
type StepTiming struct {
	// Step is the time of the step in seconds. The ranks exchange tokens in every layer, so that the slowest
	// rank of each layer holds up all others: Step is the sum over the layers of the slowest rank's time.
	Step float64
	// Mean is the time that the step would take if all ranks were equally busy, in seconds.
	Mean float64
	// Rank is the time that each rank computes, without waiting, in seconds.
	Rank []float64
}

// Imbalance is the time of the step over the mean of the ranks, at least 1.
func (t StepTiming) Imbalance() float64 {
	if t.Mean == 0 {
		return 1
	}
	return t.Step / t.Mean
}

// StepTimes returns the times of a step under a map, given the speed of each rank (1 is the usual).
func StepTimes(m *Map, load *ExpertLoad, speed []float64) StepTiming {
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
