package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a notice of an earlier planner that hides what the present one says, and against slow ranks that are
// remembered for ever after their planner has died.
func TestNoticesFollowTheLatestPlanner(t *testing.T) {
	var b board
	now := time.Now()
	later := Notice{Group: "g", Fence: 2, Paces: map[string]float64{"a": 4}}
	b.put(later, now)
	b.put(Notice{Group: "g", Fence: 1}, now)
	require.Equal(t, later.Paces, b.get(now).Paces)
	require.EqualValues(t, 100, b.get(now.Add(100*time.Millisecond)).AgeMs)
	old := now.Add(noticeLife + time.Second)
	require.Empty(t, b.get(old).Paces)
	b.put(Notice{Group: "g", Fence: 1, Paces: map[string]float64{"b": 3}}, old)
	require.Equal(t, map[string]float64{"b": 3}, b.get(old).Paces, "an old notice gives way to any")
}

// Guards against a notice that is lost or changed between two processes, and against a body that is none.
func TestNoticeTravels(t *testing.T) {
	r := mux.NewRouter()
	New(nil, zap.NewNop()).Register(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	client := NewClient(srv.Listener.Addr().String(), http.DefaultClient, nil)
	sent := Notice{Group: "g", Fence: 3, Paces: map[string]float64{"10.0.0.1:80": 2.5}}
	require.NoError(t, client.SendNotice(t.Context(), sent))
	got, err := client.ReadNotice(t.Context())
	require.NoError(t, err)
	got.AgeMs = 0
	require.Equal(t, sent, got)
	err = client.call(t.Context(), http.MethodPut, PathNotice, []byte("{"), nil, maxNotice)
	var status *StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusBadRequest, status.Status)
}
