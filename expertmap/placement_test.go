package expertmap

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	targetShape = Shape{Ranks: 64, Experts: 256, Layers: 60, Slots: 5}
	// wideShape has the target's ranks and experts in fewer layers, for tests under the race detector.
	wideShape = Shape{Ranks: 64, Experts: 256, Layers: 4, Slots: 5}
)

// skewedLoad draws a log-normal load for every expert.
func skewedLoad(s Shape, seed uint64, sigma float64) *ExpertLoad {
	rng := rand.New(rand.NewPCG(seed, 1))
	load := NewExpertLoad(s)
	for i := range load.Seconds {
		load.Seconds[i] = math.Exp(sigma*rng.NormFloat64()) * 1e-4
	}
	return load
}

func evenSpeeds(n int) []float64 {
	speed := make([]float64, n)
	for i := range speed {
		speed[i] = 1
	}
	return speed
}

func freeTransferCosts() Costs {
	return Costs{ExpertBytes: 1, BudgetBytes: 1 << 40, LifetimeSteps: 1e6}
}

// Guards against a new map that is invalid, has a longer step time than the old one, exceeds the byte budget, or has a
// wrong predicted step time.
func TestImproveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Layers: 2, Slots: rapid.IntRange(2, 4).Draw(t, "slots")}
		s.Experts = rapid.IntRange(s.Slots, s.Ranks*s.Slots).Draw(t, "experts")
		load := skewedLoad(s, rapid.Uint64().Draw(t, "seed"), 1)
		speed := evenSpeeds(s.Ranks)
		speed[0] = rapid.Float64Range(0.3, 1).Draw(t, "speed")
		start, err := Balanced(1, skewedLoad(s, 7, 1), evenSpeeds(s.Ranks))
		require.NoError(t, err)
		costs := freeTransferCosts()
		costs.BudgetBytes = int64(rapid.IntRange(0, 20).Draw(t, "budget"))
		plan, err := Improve(start, load, speed, costs)
		require.NoError(t, err)
		require.LessOrEqual(t, plan.Bytes, costs.BudgetBytes)
		if plan.Map == nil {
			require.Zero(t, plan.Transfers)
			return
		}
		require.Less(t, plan.After, plan.Before)
		require.InDelta(t, PredictStepTiming(plan.Map, load, speed).Step, plan.After, 1e-12)
		require.Equal(t, int64(2), plan.Map.Version)
		require.Equal(t, TotalTransfers(start, plan.Map), plan.Transfers)
	})
}

// Guards against cached search state that diverges from the slots, so that predicted and actual times differ.
func TestSearchPredictsEachChange(t *testing.T) {
	load := skewedLoad(wideShape, 3, 1)
	m, err := Balanced(1, skewedLoad(wideShape, 4, 1), evenSpeeds(64))
	require.NoError(t, err)
	ls := newLayerState(m, 0, load.Layer(0), evenSpeeds(64), 0)
	for range 40 {
		c, _, ok := ls.bestChange(0)
		if !ok {
			break
		}
		changed := []int{c.from / 5, c.to / 5}
		if c.replicate && ls.slots[c.to] != EmptySlot {
			changed = append(changed, ls.hosts[ls.slots[c.to]]...)
		}
		want := ls.maxTimeAfter(c)
		ls.apply(c)
		got := 0.0
		for _, r := range changed {
			got = max(got, ls.rankTime[r])
		}
		require.InDelta(t, want, got, 1e-12)
	}
}

// Guards against a new map whose gain over its lifetime is below its cost (hysteresis).
func TestImproveKeepsMapWhenCostExceedsGain(t *testing.T) {
	load := skewedLoad(wideShape, 3, 0.5)
	m, err := Balanced(1, skewedLoad(wideShape, 4, 0.5), evenSpeeds(64))
	require.NoError(t, err)
	costs := freeTransferCosts()
	plan, err := Improve(m, load, evenSpeeds(64), costs)
	require.NoError(t, err)
	require.NotNil(t, plan.Map)
	costs.LifetimeSteps, costs.TransferSeconds = 10, 0.01
	plan, err = Improve(m, load, evenSpeeds(64), costs)
	require.NoError(t, err)
	require.Nil(t, plan.Map)
}

// Guards against a worthwhile map that includes changes which cost more than they gain, and against a map whose gain is
// below the fixed cost of a switch.
func TestImproveWeighsEachChange(t *testing.T) {
	load := skewedLoad(wideShape, 3, 0.5)
	m, err := Balanced(1, skewedLoad(wideShape, 4, 0.5), evenSpeeds(64))
	require.NoError(t, err)
	costs := freeTransferCosts()
	all, err := Improve(m, load, evenSpeeds(64), costs)
	require.NoError(t, err)
	costs.TransferSeconds = (all.Before - all.After) * costs.LifetimeSteps / float64(all.Transfers)
	some, err := Improve(m, load, evenSpeeds(64), costs)
	require.NoError(t, err)
	require.NotNil(t, some.Map)
	require.Less(t, some.Transfers, all.Transfers/2)
	costs = freeTransferCosts()
	costs.SwitchSeconds = 2 * all.Before * costs.LifetimeSteps
	none, err := Improve(m, load, evenSpeeds(64), costs)
	require.NoError(t, err)
	require.Nil(t, none.Map)
}

