package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap/rollout"
)

// Guards against a notice of an earlier planner that replaces that of the current one, and against ranks that are
// reported as slow forever after the planner has died.
func TestEarlierPlannerDoesNotReplaceNotice(t *testing.T) {
	var s noticeStore
	now := time.Now()
	later := Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}}
	s.put(later, now)
	s.put(Notice{Group: "g", Fence: 1}, now)
	require.Equal(t, later.Paces, s.get(now).Paces)
	require.EqualValues(t, 100, s.get(now.Add(100*time.Millisecond)).AgeMs)
	old := now.Add(noticeTTL + time.Second)
	require.Empty(t, s.get(old).Paces)
	s.put(Notice{Group: "g", Fence: 1, Paces: map[string]float64{"b": 3}}, old)
	require.Equal(t, map[string]float64{"b": 3}, s.get(old).Paces, "any notice replaces an expired one")
}

// servingRank is a rank of a serving group that counts state queries.
type servingRank struct{ calls int }

func (r *servingRank) State(context.Context, rollout.StateOptions) (rollout.State, error) {
	r.calls++
	return rollout.State{Group: "g", Epoch: 4, Serving: true}, nil
}

func (r *servingRank) Order(context.Context, rollout.Order) error { return nil }

// Guards against a notice that is lost or changed in transit, and against an invalid body that is accepted. Members are
// only sent on request because a large group's list is larger than the rest of the report.
func TestNoticeRoundTrip(t *testing.T) {
	r := mux.NewRouter()
	New(&servingRank{}, zap.NewNop()).Register(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	client := NewClient(srv.Listener.Addr().String(), http.DefaultClient, nil)
	sent := Notice{Group: "g", Fence: 3, Paces: map[string]float64{"10.0.0.1:80": 2.5}, Members: []string{"10.0.0.1:80"}}
	require.NoError(t, client.SendNotice(t.Context(), sent))
	got, err := client.ReadGroup(t.Context(), true)
	require.NoError(t, err)
	got.Notice.AgeMs = 0
	require.Equal(t, GroupReport{Group: "g", Epoch: 4, Serving: true, Notice: sent}, got)
	got, err = client.ReadGroup(t.Context(), false)
	require.NoError(t, err)
	require.Empty(t, got.Notice.Members)
	err = client.call(t.Context(), http.MethodPut, PathNotice, []byte("{"), nil, maxNoticeBytes)
	var status *StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusBadRequest, status.Status)
}

// Guards against a separate call to the rank for each query of each gateway.
func TestStateCacheLimitsCallsToTheRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &servingRank{}
		var cache stateCache
		time.Sleep(time.Second)
		for range 50 {
			s, err := cache.get(t.Context(), rank)
			require.NoError(t, err)
			require.True(t, s.Serving)
		}
		require.Equal(t, 1, rank.calls)
		time.Sleep(2 * stateCacheTTL)
		_, err := cache.get(t.Context(), rank)
		require.NoError(t, err)
		require.Equal(t, 2, rank.calls, "an expired state is not returned")
	})
}
