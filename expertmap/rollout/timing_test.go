package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a group that stands still at each change of its map while a rank is late to confirm its order, which makes
// every stream of the group late (seen on lumme-reititin scale-1, where orders were answered late for 18 s).
func TestLateConfirmationsDelayOneSwitchOnly(t *testing.T) {
	withGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, first [][][]uint16) {
		go g.run(ctx)
		ranks := g.access()
		ranks[2] = &slowArm{Rank: ranks[2], pause: 100 * time.Millisecond}
		i := &issuer{fence: 1, ends: time.Now().Add(time.Hour)}
		group, version := prepared(ctx, t, ranks, i, first)
		for range 5 {
			require.NoError(t, group.Poll(ctx, Want{}))
			require.NoError(t, group.Switch(ctx, version))
			ranks[2].(*slowArm).pause = 250 * time.Millisecond
			time.Sleep(2 * time.Second)
			require.Equal(t, version, g.now().versions[0])
			var err error
			version, err = group.Prepare(ctx, first)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, g.now().stood, 4, "passes delayed by the second switch, the first with the longer delay")
	})
}

// Guards against switches that are ordered ever later after one delay, and against an order far ahead in an idle group.
func TestPassesAheadFollowTheTimeOfArming(t *testing.T) {
	now := time.Now()
	var tm timing
	require.EqualValues(t, passesAhead, tm.ahead(12))
	require.EqualValues(t, passesAhead+3, tm.ahead(63))
	for pass := range int64(10) {
		tm.observePass(pass, now)
		now = now.Add(50 * time.Millisecond)
	}
	tm.observeArming(400 * time.Millisecond)
	require.EqualValues(t, 11, tm.ahead(12))
	for range 20 {
		tm.observeArming(40 * time.Millisecond)
	}
	require.EqualValues(t, passesAhead, tm.ahead(12))
	slow := tm
	for pass := range int64(20) {
		slow.observePass(10+pass, now)
		now = now.Add(700 * time.Millisecond)
	}
	require.EqualValues(t, 1, slow.ahead(12), "two passes of a group with a slow rank take too long")
	tm.observeArming(time.Hour)
	require.EqualValues(t, maxPassesAhead, tm.ahead(12))
}
