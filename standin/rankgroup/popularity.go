package rankgroup

import (
	"math"
	"math/rand/v2"

	"lavendermoor.example/expertmap"
)

// Drift describes how the popularity of experts changes. The logarithm of each expert's popularity follows an
// Ornstein-Uhlenbeck process around 0.
type Drift struct {
	// Sigma is the standard deviation of the logarithm of the popularity.
	Sigma float64 `json:"sigma"`
	// CorrelationSteps is the number of steps after which the autocorrelation has fallen to 1/e.
	CorrelationSteps float64 `json:"memory_steps"`
	// Every is the number of steps between two changes.
	Every int `json:"every"`
}

// popularity holds the current popularity of all experts.
type popularity struct {
	drift         Drift
	rng           *rand.Rand
	logPopularity []float64
	load          *expertmap.ExpertLoad
	// layerSeconds is the work of one layer for the whole group, in seconds of a rank with speed 1.
	layerSeconds float64
}

func newPopularity(s expertmap.Shape, d Drift, layerSeconds float64, seed uint64) *popularity {
	p := &popularity{
		drift: d, rng: rand.New(rand.NewPCG(seed, 0x706f70)), logPopularity: make([]float64, s.Layers*s.Experts),
		load: expertmap.NewExpertLoad(s), layerSeconds: layerSeconds,
	}
	for i := range p.logPopularity {
		p.logPopularity[i] = d.Sigma * p.rng.NormFloat64()
	}
	p.normalize()
	return p
}

// advance changes the popularity in every drift.Every-th step.
func (p *popularity) advance(step int64) {
	if p.drift.Every <= 0 || step == 0 || step%int64(p.drift.Every) != 0 {
		return
	}
	decay := math.Exp(-float64(p.drift.Every) / p.drift.CorrelationSteps)
	sigma := p.drift.Sigma * math.Sqrt(1-decay*decay)
	for i := range p.logPopularity {
		p.logPopularity[i] = decay*p.logPopularity[i] + sigma*p.rng.NormFloat64()
	}
	p.normalize()
}

// normalize computes the load from the popularity. The loads of each layer add up to layerSeconds.
func (p *popularity) normalize() {
	experts := p.load.Shape.Experts
	for l := range p.load.Shape.Layers {
		layer := p.load.Layer(l)
		sum := 0.0
		for e := range layer {
			layer[e] = math.Exp(p.logPopularity[l*experts+e])
			sum += layer[e]
		}
		for e := range layer {
			layer[e] *= p.layerSeconds / sum
		}
	}
}
