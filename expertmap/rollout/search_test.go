package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap"
)

// Shapes of the groups of the first and the second customer.
var (
	firstShape  = expertmap.Shape{Ranks: 63, Experts: 252, Layers: 8, Slots: 5}
	secondShape = expertmap.Shape{Ranks: 32, Experts: 128, Layers: 12, Slots: 5}
)

// shiftedShares returns the shares of the experts of each layer, of which most go to other experts than before.
func shiftedShares(s expertmap.Shape, rng *rand.Rand) [][]float64 {
	out := make([][]float64, s.Layers)
	for l := range out {
		out[l] = make([]float64, s.Experts)
		total := 0.0
		for e := range out[l] {
			// Log-normal shares with the deviation 0.6 give the most loaded rank about twice the mean work.
			out[l][e] = lognormal(rng, 0.6)
			total += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= total
		}
	}
	return out
}

// BenchmarkPlanAfterShift measures the processor time of planning the first map after a shift of demand.
func BenchmarkPlanAfterShift(b *testing.B) {
	for name, s := range map[string]expertmap.Shape{"first": firstShape, "second": secondShape} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(3, 1))
			p := NewPlanner(DefaultSettings(s, 2, 5*time.Millisecond), NewGroup(make([]Rank, s.Ranks), 0, nil, zap.NewNop()), zap.NewNop())
			for range s.Ranks {
				p.group.states = append(p.group.states, State{Pace: 1})
			}
			start, err := expertmap.Balanced(1, loadOfLayers(s, shiftedShares(s, rng)), p.speeds())
			require.NoError(b, err)
			p.current = start
			load := loadOfLayers(s, shiftedShares(s, rng))
			mean := expertmap.PredictStepTiming(start, load, p.speeds()).Mean
			for b.Loop() {
				best, err := p.bestCandidate(load)
				require.NoError(b, err)
				b.ReportMetric(best.plan.Before/mean, "before")
				b.ReportMetric(best.plan.After/mean, "after")
				b.ReportMetric(float64(best.plan.Transfers), "transfers")
				b.ReportMetric(float64(best.transferTime.Milliseconds()), "copy-ms")
			}
		})
	}
}

// BenchmarkPlanSteady measures the processor time of a plan while the demand is steady and its estimate is noisy.
func BenchmarkPlanSteady(b *testing.B) {
	s := firstShape
	rng := rand.New(rand.NewPCG(3, 2))
	p := NewPlanner(DefaultSettings(s, 2, 5*time.Millisecond), NewGroup(make([]Rank, s.Ranks), 0, nil, zap.NewNop()), zap.NewNop())
	for range s.Ranks {
		p.group.states = append(p.group.states, State{Pace: 1})
	}
	load := loadOfLayers(s, shiftedShares(s, rng))
	start, err := expertmap.Balanced(1, load, p.speeds())
	require.NoError(b, err)
	p.current = start
	for i := range load.Seconds {
		load.Seconds[i] *= lognormal(rng, 0.05)
	}
	for b.Loop() {
		_, err := p.bestCandidate(load)
		require.NoError(b, err)
	}
}

func loadOfLayers(s expertmap.Shape, shares [][]float64) *expertmap.ExpertLoad {
	load := expertmap.NewExpertLoad(s)
	for l := range s.Layers {
		copy(load.Layer(l), shares[l])
	}
	return load
}

// lognormal returns a log-normal number whose logarithm has the given deviation.
func lognormal(rng *rand.Rand, sigma float64) float64 { return math.Exp(sigma * rng.NormFloat64()) }
