package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/expertmap/rollout/agent"
)

// Guards against a rank that stays slow for a gateway although it is well, because some process beside a rank has missed the
// last notice, and against one that is slow for ever after its planner has died.
func TestLatestNoticeOfAGroupCounts(t *testing.T) {
	p := groupWatch{notices: map[string]map[string]datedNotice{}}
	now := time.Now()
	known := func() map[string]float64 { return p.notices["s"]["g"].Paces }
	p.take("s", agent.Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}}, now)
	p.take("s", agent.Notice{Group: "g", Fence: 1}, now.Add(time.Second))
	require.NotEmpty(t, known(), "an earlier planner's notice")
	p.take("s", agent.Notice{Group: "g", Fence: 2, AgeMs: 5000}, now.Add(time.Second))
	require.NotEmpty(t, known(), "an older notice of the same planner")
	p.take("s", agent.Notice{Group: "g", Fence: 2}, now.Add(2*time.Second))
	require.Empty(t, known())
	p.take("s", agent.Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}, AgeMs: 4000}, now.Add(3*time.Second))
	require.Empty(t, known(), "a process that has missed the last notice")
	p.take("s", agent.Notice{Group: "g", Fence: 2, AgeMs: 9000}, now.Add(4*time.Second))
	require.Equal(t, now.Add(2*time.Second), p.notices["s"]["g"].at, "an old notice does not become newer by being read")
	p.take("s", agent.Notice{}, now)
	require.Len(t, p.notices["s"], 1, "a process that knows no group")
}
