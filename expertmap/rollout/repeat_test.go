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

// Time limits of an agent's attempts, as in package agent.
const (
	testAttemptTimeout = 5 * time.Millisecond
	testAttempts       = 7
	testLoadWait       = 80 * time.Millisecond
)

// repeatingRank behaves like an agent beside its rank: it repeats orders without a response and responds to a Prepare
// when the rank has loaded the map.
type repeatingRank struct{ Rank }

func (r *repeatingRank) Order(ctx context.Context, o Order) error {
	err := SendRepeatedly(ctx, o, testAttemptTimeout, testAttempts, r.Rank.Order)
	if err != nil || o.Operation != Prepare || o.Report == nil {
		return err
	}
	for deadline := time.Now().Add(testLoadWait); time.Now().Before(deadline) && !o.Report.Loaded; {
		time.Sleep(4 * time.Millisecond)
		s, err := r.State(ctx, StateOptions{})
		o.Report.Loaded = err == nil && s.Prepared == o.Version
	}
	return nil
}

// ranksWithAgents returns the ranks of a group, each reached through an agent.
func (g *fakeGroup) ranksWithAgents() []Rank {
	out := g.allRanks()
	for i := range out {
		out[i] = &repeatingRank{Rank: out[i]}
	}
	return out
}

// Guards against a pass that begins with two maps because an agent has repeated an Arm: the switch is undone as another
// rank can't be armed, and the first attempt is executed 3 s later.
func TestLateFirstAttemptOfARepeatedArmIsSuperseded(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		g.idle = true
		go g.runPasses(ctx)
		ranks := g.allRanks()
		first := &lateFirstArmRank{Rank: ranks[2], g: g, i: 2}
		ranks[2] = &repeatingRank{Rank: first}
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		group, version := newPreparedGroup(ctx, t, ranks, iss, initialExperts)
		g.withLock(func() { g.ranks[3].prepared = 0 }) // Rank 3 refuses the Arm.
		var failed *SwitchError
		require.ErrorAs(t, group.Switch(ctx, version), &failed)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, first.late)
		g.withLock(func() { require.Nil(t, g.ranks[2].armed) })
		g.withLock(func() { g.idle = false })
		time.Sleep(2 * time.Second)
		require.False(t, g.status().mixedMaps)
		require.Greater(t, g.status().pass, int64(20))
	})
}

// lateFirstArmRank executes the first attempt of an Arm 3 s late and sends no response to it.
type lateFirstArmRank struct {
	Rank
	g        *fakeGroup
	i        int
	attempts int
	late     int
}

func (r *lateFirstArmRank) Order(ctx context.Context, o Order) error {
	if o.Operation != Arm {
		return r.Rank.Order(ctx, o)
	}
	if r.attempts++; r.attempts > 1 {
		return r.Rank.Order(ctx, o)
	}
	time.AfterFunc(3*time.Second, func() {
		_ = r.g.apply(r.i, o)
		r.late++
	})
	<-ctx.Done()
	return merry.Wrap(&NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
}

// Guards against maps that are not switched for 8 s while a tenth of the orders get no response and are executed 2 to
// 12 s late, and against a pass with two maps or a held group caused by one of these orders: Prepare, Arm, Disarm, Hold
// or Release. Load: demand changes every 2 s in a group of 63 ranks.
func TestSwitchesContinueWhileATenthOfTheOrdersAreLost(t *testing.T) {
	s := expertmap.Shape{Ranks: 63, Experts: 126, Layers: 2, Slots: 4}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				g := newFakeGroup(s.Ranks, expertLists(roundRobinMapOf(t, s)), seed)
				g.prepareTime = 15 * time.Millisecond
				go g.runPasses(ctx)
				go g.driftDemandOf(ctx, rand.New(rand.NewPCG(seed, 6)), s)
				iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
				group := NewGroup(g.ranksWithAgents(), 0, iss.currentFence, zap.NewNop())
				go runGroupPlanner(ctx, group, s)
				time.Sleep(10 * time.Second)
				before := g.status()
				g.withLock(func() { g.lostFraction = 0.1 })
				time.Sleep(10 * time.Second)
				lost := g.status()
				require.Greater(t, 2*(lost.switches-before.switches), before.switches, "half as many switches at least")
				require.Greater(t, lost.pass-before.pass, 9*(before.pass-10)/10, "a tenth fewer passes at most")
				time.Sleep(13 * time.Second)
				require.False(t, g.status().mixedMaps)
				require.False(t, g.heldNow())
				stop()
				synctest.Wait()
			})
		})
	}
}

// runGroupPlanner runs a planner for a group until the context ends.
func runGroupPlanner(ctx context.Context, group *Group, s expertmap.Shape) {
	p := NewPlanner(DefaultSettings(s, 2, 5*time.Millisecond), group, zap.NewNop())
	for ctx.Err() == nil {
		_ = p.Tick(ctx, time.Now()) // Errors are expected; the next tick continues.
		select {
		case <-time.After(p.TickInterval(time.Now())):
		case <-ctx.Done():
		}
	}
}
