package rollout

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap"
)

// Guards against counts that are several polls old because a large group was polled in rotation: a shift of popularity
// was then detected only after 1.2 s. Scenario: the experts in demand change every few seconds.
func TestLargeGroupSamplesFixedRanks(t *testing.T) {
	for _, n := range []int{1, 12, maxSampledRanks, maxSampledRanks + 1, 63, 64, 300} {
		g := &Group{ranks: make([]Rank, n)}
		sampled := 0
		for i := range n {
			if g.samplesCounts(i) {
				sampled++
			}
		}
		require.Equal(t, min(n, maxSampledRanks), sampled, "%d ranks", n)
	}
}

// Guards against a planner that polls all ranks of a large group as often as the counts. Load: 63 ranks with steady
// demand.
func TestSteadyGroupIsPolledForCountsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newShiftModel(t, firstShape, 2)
		group := NewGroup(m.allRanks(), 0, (&issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}).currentFence, zap.NewNop())
		p := NewPlanner(DefaultSettings(firstShape, 2, 5*time.Millisecond), group, zap.NewNop())
		const ticks = 50
		full := 0
		for range ticks {
			before := p.polledAt
			require.NoError(t, p.Tick(t.Context(), time.Now()))
			if p.polledAt != before {
				full++
			}
			time.Sleep(p.TickInterval(time.Now()))
		}
		elapsed := ticks * p.settings.PollInterval
		require.InDelta(t, float64(elapsed)/float64(p.settings.FullPollInterval), full, 2)
		m.withLock(func() { m.epoch++ })
		time.Sleep(p.settings.FullPollInterval)
		require.NoError(t, p.Tick(t.Context(), time.Now()))
		require.Equal(t, m.epoch, p.epoch, "the next poll of all ranks shows a new epoch")
	})
}

// Guards against a switch that waits for the next poll of the counts although every rank has loaded the map. During a
// map change, the planner therefore ticks sooner.
func TestPlannerTicksSoonerDuringAMapChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings(smallShape, 2, 100*time.Millisecond)
		p := NewPlanner(settings, NewGroup(nil, 0, nil, zap.NewNop()), zap.NewNop())
		now := time.Now()
		require.Equal(t, settings.PollInterval, p.TickInterval(now))
		p.next, p.readyAt = roundRobinMap(t), now.Add(45*time.Millisecond)
		require.Equal(t, 45*time.Millisecond, p.TickInterval(now))
		require.Less(t, p.TickInterval(now.Add(time.Second)), 50*time.Millisecond)
		p.readyAt = now.Add(time.Hour)
		require.Equal(t, settings.PollInterval, p.TickInterval(now), "the counts are polled at the usual interval")
		p.next, p.switching = nil, true
		require.Less(t, p.TickInterval(now), 50*time.Millisecond)
	})
}

// Guards against a planner that keeps an overloaded rank although a better map exists, and against transfers without
// benefit once the load is balanced.
func TestPlannerBalancesThenStopsChanging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := newFakeGroup(smallShape.Ranks, expertLists(roundRobinMap(t)), 1)
		go g.runPasses(ctx)
		go func() {
			for ctx.Err() == nil {
				g.withLock(func() {
					for _, r := range g.ranks {
						if r.counts == nil {
							r.counts = make(Counts, smallShape.Layers*smallShape.Experts)
						}
						for i := range r.counts {
							r.counts[i] += 10
							if i%smallShape.Experts == 0 {
								r.counts[i] += 60
							}
						}
					}
				})
				select {
				case <-time.After(100 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		}()
		runPlanner(ctx, g, 0, &issuer{fence: 1, leaseEnd: time.Now().Add(8 * time.Second)}, rand.New(rand.NewPCG(1, 1)))
		require.False(t, g.status().mixedMaps)
		switches := g.switches
		require.Positive(t, switches)
		holders := 0
		for _, experts := range g.ranks[0].experts[0] {
			for _, e := range experts {
				if e == 0 {
					holders++
				}
			}
		}
		require.Greater(t, holders, 1, "the popular expert has replicas")
		runPlanner(ctx, g, 0, &issuer{fence: 2, leaseEnd: time.Now().Add(8 * time.Second)}, rand.New(rand.NewPCG(1, 1)))
		require.LessOrEqual(t, g.status().switches, switches+1, "the demand has not changed")
		stop()
		synctest.Wait()
	})
}

// Guards against planning a map while the ranks are still armed for the previous one. Every rank refuses to prepare the
// new map, and the group keeps a poor map until the new one is abandoned, 2.8 s in one run.
func TestNoMapIsPreparedWhileRanksAreArmed(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, _ [][][]uint16) {
		g.idle = true // The pass of the first switch never begins.
		go g.driftDemand(ctx, rand.New(rand.NewPCG(2, 6)))
		runPlanner(ctx, g, 0, &issuer{fence: 1, leaseEnd: time.Now().Add(6 * time.Second)}, rand.New(rand.NewPCG(1, 1)))
		require.NotNil(t, g.ranks[0].armed)
		armed := false
		for _, o := range g.orders {
			armed = armed || o.Operation == Arm
			require.False(t, armed && o.Operation == Prepare, "a map is prepared after the ranks were armed")
		}
	})
}

