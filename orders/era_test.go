package orders_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/orders"
)

// Guards against a holder that goes on although the record of its lease is gone, and against fencing numbers that are given out a
// second time because the restored record is older.
func TestRestoreOfTheServiceVoidsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.era = 4
		a := orders.NewLease(&eraView{memoryStore: store}, "s", "a", short)
		var held *orders.HeldError
		require.ErrorAs(t, a.Acquire(t.Context()), &held, "a holder of an era before may still act")
		time.Sleep(held.Wait)
		restore := store.copyOf()
		require.NoError(t, a.Acquire(t.Context()))
		first, err := a.Check()
		require.NoError(t, err)
		restore()
		var restored *orders.RestoredError
		require.ErrorAs(t, a.Renew(t.Context()), &restored)
		var lapsed *orders.LapsedError
		_, err = a.Check()
		require.ErrorAs(t, err, &lapsed)

		b := orders.NewLease(&eraView{memoryStore: store}, "s", "b", short)
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		require.Equal(t, short.TTL, held.Wait)
		time.Sleep(held.Wait)
		require.NoError(t, b.Acquire(t.Context()))
		second, err := b.Check()
		require.NoError(t, err)
		require.Greater(t, second, first)
	})
}

// Guards against a lease that another call of the process has shown to be void: the process must not wait for its own renewal.
func TestAnyAnswerOfTheNextEraVoidsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		view := &eraView{memoryStore: store}
		l := orders.NewLease(view, "s", "a", short)
		require.NoError(t, l.Acquire(t.Context()))
		store.copyOf()()
		_, err := l.Check()
		require.NoError(t, err)
		_, _ = view.Get(t.Context(), "another key")
		_, err = l.Check()
		require.Error(t, err)
		require.LessOrEqual(t, l.Left(), time.Duration(0))
	})
}

// restoredHistory is history with a service that is restored from earlier copies, of up to some seconds ago, at random. Processes
// that do not look at eras take it for one that only moves on.
func restoredHistory(t *testing.T, seed uint64, eras bool) []porcupine.Operation {
	const (
		copyEvery  = 3 * time.Second
		restores   = 6
		maxRestore = 25_000 // Milliseconds between two restores.
	)
	var mu sync.Mutex
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		rng := rand.New(rand.NewPCG(seed, 2))
		store.fault = func() writeFault {
			f := writeFault{delay: time.Duration(rng.IntN(50)) * time.Millisecond, lose: rng.IntN(5) == 0}
			if rng.IntN(6) == 0 {
				f.late = time.Duration(rng.IntN(6000)) * time.Millisecond
			}
			return f
		}
		start := time.Now()
		var wg sync.WaitGroup
		for id := range 3 {
			wg.Go(func() {
				var view kv.Store = store
				if eras {
					view = &eraView{memoryStore: store}
				}
				own := rand.New(rand.NewPCG(seed, uint64(id)+10))
				runHolder(t, orders.NewLease(view, "s", string(rune('a'+id)), short), own, true, func(call time.Time, op leaseOp) {
					mu.Lock()
					defer mu.Unlock()
					ops = append(ops, porcupine.Operation{
						ClientId: id, Input: op, Call: call.Sub(start).Nanoseconds(), Return: time.Since(start).Nanoseconds(),
					})
				})
			})
		}
		wg.Go(func() {
			own := rand.New(rand.NewPCG(seed, 3))
			for range restores {
				restore := store.copyOf()
				time.Sleep(copyEvery)
				restore()
				time.Sleep(time.Duration(own.IntN(maxRestore)) * time.Millisecond)
			}
		})
		wg.Wait()
		time.Sleep(10 * time.Second) // Lets late writes end within the bubble.
	})
	return ops
}

// Guards against two holders at once, and against one fencing number for two of them, while the service is restored from earlier
// copies, processes hear of that at different times, and writes take effect in a later era than that in which they were sent.
func TestLeaseHistoriesAreLinearizableAcrossRestores(t *testing.T) {
	orders := 0
	rapid.Check(t, func(rt *rapid.T) {
		ops := restoredHistory(t, rapid.Uint64().Draw(rt, "seed"), true)
		orders += len(ops)
		require.True(rt, porcupine.CheckOperations(leaseModel, ops))
	})
	require.Greater(t, orders, 500)
}

// Shows that the check above finds holders that ignore the eras.
func TestIgnoredErasBreakTheHistory(t *testing.T) {
	for seed := range uint64(50) {
		if !porcupine.CheckOperations(leaseModel, restoredHistory(t, seed, false)) {
			return
		}
	}
	require.Fail(t, "no history broke")
}
