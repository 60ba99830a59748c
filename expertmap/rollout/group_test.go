package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap"
)

var smallShape = expertmap.Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}

// roundRobinMap returns the map of a new group, which assigns the experts to the ranks in turn and leaves the last slot
// of each rank empty.
func roundRobinMap(t *testing.T) *expertmap.Map { return roundRobinMapOf(t, smallShape) }

func roundRobinMapOf(t *testing.T, s expertmap.Shape) *expertmap.Map {
	t.Helper()
	var assign []uint16
	for range s.Layers {
		for r := range s.Ranks {
			for i := range s.Slots {
				e := uint16(r + i*s.Ranks)
				if int(e) >= s.Experts {
					e = expertmap.EmptySlot
				}
				assign = append(assign, e)
			}
		}
	}
	m, err := expertmap.NewMap(0, s, assign)
	require.NoError(t, err)
	return m
}

type leaseExpiredError struct{}

func (leaseExpiredError) Error() string { return "lease expired" }

// issuer holds a lease with a fencing token until leaseEnd.
type issuer struct {
	fence    int64
	leaseEnd time.Time
}

func (i *issuer) currentFence() (int64, error) {
	if !time.Now().Before(i.leaseEnd) {
		return 0, merry.Wrap(leaseExpiredError{})
	}
	return i.fence, nil
}

// driftDemand adds counts of changing demand to the ranks until the context ends.
func (g *fakeGroup) driftDemand(ctx context.Context, rng *rand.Rand) {
	g.driftDemandOf(ctx, rng, smallShape)
}

func (g *fakeGroup) driftDemandOf(ctx context.Context, rng *rand.Rand, s expertmap.Shape) {
	weights := make([]float64, s.Layers*s.Experts)
	for round := 0; ctx.Err() == nil; round++ {
		if round%20 == 0 {
			for i := range weights {
				weights[i] = rng.ExpFloat64() * rng.ExpFloat64()
			}
		}
		g.withLock(func() {
			for _, r := range g.ranks {
				if r.counts == nil {
					r.counts = make(Counts, len(weights))
				}
				for i, w := range weights {
					r.counts[i] += uint16(200 * w)
				}
			}
		})
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// Guards against a pass that begins with two maps, and against a group that stays held forever. Orders are lost or
// executed late, and the planner is replaced at random times.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, (*fakeGroup).allRanks) })
		})
	}
}

