package orders_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
)

// Guards against a holder that continues although a restore has removed its lease record, and against fencing tokens
// that are issued twice because the restored record is older.
func TestStoreRestoreVoidsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.era = 4
		a := orders.NewLease(&eraView{memoryStore: store}, "s", "a", shortLease)
		var held *orders.LeaseHeldError
		require.ErrorAs(t, a.Acquire(t.Context()), &held, "a holder from an earlier era may still be active")
		time.Sleep(held.Wait)
		restore := store.snapshot()
		require.NoError(t, a.Acquire(t.Context()))
		first, err := a.Check()
		require.NoError(t, err)
		restore()
		var restored *orders.StoreRestoredError
		require.ErrorAs(t, a.Renew(t.Context()), &restored)
		var expired *orders.LeaseExpiredError
		_, err = a.Check()
		require.ErrorAs(t, err, &expired)

		b := orders.NewLease(&eraView{memoryStore: store}, "s", "b", shortLease)
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		require.Equal(t, shortLease.TTL, held.Wait)
		time.Sleep(held.Wait)
		require.NoError(t, b.Acquire(t.Context()))
		second, err := b.Check()
		require.NoError(t, err)
		require.Greater(t, second, first)
	})
}

// Guards against a process that uses its lease until the next renewal although another of its calls has shown a new
// era.
func TestAnyResponseOfNextEraVoidsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		view := &eraView{memoryStore: store}
		l := orders.NewLease(view, "s", "a", shortLease)
		require.NoError(t, l.Acquire(t.Context()))
		store.snapshot()()
		_, err := l.Check()
		require.NoError(t, err)
		_, _ = view.Get(t.Context(), "another key")
		_, err = l.Check()
		require.Error(t, err)
		require.LessOrEqual(t, l.Remaining(), time.Duration(0))
	})
}

// Guards against two holders at the same time, and against one fencing token for two of them. The service is restored
// from older copies, processes notice that at different times, and writes take effect in a later era than the one they
// were sent in.
func TestLeaseHistoriesAreLinearizableAcrossRestores(t *testing.T) {
	requireLinearizable(t, historyConfig{checkLease: true, restores: 6, observeEras: true}, 500)
}

// Shows that the test above detects holders that ignore eras.
func TestIgnoringErasBreaksLinearizability(t *testing.T) {
	requireNotLinearizable(t, historyConfig{checkLease: true, restores: 6})
}

// Guards against a late write from an earlier era that lowers the current fencing token. It could take effect after a
// restore: the service reuses revisions, so the record can reach the revision that the write expects a second time.
func TestLateWriteOfEarlierEraHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 30 * time.Second
		store := newStore()
		store.era = 1
		lease := func(holder string) *orders.Lease {
			return orders.NewLease(&eraView{memoryStore: store}, "s", holder, shortLease)
		}
		acquire := func(l *orders.Lease) int64 {
			for {
				err := l.Acquire(t.Context())
				var held *orders.LeaseHeldError
				if !errors.As(err, &held) {
					require.NoError(t, err)
					fence, err := l.Check()
					require.NoError(t, err)
					return fence
				}
				time.Sleep(held.Wait)
			}
		}
		first := lease("first")
		acquire(first)
		restore := store.snapshot()
		require.NoError(t, first.Release(t.Context()))
		store.fault = func() writeFault { return writeFault{lateBy: late} }
		require.Error(t, first.Acquire(t.Context()), "the write takes effect later")
		store.fault = func() writeFault { return writeFault{} }
		restore()
		second := acquire(lease("second"))
		time.Sleep(late)
		require.Greater(t, acquire(lease("third")), second)
	})
}
