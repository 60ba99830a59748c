package peer

import (
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/idempotency"
	"lavendermoor.example/platform/kv"
	"lavendermoor.example/standin/kvserver"
)

func newStore(t *testing.T) (*kvserver.Server, kv.Store) {
	s := kvserver.New()
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	require.NoError(t, err)
	return s, kv.NewClient(base, time.Second, nil)
}

// TestIncarnationsGrow guards against a process that takes the number of another, or takes itself for the first one
// after its write was answered with a loss, and against one that goes on without a number during an outage.
func TestIncarnationsGrow(t *testing.T) {
	s, store := newStore(t)
	now := func() time.Time { return time.UnixMicro(1000) }
	s.SetFaults(kvserver.Faults{LoseAnswers: 1})
	require.Equal(t, Number{1, true}, Incarnation(t.Context(), store, "booking-1", now))
	require.Equal(t, Number{1000, true}, Incarnation(t.Context(), store, "booking-1", now))
	require.Equal(t, Number{1001, true}, Incarnation(t.Context(), store, "booking-1", now))
	s.SetFaults(kvserver.Faults{Down: true})
	require.Equal(t, Number{1000, false}, Incarnation(t.Context(), store, "booking-2", now))
}

// TestUnrecordedHolderGrantsNothing guards against a holder whose successor would take itself for the first
// incarnation, because no number was recorded during an outage of the key-value service.
func TestUnrecordedHolderGrantsNothing(t *testing.T) {
	_, store := newStore(t)
	w := newNetwork(t, 3)
	n := w.start(0, 5000, idempotency.Options{})
	n.table.SetRecorded(false)
	n.opts.Unrecorded = true
	n.copyRound(t.Context())
	require.Equal(t, idempotency.Shards, n.Dump().Incomplete)
	n.Record(t.Context(), store)
	n.copyRound(t.Context())
	n.copyRound(t.Context())
	require.Zero(t, n.Dump().Incomplete)
	next := Incarnation(t.Context(), store, server(0), func() time.Time { return time.UnixMicro(0) })
	require.Equal(t, Number{5001, true}, next)
}
