package orders_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
)

// Guards against a holder that goes on although the record of its lease is gone, and against fencing numbers that are given out a
// second time because the restored record is older.
func TestStoreRestoreVoidsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.era = 4
		a := orders.NewLease(&eraView{memoryStore: store}, "s", "a", shortLease)
		var held *orders.LeaseHeldError
		require.ErrorAs(t, a.Acquire(t.Context()), &held, "a holder of an era before may still act")
		time.Sleep(held.Wait)
		restore := store.snapshot()
		require.NoError(t, a.Acquire(t.Context()))
		first, err := a.Check()
		require.NoError(t, err)
		restore()
		var restored *orders.StoreRestoredError
		require.ErrorAs(t, a.Renew(t.Context()), &restored)
		var lapsed *orders.LeaseExpiredError
		_, err = a.Check()
		require.ErrorAs(t, err, &lapsed)

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

// Guards against a lease that another call of the process has shown to be void: the process must not wait for its own renewal.
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

// Guards against two holders at once, and against one fencing number for two of them, while the service is restored from earlier
// copies, processes hear of that at different times, and writes take effect in a later era than that in which they were sent.
func TestLeaseHistoriesAreLinearizableAcrossRestores(t *testing.T) {
	requireLinearizable(t, historyConfig{checkLease: true, restores: 6, observeEras: true}, 500)
}

// Shows that the check above finds holders that ignore the eras.
func TestIgnoringErasBreaksLinearizability(t *testing.T) {
	requireNotLinearizable(t, historyConfig{checkLease: true, restores: 6})
}

// Guards against a write of an earlier era that takes effect after the restore, because the record has got the revision that it
// expects once more, and takes the fencing number of the present holder back.
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
		require.Error(t, first.Acquire(t.Context()), "the write is on its way")
		store.fault = func() writeFault { return writeFault{} }
		restore()
		second := acquire(lease("second"))
		time.Sleep(late)
		require.Greater(t, acquire(lease("third")), second)
	})
}
