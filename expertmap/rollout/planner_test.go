package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against counts that are late by several polls, because a large group was asked in turns: a shift of popularity was
// then seen only after 1.2 s (lumme-reititin-grown). Pattern: experts in demand change every few seconds.
func TestLargeGroupIsSampledAtTheSameRanks(t *testing.T) {
	for _, n := range []int{1, 12, maxCounts, maxCounts + 1, 63, 64, 300} {
		g := &Group{ranks: make([]Rank, n)}
		sampled := 0
		for i := range n {
			if g.sampled(i) {
				sampled++
			}
		}
		require.Equal(t, min(n, maxCounts), sampled, "%d ranks", n)
	}
}

// Guards against a map that is loaded everywhere and waits for the next poll of the counts: the planner looks sooner while a
// change is under way.
func TestPlannerLooksSoonWhileAMapChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := DefaultSettings(smallShape, 2, 100*time.Millisecond)
		p := NewPlanner(set, NewGroup(nil, 0, nil, zap.NewNop()), zap.NewNop())
		now := time.Now()
		require.Equal(t, set.Every, p.Wait(now))
		p.next, p.ready = inTurn(t), now.Add(60*time.Millisecond)
		require.Equal(t, 60*time.Millisecond, p.Wait(now))
		require.Less(t, p.Wait(now.Add(time.Second)), 50*time.Millisecond)
		p.ready = now.Add(time.Hour)
		require.Equal(t, set.Every, p.Wait(now), "the counts are polled in any case")
		p.next, p.switching = nil, true
		require.Less(t, p.Wait(now), 50*time.Millisecond)
	})
}
