package side

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/instances"
)

// Guards against a refusal that is not marked as not executed or has no Retry-After, and against ignoring the policy of
// the settings.
func TestQueueRefusalsAreMarkedNotExecuted(t *testing.T) {
	for _, policy := range []string{"fair", "fifo", "priority"} {
		s := DefaultSettings()
		s.Slots, s.MaxSlots, s.Policy = 1, 1, policy
		q, err := NewQueue(s)
		require.NoError(t, err)
		w := &peerapi.Work{ID: "1", Customer: "a", Kind: peerapi.KindStatus, DeadlineMs: time.Minute.Milliseconds()}
		release, refused := q.Acquire(t.Context(), w, 0)
		require.Nil(t, refused)

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, refused = q.Acquire(ctx, w, 0)
		require.Equal(t, callerapi.ExecutedNo, refused.Executed)
		q.Drain()
		_, refused = q.Acquire(t.Context(), w, 0)
		require.Equal(t, callerapi.Draining, refused.Type)
		require.Equal(t, callerapi.ExecutedNo, refused.Executed)
		require.Positive(t, refused.RetryAfter)
		release(0, true)
		l := peerapi.LoadReport{}
		q.Load(&l)
		require.Equal(t, peerapi.LoadReport{Limit: 1, Draining: true}, l)
	}
	_, err := NewQueue(Settings{Slots: 1, Policy: "random"})
	require.Error(t, err)
}

// Guards against a restarted process that drains because the instance list still shows the previous one as leaving.
func TestLeavingStateIsIgnoredUntilListedAsLive(t *testing.T) {
	calls := 0
	w := NewLeavingWatcher("s", "127.0.0.1:1", func() { calls++ })
	observe := func(address string, state instances.State) {
		w.Observe(instances.List{Instances: []instances.Instance{{Name: "s", Address: address, State: state}}})
	}
	observe("127.0.0.1:1", instances.Leaving)
	require.Zero(t, calls)
	observe("127.0.0.1:1", instances.Live)
	observe("127.0.0.1:2", instances.Leaving)
	require.Zero(t, calls)
	observe("127.0.0.1:1", instances.Leaving)
	observe("127.0.0.1:1", instances.Leaving)
	require.Equal(t, 1, calls)
}
