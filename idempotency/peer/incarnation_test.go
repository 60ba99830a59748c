package peer

import (
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/idempotency"
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

// TestIncarnationsIncrease guards against a process that gets the number of another one, against one that misjudges,
// after a lost response to its write, whether it is the first incarnation, and against one without a number during an
// outage.
func TestIncarnationsIncrease(t *testing.T) {
	s, store := newStore(t)
	now := func() time.Time { return time.UnixMicro(1000) }
	s.SetFaults(kvserver.Faults{LoseResponses: 1})
	acquire := func(server string) (int64, bool) {
		n := AcquireIncarnation(t.Context(), store, server, now)
		return n.Number, n.Recorded
	}
	for _, want := range []int64{1, 1000, 1001} {
		number, recorded := acquire("booking-1")
		require.Equal(t, want, number)
		require.True(t, recorded)
	}
	s.SetFaults(kvserver.Faults{Down: true})
	number, recorded := acquire("booking-2")
	require.Equal(t, int64(1000), number)
	require.False(t, recorded)
}

// TestUnrecordedHolderGrantsNothing guards against a holder whose successor would mistake itself for the first
// incarnation, because no number was recorded during an outage of the key-value service.
func TestUnrecordedHolderGrantsNothing(t *testing.T) {
	_, store := newStore(t)
	w := newNetwork(t, 3)
	n := w.startNodeAs(0, 5000, ProcessIncarnation{Number: 5000, owner: "me"}, idempotency.Options{})
	n.copyRound(t.Context())
	require.Equal(t, idempotency.Shards, n.Dump().Incomplete)
	require.NoError(t, n.updateIncarnationRecord(t.Context(), store))
	n.copyRound(t.Context())
	n.copyRound(t.Context())
	require.NoError(t, n.updateIncarnationRecord(t.Context(), store))
	require.Zero(t, n.Dump().Incomplete)
	next := AcquireIncarnation(t.Context(), store, server(0), func() time.Time { return time.UnixMicro(0) })
	require.Equal(t, int64(5001), next.Number)
	require.Equal(t, []string{"shed"}, next.HeldServices)
}

// TestServerThatNeverHeldKeysIsComplete guards against two faults. If the servers of a service were restarted before
// the service was created, its keys could not be used until the retention had passed. A server could also assume that
// it never held keys although a predecessor did.
func TestServerThatNeverHeldKeysIsComplete(t *testing.T) {
	_, store := newStore(t)
	now := func() time.Time { return time.UnixMicro(0) }
	w := newNetwork(t, 3)
	first := AcquireIncarnation(t.Context(), store, server(0), now)
	second := AcquireIncarnation(t.Context(), store, server(0), now)
	n := w.startNodeAs(0, second.Number, second, idempotency.Options{})
	require.Equal(t, idempotency.Shards, n.Dump().Incomplete, "shards must stay incomplete until the service is recorded as held")
	require.NoError(t, n.updateIncarnationRecord(t.Context(), store))
	require.Zero(t, n.Dump().Incomplete)

	paused := w.startNodeAs(0, first.Number, first, idempotency.Options{})
	var replaced *ReplacedError
	require.ErrorAs(t, paused.updateIncarnationRecord(t.Context(), store), &replaced)
	third := AcquireIncarnation(t.Context(), store, server(0), now)
	n = w.startNodeAs(0, third.Number, third, idempotency.Options{})
	require.NoError(t, n.updateIncarnationRecord(t.Context(), store))
	require.Equal(t, idempotency.Shards, n.Dump().Incomplete, "shards must be incomplete: the predecessor may have granted keys")
}
