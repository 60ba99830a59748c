package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against two maps in a pass because a planner orders a version again, with another content, that some ranks are
// still loading for the planner before it. They do not report it yet, and refuse the second order.
func TestNewPlannerDoesNotReuseAVersionThatIsBeingLoaded(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		g.prepareTime = 2 * time.Second
		first := NewGroup(g.allRanks(), 0, (&issuer{fence: 2, leaseEnd: time.Now().Add(time.Hour)}).currentFence, zap.NewNop())
		require.NoError(t, first.Poll(ctx, StateOptions{}))
		require.NoError(t, first.Fence(ctx))
		g.withLock(func() { g.down[2], g.down[3] = true, true })
		other := swapExperts(initialExperts)
		_, err := first.Prepare(ctx, other)
		require.Error(t, err, "two ranks have not got the order")
		g.withLock(func() { clear(g.down) })

		second := NewGroup(g.allRanks(), 1, (&issuer{fence: 4, leaseEnd: time.Now().Add(time.Hour)}).currentFence, zap.NewNop())
		require.NoError(t, second.Poll(ctx, StateOptions{}))
		require.NoError(t, second.Fence(ctx))
		version, err := second.Prepare(ctx, initialExperts)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.NoError(t, second.Poll(ctx, StateOptions{}))
		require.True(t, second.Prepared(version))
		require.NoError(t, second.Switch(ctx, version))
		go g.runPasses(ctx)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, g.status().switches)
		require.False(t, g.status().mixedMaps, "a pass began with two maps")
	})
}

// swapExperts returns a map in which the first two ranks have each other's experts.
func swapExperts(experts [][][]uint16) [][][]uint16 {
	var out [][][]uint16
	for _, layer := range experts {
		row := append([][]uint16{layer[1], layer[0]}, layer[2:]...)
		out = append(out, row)
	}
	return out
}

// Guards against a planner that forgets, when it looks for the ranks of its group again, what its orders without a
// response may still cause: late orders have its fencing token, so that the ranks do not refuse them.
func TestGroupFoundAgainRemembersUnansweredOrders(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		iss := &issuer{fence: 2, leaseEnd: time.Now().Add(time.Hour)}
		first, version := newPreparedGroup(ctx, t, g.allRanks(), iss, initialExperts)
		g.withLock(func() { g.down[3] = true })
		require.Error(t, first.Switch(ctx, version))
		g.withLock(func() { clear(g.down) })
		second := NewGroup(g.allRanks(), 0, iss.currentFence, zap.NewNop())
		second.ContinueFrom(first)
		require.NoError(t, second.Poll(ctx, StateOptions{}))
		require.NoError(t, second.Fence(ctx))
		require.True(t, second.Unfinished(), "rank 3 may still be armed by a late order")
		require.NoError(t, second.Resolve(ctx))
		var refused *RefusedError
		late := Order{Operation: Arm, Version: version, Pass: 1000, Fence: iss.fence, Epoch: 1}
		require.ErrorAs(t, g.apply(3, late), &refused)
		require.GreaterOrEqual(t, second.lastHeldPass, first.lastHeldPass)
		require.Greater(t, second.highestVersion, version)

		first.fencedOff.Store(true)
		third := NewGroup(g.allRanks(), 0, iss.currentFence, zap.NewNop())
		third.ContinueFrom(first)
		require.ErrorAs(t, third.Fence(ctx), &refused, "a deputy may act under a higher token")
	})
}
