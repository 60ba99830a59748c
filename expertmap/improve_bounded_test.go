package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a map that exceeds the transfer limits of a rank or layer, is worse than the one before, or has a
// wrong predicted step time.
func TestImproveBoundedProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Layers: 3, Slots: rapid.IntRange(2, 5).Draw(t, "slots")}
		s.Experts = rapid.IntRange(s.Slots, s.Ranks*s.Slots).Draw(t, "experts")
		load := skewedLoad(s, rapid.Uint64().Draw(t, "seed"), 1.5)
		speed := evenSpeeds(s.Ranks)
		speed[0] = rapid.Float64Range(0.3, 1).Draw(t, "speed")
		start, err := Balanced(1, skewedLoad(s, 7, 1), evenSpeeds(s.Ranks))
		require.NoError(t, err)
		b := TransferBounds{PerLayer: rapid.IntRange(0, 3).Draw(t, "layer"), PerRank: rapid.IntRange(0, 4).Draw(t, "rank")}
		plan, err := ImproveBounded(start, load, speed, b)
		require.NoError(t, err)
		if plan.Map == nil {
			require.Equal(t, plan.Before, plan.After)
			return
		}
		require.InDelta(t, PredictStepTiming(plan.Map, load, speed).Step, plan.After, 1e-12)
		require.Less(t, plan.After, plan.Before)
		for r, transfers := range TransfersPerRank(start, plan.Map) {
			if b.PerRank > 0 {
				require.LessOrEqual(t, transfers, b.PerRank)
			}
			for l := range s.Layers {
				newExperts := 0
				for _, e := range plan.Map.Slots(l, r) {
					if e != EmptySlot && !contains(start.Slots(l, r), e) {
						newExperts++
					}
				}
				require.True(t, b.PerLayer == 0 || newExperts <= b.PerLayer, "%d new experts", newExperts)
			}
		}
	})
}

// Guards against a continued search whose plan exceeds the raised limit of transfers per rank, or is worse than the one
// before. Load: the popularity of experts shifts in all layers.
func TestContinuedSearchKeepsTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Layers: 3, Slots: 4, Experts: 8}
		load := skewedLoad(s, rapid.Uint64().Draw(t, "seed"), 1.5)
		start, err := Balanced(1, skewedLoad(s, 7, 1), evenSpeeds(s.Ranks))
		require.NoError(t, err)
		search, err := NewBoundedSearch(start, load, evenSpeeds(s.Ranks), TransferBounds{PerLayer: 2, PerRank: 1})
		require.NoError(t, err)
		after := PredictStepTiming(start, load, evenSpeeds(s.Ranks)).Step
		for limit := 1; limit <= 4; limit++ {
			plan, err := search.Improve()
			require.NoError(t, err)
			require.LessOrEqual(t, plan.After, after+1e-12)
			after = plan.After
			if plan.Map != nil {
				for _, transfers := range TransfersPerRank(start, plan.Map) {
					require.LessOrEqual(t, transfers, limit)
				}
			}
			search.RaisePerRank(1)
		}
	})
}

// Guards against bounds that exclude the best change: the search skips most ranks and slots after a shift of demand.
func TestSearchExcludesNoBetterChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(2, 12).Draw(t, "ranks"), Layers: 1, Slots: 4}
		s.Experts = rapid.IntRange(s.Slots, s.Ranks*s.Slots).Draw(t, "experts")
		load := skewedLoad(s, rapid.Uint64().Draw(t, "seed"), 1.5)
		speed := evenSpeeds(s.Ranks)
		speed[0] = rapid.Float64Range(0.3, 1).Draw(t, "speed")
		start, err := Balanced(1, skewedLoad(s, 7, 1), evenSpeeds(s.Ranks))
		require.NoError(t, err)
		ls := newLayerState(start, 0, load.Layer(0), speed, 2)
		ls.budget = make([]int, s.Ranks)
		for r := range ls.budget {
			ls.budget[r] = rapid.IntRange(0, 2).Draw(t, "budget")
		}
		for range 5 {
			want := bestRate(ls)
			c, rate, found := ls.bestChange(0)
			require.InDelta(t, want, rate, 1e-9)
			if !found {
				return
			}
			ls.apply(c)
		}
	})
}