// Guards against the same failures when agents repeat the orders to their ranks.
func TestNoPassBeginsWithTwoMapsWhenAgentsRepeatOrders(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, (*fakeGroup).ranksWithAgents) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64, clients func(g *fakeGroup) []Rank) {
	rng := rand.New(rand.NewPCG(seed, 5))
	initialExperts := expertLists(roundRobinMap(t))
	g := newFakeGroup(smallShape.Ranks, initialExperts, seed)
	ctx, stop := context.WithCancel(t.Context())
	go g.runPasses(ctx)
	go g.driftDemand(ctx, rand.New(rand.NewPCG(seed, 6)))
	for fence := int64(1); fence <= 12; fence++ {
		g.withLock(func() {
			g.lostFraction, g.noResponseFraction = 0.3*rng.Float64(), 0.1*rng.Float64()
			g.idle = rng.IntN(4) == 0
			g.lagging = map[int]bool{rng.IntN(2 * smallShape.Ranks): true, rng.IntN(2 * smallShape.Ranks): true}
		})
		leaseTime := time.Duration(200+rng.IntN(6000)) * time.Millisecond
		iss := &issuer{fence: fence, leaseEnd: time.Now().Add(leaseTime)}
		runPlannerWith(ctx, clients(g), int(fence)%smallShape.Ranks, iss, rng)
		require.False(t, g.status().mixedMaps, "a pass began with two maps")
		if rng.IntN(6) == 0 {
			g.reform(initialExperts)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	// Without faults, a new issuer releases the group and changes its map.
	g.withLock(func() { g.lostFraction, g.noResponseFraction, g.idle, g.lagging = 0, 0, false, nil })
	time.Sleep(13 * time.Second) // Late orders are executed within 12 s.
	before := g.status().pass
	runPlannerWith(ctx, clients(g), 0, &issuer{fence: 100, leaseEnd: time.Now().Add(20 * time.Second)}, rng)
	require.False(t, g.status().mixedMaps)
	require.False(t, g.heldNow())
	require.Greater(t, g.status().pass, before+100, "the group is stuck")
	require.Positive(t, g.status().switches, "no map was ever changed")
	stop()
	synctest.Wait()
}

// runPlanner runs a planner for a group until the lease ends.
func runPlanner(ctx context.Context, g *fakeGroup, self int, iss *issuer, rng *rand.Rand) {
	runPlannerWith(ctx, g.allRanks(), self, iss, rng)
}

func runPlannerWith(ctx context.Context, ranks []Rank, self int, iss *issuer, rng *rand.Rand) {
	ctx, cancel := context.WithDeadline(ctx, iss.leaseEnd)
	defer cancel()
	group := NewGroup(ranks, self, iss.currentFence, zap.NewNop())
	p := NewPlanner(DefaultSettings(smallShape, 2, 100*time.Millisecond), group, zap.NewNop())
	for ctx.Err() == nil {
		_ = p.Tick(ctx, time.Now()) // Errors are expected; the next tick continues.
		select {
		case <-time.After(150*time.Millisecond + time.Duration(rng.IntN(20))*time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// newPreparedGroup returns a group in which every rank has prepared the returned version.
func newPreparedGroup(ctx context.Context, t *testing.T, ranks []Rank, iss *issuer, experts [][][]uint16) (*Group, int64) {
	t.Helper()
	group := NewGroup(ranks, 0, iss.currentFence, zap.NewNop())
	require.NoError(t, group.Poll(ctx, StateOptions{}))
	require.NoError(t, group.Fence(ctx))
	version, err := group.Prepare(ctx, experts)
	require.NoError(t, err)
	time.Sleep(time.Second)
	return group, version
}

// Guards against a switch that continues although a rank could not be armed, and against a delayed Arm that takes
// effect after the switch was undone.
func TestSwitchIsUndoneWhenARankIsNotArmed(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		go g.runPasses(ctx)
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		ranks := g.allRanks()
		late := &lateArmRank{Rank: ranks[2], g: g, i: 2}
		ranks[2] = late
		group, version := newPreparedGroup(ctx, t, ranks, iss, initialExperts)
		require.NoError(t, group.Poll(ctx, StateOptions{}))
		require.True(t, group.Prepared(version))
		g.withLock(func() { g.idle = true })
		var failed *SwitchError
		require.ErrorAs(t, group.Switch(ctx, version), &failed)
		time.Sleep(5 * time.Second)
		g.withLock(func() { require.Positive(t, late.applied, "the delayed orders were executed") })
		g.withLock(func() { g.idle = false })
		time.Sleep(2 * time.Second)
		require.False(t, g.status().mixedMaps)
		require.Zero(t, g.status().versions[0], "the old map stays in use")
		require.False(t, g.heldNow())
	})
}

// lateArmRank executes each Arm two seconds late and sends no response to it.
type lateArmRank struct {
	Rank
	g       *fakeGroup
	i       int
	applied int
}

func (l *lateArmRank) Order(ctx context.Context, o Order) error {
	if o.Operation != Arm {
		return l.Rank.Order(ctx, o)
	}
	time.AfterFunc(2*time.Second, func() {
		_ = l.g.apply(l.i, o)
		l.g.withLock(func() { l.applied++ })
	})
	<-ctx.Done()
	return merry.Wrap(&NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
}

// Guards against a new issuer that undoes a switch whose hold its predecessor may already have released: if every rank
// is armed for the same pass, the new issuer has to finish the switch.
func TestNewIssuerFinishesASwitchThatIsArmedEverywhere(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		pass := g.pass + 1
		for i, r := range g.ranks {
			r.prepared, r.highestVersion, r.nextExperts, r.armed = 7, 7, initialExperts, &Armed{Version: 7, Pass: pass}
			if i == 1 {
				r.held = &pass
			}
		}
		go g.runPasses(ctx)
		runPlanner(ctx, g, 3, &issuer{fence: 2, leaseEnd: time.Now().Add(2 * time.Second)}, rand.New(rand.NewPCG(1, 1)))
		require.False(t, g.status().mixedMaps)
		require.False(t, g.heldNow())
		require.GreaterOrEqual(t, g.status().versions[0], int64(7))
	})
}

// Guards against a group that stays held because the lease expired during a switch and, with the store down, no other
// sidecar can acquire it (seen in the incident inc-c422).
func TestSwitchIsEndedAfterLeaseExpiry(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		go g.runPasses(ctx)
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		ranks := g.allRanks()
		late := &lateArmRank{Rank: ranks[2], g: g, i: 2}
		ranks[2] = late
		group, version := newPreparedGroup(ctx, t, ranks, iss, initialExperts)
		iss.leaseEnd = time.Now().Add(50 * time.Millisecond)
		require.Error(t, group.Switch(ctx, version))
		time.Sleep(15 * time.Second)
		require.False(t, g.heldNow())
		require.False(t, g.status().mixedMaps)
	})
}

// Guards against orders of an issuer whose lease has expired.
func TestNoOrderAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(smallShape.Ranks, expertLists(roundRobinMap(t)), 1)
		group := NewGroup(g.allRanks(), 0, (&issuer{fence: 1, leaseEnd: time.Now()}).currentFence, zap.NewNop())
		require.NoError(t, group.Poll(t.Context(), StateOptions{}))
		_, err := group.Prepare(t.Context(), nil)
		require.ErrorAs(t, err, &leaseExpiredError{})
		require.ErrorAs(t, group.Switch(t.Context(), 1), &leaseExpiredError{})
		require.Empty(t, g.orders)
	})
}