// Guards against a slow rank that keeps its share of the work.
func TestImproveShiftsWorkOffSlowRank(t *testing.T) {
	load := skewedLoad(wideShape, 3, 0.5)
	m, err := Balanced(1, load, evenSpeeds(64))
	require.NoError(t, err)
	speed := evenSpeeds(64)
	speed[9] = 0.5
	plan, err := Improve(m, load, speed, freeTransferCosts())
	require.NoError(t, err)
	require.NotNil(t, plan.Map)
	require.Less(t, plan.After, 0.75*plan.Before)
}

// Guards against a map that changes in a JSON round trip, and against a map that is accepted although it does not match
// its digest.
func TestMapJSON(t *testing.T) {
	m := testMap(t, 3, 0)
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	var decoded Map
	require.NoError(t, json.Unmarshal(raw, &decoded))
	require.Equal(t, m.Digest(), decoded.Digest())
	conflicting, err := json.Marshal(mapJSON{Version: 4, Shape: m.Shape, Assign: m.encodeAssignment(), Digest: m.Digest()})
	require.NoError(t, err)
	require.IsType(t, &DigestError{}, json.Unmarshal(conflicting, &decoded))
}

// Guards against maps with a missing expert, with one that does not exist, or with one expert twice on a rank.
func TestNewMapRejectsInvalidAssignment(t *testing.T) {
	for name, assign := range map[string][]uint16{
		"missing": {0, 1, 2, 0, 0, 1}, "twice": {0, 1, 2, 3, 0, 0}, "unknown": {0, 1, 2, 3, 0, 4},
	} {
		_, err := NewMap(1, smallShape, assign)
		require.IsType(t, &AssignmentError{}, err, name)
	}
}

// BenchmarkImprove measures one decision at the target size. The design allows it 1 s of one core.
func BenchmarkImprove(b *testing.B) {
	load := skewedLoad(targetShape, 3, 1)
	m, err := Balanced(1, skewedLoad(targetShape, 4, 1), evenSpeeds(64))
	require.NoError(b, err)
	for b.Loop() {
		_, err = Improve(m, load, evenSpeeds(64), freeTransferCosts())
		require.NoError(b, err)
	}
}

// BenchmarkBalanced measures placing all experts from scratch at the target size.
func BenchmarkBalanced(b *testing.B) {
	load := skewedLoad(targetShape, 3, 1)
	for b.Loop() {
		_, err := Balanced(1, load, evenSpeeds(64))
		require.NoError(b, err)
	}
}

// Guards against accepting an assignment with an odd number of bytes by ignoring the last one.
func TestMapJSONRejectsOddAssignmentLength(t *testing.T) {
	m, err := NewMap(1, Shape{Ranks: 1, Experts: 1, Layers: 1, Slots: 1}, []uint16{0})
	require.NoError(t, err)
	raw, err := json.Marshal(mapJSON{Version: 1, Shape: m.Shape, Assign: []byte{0, 0, 0}, Digest: m.Digest()})
	require.NoError(t, err)
	var invalid *AssignmentError
	require.ErrorAs(t, json.Unmarshal(raw, new(Map)), &invalid)
}

// Guards against a map that a rank rejects because the rank would have to transfer more experts of a layer than it has
// room for.
func TestImproveRespectsMaxNewPerLayer(t *testing.T) {
	s := Shape{Ranks: 12, Experts: 72, Layers: 4, Slots: 8}
	rng := rand.New(rand.NewPCG(3, 5))
	for range 20 {
		load := NewExpertLoad(s)
		for i := range load.Seconds {
			load.Seconds[i] = math.Exp(1.5 * rng.NormFloat64())
		}
		current, err := Balanced(1, load, evenSpeeds(s.Ranks))
		require.NoError(t, err)
		for i := range load.Seconds {
			load.Seconds[i] = math.Exp(1.5 * rng.NormFloat64())
		}
		for _, maxNew := range []int{1, 2, 3} {
			plan, err := Improve(current, load, evenSpeeds(s.Ranks), Costs{BudgetBytes: 1 << 60, LifetimeSteps: 1, MaxNewPerLayer: maxNew})
			require.NoError(t, err)
			require.NotNil(t, plan.Map)
			for l := range s.Layers {
				for r := range s.Ranks {
					newCount := 0
					for _, e := range plan.Map.Slots(l, r) {
						if e != EmptySlot && !slices.Contains(current.Slots(l, r), e) {
							newCount++
						}
					}
					require.LessOrEqual(t, newCount, maxNew)
				}
			}
		}
	}
}