// Guards against transfers for passes that are already short enough for callers. Scenario: popularity drifts under
// low load; in one run, 2,000 GB were transferred.
func TestShortPassesRequireMoreGain(t *testing.T) {
	const targetGap = 120 * time.Millisecond
	require.Zero(t, passSlack(targetGap, targetGap))
	require.InDelta(t, 0, passSlack(90*time.Millisecond, targetGap), 1e-9)
	require.Greater(t, passSlack(45*time.Millisecond, targetGap)*slackGain, 0.07)
	require.Greater(t, passSlack(20*time.Millisecond, targetGap), passSlack(45*time.Millisecond, targetGap))
	require.Zero(t, passSlack(0, targetGap), "the pass time is not known yet")
	require.Zero(t, passSlack(targetGap, 0), "the target gap is not known")
}

// Guards against a group that is held repeatedly while orders to its ranks are lost. A switch has to be postponed until
// the ranks respond to orders. Scenario: half of the orders get no response and are executed seconds late.
func TestNoSwitchBeginsWhileOrdersAreLost(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runWithLostOrders(t, seed) })
	}
}

// runWithLostOrders lets a group change its maps while half of the orders are lost for a minute.
func runWithLostOrders(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := newFakeGroup(smallShape.Ranks, expertLists(roundRobinMap(t)), 1)
		go g.runPasses(ctx)
		go g.driftDemand(ctx, rand.New(rand.NewPCG(seed, 6)))
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		go runPlanner(ctx, g, 0, iss, rand.New(rand.NewPCG(seed, 1)))
		time.Sleep(5 * time.Second)
		require.Positive(t, g.status().switches)
		before := g.status().heldPasses
		g.withLock(func() { g.lostFraction = 0.5 })
		time.Sleep(time.Minute)
		lost := g.status()
		const maxHeldPasses = 8 // Passes: half a second, for the switch in progress when orders begin to be lost.
		require.LessOrEqual(t, lost.heldPasses-before, maxHeldPasses)
		g.withLock(func() { g.lostFraction = 0 })
		time.Sleep(20 * time.Second)
		require.Greater(t, g.status().switches, lost.switches+2, "switches resume when the ranks respond to orders")
		require.False(t, g.status().mixedMaps)
		stop()
		synctest.Wait()
	})
}

// Guards against one large map change instead of several small ones: while a rank transfers four experts, passes still
// use the old map. Scenario: the experts in demand change in all layers at the same time.
func TestSmallChangeIsPreferredAfterAShift(t *testing.T) {
	s := expertmap.Shape{Ranks: 8, Experts: 64, Layers: 6, Slots: 11}
	const expertTransferTime = 148 * time.Millisecond
	p := NewPlanner(DefaultSettings(s, 4, expertTransferTime), NewGroup(make([]Rank, s.Ranks), 0, nil, zap.NewNop()), zap.NewNop())
	for range s.Ranks {
		p.group.states = append(p.group.states, State{Pace: 1})
	}
	d := newDemandFixture(s)
	start, err := expertmap.Balanced(1, loadOf(s, popularity(d.rng.Perm(s.Experts))), p.speeds())
	require.NoError(t, err)
	p.current = start
	best, err := p.bestCandidate(loadOf(s, popularity(d.rng.Perm(s.Experts))))
	require.NoError(t, err)
	require.NotNil(t, best.plan.Map)
	require.LessOrEqual(t, best.transferTime, 2*expertTransferTime)
	require.Less(t, best.plan.After, 0.7*best.plan.Before, "most of the possible gain")
}

func loadOf(s expertmap.Shape, shares []float64) *expertmap.ExpertLoad {
	load := expertmap.NewExpertLoad(s)
	for l := range s.Layers {
		copy(load.Layer(l), shares)
	}
	return load
}

// Guards against a switch of a large group that begins without a probe while orders are lost: the responses of all its
// ranks to one new map ended the suspicion. The group is held if orders to arm its ranks are lost then.
func TestLargeGroupIsProbedAfterALoss(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, _ *fakeGroup, experts [][][]uint16) {
		const ranks = 16
		large := newFakeGroup(ranks, experts, 1)
		group := NewGroup(large.allRanks(), 0, (&issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}).currentFence, zap.NewNop())
		require.NoError(t, group.Poll(ctx, StateOptions{}))
		require.True(t, group.probeOrders(ctx))
		require.Empty(t, large.orders, "no order was lost")
		large.withLock(func() { large.down[3] = true })
		_, err := group.Prepare(ctx, experts)
		require.Error(t, err)
		large.withLock(func() { large.down[3] = false })
		_, err = group.Prepare(ctx, experts)
		require.NoError(t, err)
		large.withLock(func() { large.orders = nil })
		require.True(t, group.probeOrders(ctx))
		require.Len(t, large.orders, ranks)
	})
}
