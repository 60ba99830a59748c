package agent

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap/rollout"
)

// recorder is a rank that records orders and fails them as told.
type recorderRank struct {
	orders []rollout.Order
	err    error
	state  rollout.State
	// silent lets calls end with their context.
	silent bool
}

func (r *recorderRank) State(ctx context.Context, _ rollout.StateOptions) (rollout.State, error) {
	if r.silent {
		<-ctx.Done()
		return rollout.State{}, merry.Wrap(ctx.Err())
	}
	return r.state, nil
}

func (r *recorderRank) Order(_ context.Context, o rollout.Order) error {
	r.orders = append(r.orders, o)
	return r.err
}

func serve(t *testing.T, rank rollout.Rank) *Client {
	t.Helper()
	router := mux.NewRouter()
	New(rank, zap.NewNop()).Register(router)
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	return NewClient(srv.Listener.Addr().String(), srv.Client(), &Codec{})
}

// Guards against an order or a state that changes between processes, and against a kept encoding that is out of date.
func TestOrdersAndStatesRoundTrip(t *testing.T) {
	held := int64(9)
	rank := &recorderRank{state: rollout.State{Group: "g", Rank: 3, Held: &held, Counts: rollout.Counts{1, 65535}}}
	c := serve(t, rank)
	s, err := c.State(t.Context(), rollout.StateOptions{Counts: true})
	require.NoError(t, err)
	require.Equal(t, rank.state, s)
	want := []rollout.Order{
		{Operation: rollout.Prepare, Version: 4, Epoch: 1, Fence: 2, Experts: [][][]uint16{{{0, 2}, {1}}}},
		{Operation: rollout.Prepare, Version: 4, Epoch: 1, Fence: 2, Experts: [][][]uint16{{{0, 2}, {1}}}},
		{Operation: rollout.Arm, Version: 4, Epoch: 1, Pass: 7, Fence: 2},
		{Operation: rollout.Prepare, Version: 5, Epoch: 1, Fence: 2, Experts: [][][]uint16{{{1}, {0, 2}}}},
	}
	for _, o := range want {
		require.NoError(t, c.Order(t.Context(), o))
	}
	require.Equal(t, want, rank.orders)
}

// Guards against an order that reaches a rank which does not check fencing numbers itself after a newer issuer's.
func TestAgentRefusesOlderFencingTokens(t *testing.T) {
	rank := &recorderRank{}
	c := serve(t, rank)
	require.NoError(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Release, Fence: 5}))
	var refused *rollout.RefusedError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm, Fence: 4}), &refused)
	require.True(t, refused.Fenced)
	require.Len(t, rank.orders, 1)
}

// Guards against a missing answer that counts as a refusal.
func TestUnansweredOrderIsNotReportedAsRefused(t *testing.T) {
	rank := &recorderRank{err: merry.Wrap(&rollout.UnansweredError{Operation: rollout.Arm})}
	c := serve(t, rank)
	var unanswered *rollout.UnansweredError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm}), &unanswered)
	rank.err = merry.Wrap(&rollout.RefusedError{Operation: rollout.Arm, Detail: "armed"})
	var refused *rollout.RefusedError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm}), &refused)
	require.Equal(t, "armed", refused.Detail)
}

// Guards against a group that cannot be brought on because the process beside one rank is dead.
func TestRankIsReachedDirectlyWhileItsAgentIsSilent(t *testing.T) {
	dead, direct := &recorderRank{silent: true}, &recorderRank{state: rollout.State{Rank: 2}}
	f := NewFallback(dead, direct)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	s, err := f.State(ctx, rollout.StateOptions{Counts: true})
	require.NoError(t, err)
	require.Equal(t, 2, s.Rank)
	require.NoError(t, f.Order(t.Context(), rollout.Order{Operation: rollout.Release}))
	require.Len(t, direct.orders, 1)
	require.Empty(t, dead.orders)
}
