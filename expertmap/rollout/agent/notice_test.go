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

// Guards against a notice of an earlier planner that hides what the present one says, and against slow ranks that are
// remembered for ever after their planner has died.
func TestNoticeOfTheLatestPlannerWins(t *testing.T) {
	var b noticeStore
	now := time.Now()
	later := Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}}
	b.put(later, now)
	b.put(Notice{Group: "g", Fence: 1}, now)
	require.Equal(t, later.Paces, b.get(now).Paces)
	require.EqualValues(t, 100, b.get(now.Add(100*time.Millisecond)).AgeMs)
	old := now.Add(noticeTTL + time.Second)
	require.Empty(t, b.get(old).Paces)
	b.put(Notice{Group: "g", Fence: 1, Paces: map[string]float64{"b": 3}}, old)
	require.Equal(t, map[string]float64{"b": 3}, b.get(old).Paces, "an old notice gives way to any")
}

// openRank is a rank that reports to be in an open group.
type openRank struct{ calls int }

func (r *openRank) State(context.Context, rollout.StateOptions) (rollout.State, error) {
	r.calls++
	return rollout.State{Group: "g", Epoch: 4, Open: true}, nil
}

func (r *openRank) Order(context.Context, rollout.Order) error { return nil }

// Guards against a notice that is lost or changed between two processes, and against a body that is none. Members are given
// to those who ask only, because a large group's list takes more bytes than everything else.
func TestNoticeRoundTrip(t *testing.T) {
	r := mux.NewRouter()
	New(&openRank{}, zap.NewNop()).Register(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	client := NewClient(srv.Listener.Addr().String(), http.DefaultClient, nil)
	sent := Notice{Group: "g", Fence: 3, Paces: map[string]float64{"10.0.0.1:80": 2.5}, Members: []string{"10.0.0.1:80"}}
	require.NoError(t, client.SendNotice(t.Context(), sent))
	got, err := client.ReadGroup(t.Context(), true)
	require.NoError(t, err)
	got.Notice.AgeMs = 0
	require.Equal(t, GroupReport{Group: "g", Epoch: 4, Open: true, Notice: sent}, got)
	got, err = client.ReadGroup(t.Context(), false)
	require.NoError(t, err)
	require.Empty(t, got.Notice.Members)
	err = client.call(t.Context(), http.MethodPut, PathNotice, []byte("{"), nil, maxNoticeBytes)
	var status *StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusBadRequest, status.Status)
}

// Guards against a rank that is asked once for each question of each gateway.
func TestStateCacheLimitsCallsToTheRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &openRank{}
		var cache stateCache
		time.Sleep(time.Second)
		for range 50 {
			s, err := cache.get(t.Context(), rank)
			require.NoError(t, err)
			require.True(t, s.Open)
		}
		require.Equal(t, 1, rank.calls)
		time.Sleep(2 * stateCacheTTL)
		_, err := cache.get(t.Context(), rank)
		require.NoError(t, err)
		require.Equal(t, 2, rank.calls, "an old state is not given")
	})
}
