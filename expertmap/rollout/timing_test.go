package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a group that is held at every map change while one rank confirms its orders late. The hold delays
// every stream of the group. In one run, the responses to orders were late for 18 s.
func TestLateConfirmationsDelayOnlyOneSwitch(t *testing.T) {
	withFakeGroup(t, func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16) {
		go g.runPasses(ctx)
		ranks := g.allRanks()
		ranks[2] = &slowArmRank{Rank: ranks[2], delay: 100 * time.Millisecond}
		iss := &issuer{fence: 1, leaseEnd: time.Now().Add(time.Hour)}
		group, version := newPreparedGroup(ctx, t, ranks, iss, initialExperts)
		for range 5 {
			require.NoError(t, group.Poll(ctx, StateOptions{}))
			require.NoError(t, group.Switch(ctx, version))
			ranks[2].(*slowArmRank).delay = 250 * time.Millisecond
			time.Sleep(2 * time.Second)
			require.Equal(t, version, g.status().versions[0])
			var err error
			version, err = group.Prepare(ctx, initialExperts)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, g.status().heldPasses, 4, "only the second switch, the first with the longer delay, holds passes")
	})
}

// Guards against a number of lead passes that stays large after a single delay, and against a large one in a group
// whose passes are far apart, such as an idle group or one with a slow rank.
func TestLeadPassesFollowArmTime(t *testing.T) {
	now := time.Now()
	var tm switchTiming
	require.EqualValues(t, minLeadPasses, tm.leadPasses(12, false))
	require.EqualValues(t, minLeadPasses+3, tm.leadPasses(63, false))
	tm.expectArmTime(time.Millisecond)
	tm.expectArmTime(time.Hour)
	require.Equal(t, time.Millisecond, tm.armTime, "only the first one, and none after a switch")
	for pass := range int64(10) {
		tm.observePass(pass, now)
		now = now.Add(50 * time.Millisecond)
	}
	tm.observeArmTime(400 * time.Millisecond)
	require.EqualValues(t, 11, tm.leadPasses(12, false))
	for range 20 {
		tm.observeArmTime(40 * time.Millisecond)
	}
	require.EqualValues(t, minLeadPasses, tm.leadPasses(12, false))
	slow := tm
	for pass := range int64(20) {
		slow.observePass(10+pass, now)
		now = now.Add(700 * time.Millisecond)
	}
	require.EqualValues(t, 1, slow.leadPasses(12, false), "two passes of a group with a slow rank take too long")
	tm.observeArmTime(60 * time.Millisecond)
	require.EqualValues(t, 1, tm.leadPasses(12, true), "0.8 of a longer pass")
	tm.observeArmTime(100 * time.Millisecond)
	require.EqualValues(t, 2, tm.leadPasses(12, true))
	tm.observeArmTime(time.Hour)
	require.EqualValues(t, maxLeadPasses, tm.leadPasses(12, true))
	require.EqualValues(t, maxLeadPasses, tm.leadPasses(12, false))
}