// bestRate returns the largest gain per transfer of all changes of the slowest rank.
func bestRate(ls *layerState) float64 {
	slowest, best := ls.slowest(), 0.0
	for from := slowest * ls.shape.Slots; from < (slowest+1)*ls.shape.Slots; from++ {
		for to := range ls.slots {
			for _, replicate := range []bool{true, false} {
				c := change{from: from, to: to, replicate: replicate}
				e, r := ls.slots[from], to/ls.shape.Slots
				if e == EmptySlot || r == slowest || ls.holds(r, e) || !ls.allowsChange(c) {
					continue
				}
				gain := ls.rankTime[slowest] - ls.maxTimeAfter(c)
				best = max(best, gain/float64(ls.transfers(c)))
			}
		}
	}
	return best
}

func contains(slots []uint16, e uint16) bool {
	for _, other := range slots {
		if other == e {
			return true
		}
	}
	return false
}

// Guards against a map that takes effect late because one rank has most of the transfers. The load shifts to other
// experts in all layers at the same time, so the slowest rank differs between layers.
func TestImproveBoundedSpreadsTransfersOverRanks(t *testing.T) {
	s := Shape{Ranks: 8, Experts: 64, Layers: 6, Slots: 11}
	speed := evenSpeeds(s.Ranks)
	before := skewedLoad(s, 1, 1.2)
	start, err := Balanced(1, before, speed)
	require.NoError(t, err)
	after := skewedLoad(s, 2, 1.2)
	maxTransfers := func(p Plan) int {
		highest := 0
		for _, n := range TransfersPerRank(start, p.Map) {
			highest = max(highest, n)
		}
		return highest
	}
	unlimited, err := Improve(start, after, speed, Costs{LifetimeSteps: 1, BudgetBytes: 1, TransferSeconds: 1e-6, MaxNewPerLayer: 1})
	require.NoError(t, err)
	spread, err := ImproveBounded(start, after, speed, TransferBounds{PerRank: 2})
	require.NoError(t, err)
	require.LessOrEqual(t, maxTransfers(spread), 2)
	require.Greater(t, maxTransfers(unlimited), 2, "without a limit per rank, one rank has more transfers")
	gain := func(p Plan) float64 {
		return (p.Before - p.After) / (p.Before - PredictStepTiming(start, after, speed).Mean)
	}
	require.Greater(t, gain(spread), 0.6, "gain as a share of the gain of perfect balance")
}

// Guards against transfers that cost more than they save.
func TestImproveBoundedWeighsEachTransfer(t *testing.T) {
	s := Shape{Ranks: 8, Experts: 64, Layers: 6, Slots: 11}
	speed := evenSpeeds(s.Ranks)
	start, err := Balanced(1, skewedLoad(s, 1, 1), speed)
	require.NoError(t, err)
	load := skewedLoad(s, 2, 1)
	unbounded, err := ImproveBounded(start, load, speed, TransferBounds{})
	require.NoError(t, err)
	cost := (unbounded.Before - unbounded.After) / float64(unbounded.Transfers)
	bounded, err := ImproveBounded(start, load, speed, TransferBounds{MinGainSeconds: cost})
	require.NoError(t, err)
	require.Less(t, bounded.Transfers, unbounded.Transfers)
	require.GreaterOrEqual(t, bounded.Before-bounded.After, cost*float64(bounded.Transfers))
	none, err := ImproveBounded(start, load, speed, TransferBounds{MinGainSeconds: 1})
	require.NoError(t, err)
	require.Nil(t, none.Map)
	_, err = ImproveBounded(start, load, speed[1:], TransferBounds{})
	var size *SizeError
	require.ErrorAs(t, err, &size)
}