// Guards against an order of an earlier issuer that is executed after a new issuer has undone its switch.
func TestLateOrderOfAnEarlierIssuerIsRefused(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		g.idle = true
		pass := g.pass + 1
		for i, r := range g.ranks {
			r.prepared, r.highestVersion, r.nextExperts, r.fence = 7, 7, initialExperts, 1
			if i != 2 {
				r.armed = &Armed{Version: 7, Pass: pass}
			}
		}
		g.ranks[1].held = &pass
		go g.runPasses(ctx)
		late := Order{Operation: Arm, Version: 7, Pass: pass, Epoch: g.epoch, Fence: 1}
		time.AfterFunc(3*time.Second, func() { _ = g.apply(2, late) })
		runPlanner(ctx, g, 3, &issuer{fence: 2, leaseEnd: time.Now().Add(2 * time.Second)}, rand.New(rand.NewPCG(1, 1)))
		time.Sleep(2 * time.Second)
		g.withLock(func() { g.idle = false })
		time.Sleep(time.Second)
		require.False(t, g.status().mixedMaps)
		require.False(t, g.heldNow())
	})
}

// Guards against a duplicate of a Release that is executed late and ends the hold of the next switch before every rank
// is armed.
func TestLateReleaseDoesNotEndTheNextHold(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		g.idle = true
		go g.runPasses(ctx)
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		ranks := g.allRanks()
		ranks[0] = &duplicateReleaseRank{Rank: ranks[0], g: g}
		slow := &slowArmRank{Rank: ranks[3]}
		ranks[3] = slow
		group := NewGroup(ranks, 0, iss.currentFence, zap.NewNop())
		require.NoError(t, group.Poll(ctx, StateOptions{}))
		require.NoError(t, group.Fence(ctx))
		// The first version is not prepared on any rank, so the switch is undone.
		require.Error(t, group.Switch(ctx, 1))
		version, err := group.Prepare(ctx, initialExperts)
		require.NoError(t, err)
		time.Sleep(time.Second)
		slow.delay = 3 * time.Second
		time.AfterFunc(2*time.Second, func() { g.withLock(func() { g.idle = false }) })
		require.NoError(t, group.Switch(ctx, version))
		time.Sleep(time.Second)
		require.False(t, g.status().mixedMaps)
		require.Equal(t, version, g.status().versions[3])
	})
}

// duplicateReleaseRank executes each Release of a pass a second time, two seconds late.
type duplicateReleaseRank struct {
	Rank
	g *fakeGroup
}

func (r *duplicateReleaseRank) Order(ctx context.Context, o Order) error {
	if o.Operation == Release && o.Pass > 0 {
		time.AfterFunc(2*time.Second, func() { _ = r.g.apply(0, o) })
	}
	return r.Rank.Order(ctx, o)
}

// slowArmRank delays each Arm and ignores the issuer's timeout.
type slowArmRank struct {
	Rank
	delay time.Duration
}

func (r *slowArmRank) Order(_ context.Context, o Order) error {
	if o.Operation == Arm {
		time.Sleep(r.delay)
	}
	return r.Rank.Order(context.Background(), o)
}
