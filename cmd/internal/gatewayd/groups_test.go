package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/expertmap/rollout/agent"
)

// Guards against a rank that stays slow for a gateway although it is well, because some process beside a rank has missed the
// last notice, and against one that is slow for ever after its planner has died.
func TestLatestNoticeOfAGroupWins(t *testing.T) {
	w := groupPoller{notices: map[string]map[string]timedNotice{}}
	now := time.Now()
	paces := func() map[string]float64 { return w.notices["s"]["g"].Paces }
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}}, now)
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 1}, now.Add(time.Second))
	require.NotEmpty(t, paces(), "an earlier planner's notice")
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 2, AgeMs: 5000}, now.Add(time.Second))
	require.NotEmpty(t, paces(), "an older notice of the same planner")
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 2}, now.Add(2*time.Second))
	require.Empty(t, paces())
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}, AgeMs: 4000}, now.Add(3*time.Second))
	require.Empty(t, paces(), "a process that has missed the last notice")
	w.storeNotice("s", agent.Notice{Group: "g", Fence: 2, AgeMs: 9000}, now.Add(4*time.Second))
	require.Equal(t, now.Add(2*time.Second), w.notices["s"]["g"].issuedAt, "an old notice does not become newer by being read")
	w.storeNotice("s", agent.Notice{}, now)
	require.Len(t, w.notices["s"], 1, "a process that knows no group")
}
