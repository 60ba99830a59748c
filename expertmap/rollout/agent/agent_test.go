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

// recordingRank records the orders that it receives and returns preset results.
type recordingRank struct {
	orders []rollout.Order
	err    error
	state  rollout.State
	// silent makes State block until its context ends.
	silent bool
}

func (r *recordingRank) State(ctx context.Context, _ rollout.StateOptions) (rollout.State, error) {
	if r.silent {
		<-ctx.Done()
		return rollout.State{}, merry.Wrap(ctx.Err())
	}
	return r.state, nil
}

func (r *recordingRank) Order(_ context.Context, o rollout.Order) error {
	r.orders = append(r.orders, o)
	return r.err
}

// serveAgent serves the agent of a rank and returns its client.
func serveAgent(t *testing.T, rank rollout.Rank) *Client {
	t.Helper()
	router := mux.NewRouter()
	New(rank, zap.NewNop()).Register(router)
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	return NewClient(srv.Listener.Addr().String(), srv.Client(), &Codec{})
}

// Guards against orders or states that change in transit, and against a cached encoding that is sent for another order.
func TestOrdersAndStatesRoundTrip(t *testing.T) {
	held := int64(9)
	rank := &recordingRank{state: rollout.State{Group: "g", Rank: 3, Held: &held, Counts: rollout.Counts{1, 65535}}}
	c := serveAgent(t, rank)
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

// Guards against an order of an earlier issuer that is executed after an order of a later one, by a rank that does not
// check fencing tokens itself.
func TestAgentRefusesOlderFencingTokens(t *testing.T) {
	rank := &recordingRank{}
	c := serveAgent(t, rank)
	require.NoError(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Release, Fence: 5}))
	var refused *rollout.RefusedError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm, Fence: 4}), &refused)
	require.True(t, refused.Fenced)
	require.Len(t, rank.orders, 1)
}

// Guards against an order without a response that is reported as refused although it may still be executed, and against
// a refusal that is reported as a missing response.
func TestOrderWithoutResponseIsNotReportedAsRefused(t *testing.T) {
	rank := &recordingRank{err: merry.Wrap(&rollout.NoResponseError{Operation: rollout.Arm})}
	c := serveAgent(t, rank)
	var noResponse *rollout.NoResponseError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm}), &noResponse)
	rank.err = merry.Wrap(&rollout.RefusedError{Operation: rollout.Arm, Detail: "armed"})
	var refused *rollout.RefusedError
	require.ErrorAs(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm}), &refused)
	require.Equal(t, "armed", refused.Detail)
}

// Guards against a group whose map cannot be changed because the agent of one rank does not respond.
func TestRankIsReachedDirectlyWhileItsAgentIsSilent(t *testing.T) {
	silent, direct := &recordingRank{silent: true}, &recordingRank{state: rollout.State{Rank: 2}}
	f := NewFallback(silent, direct)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	s, err := f.State(ctx, rollout.StateOptions{Counts: true})
	require.NoError(t, err)
	require.Equal(t, 2, s.Rank)
	require.NoError(t, f.Order(t.Context(), rollout.Order{Operation: rollout.Release}))
	require.Len(t, direct.orders, 1)
	require.Empty(t, silent.orders)
}
