package orders_test

import (
	"flag"
	"math/rand/v2"
	"os"
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

var short = orders.LeaseSettings{TTL: 10 * time.Second, Margin: 2 * time.Second}

// TestMain fixes the seed of the random checks; -rapid.seed chooses another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20")
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a holder that is paused past its lease and goes on as if it held it.
func TestPausedHolderHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a := orders.NewLease(store, "s", "a", short)
		b := orders.NewLease(store, "s", "b", short)
		require.NoError(t, a.Acquire(t.Context()))
		var held *orders.HeldError
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		require.Equal(t, short.TTL, held.Wait)
		time.Sleep(short.TTL - short.Margin)
		var lapsed *orders.LapsedError
		_, err := a.Check()
		require.ErrorAs(t, err, &lapsed)
		require.ErrorAs(t, a.Renew(t.Context()), &lapsed)
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		time.Sleep(held.Wait)
		require.NoError(t, b.Acquire(t.Context()))
		fence, err := b.Check()
		require.NoError(t, err)
		require.Equal(t, int64(2), fence)
	})
}

// Guards against an instance that was suspended and acts on a lease that has ended meanwhile: its monotonic clock has not counted
// the suspension.
func TestSuspendedHolderHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		set := short
		set.SinceBoot = func() time.Duration { return time.Hour + suspended }
		a := orders.NewLease(newStore(), "s", "a", set)
		require.NoError(t, a.Acquire(t.Context()))
		suspended = set.TTL - set.Margin - time.Millisecond
		_, err := a.Check()
		require.NoError(t, err)
		suspended += time.Millisecond
		var lapsed *orders.LapsedError
		_, err = a.Check()
		require.ErrorAs(t, err, &lapsed)
		require.ErrorAs(t, a.Renew(t.Context()), &lapsed)
		require.LessOrEqual(t, a.Left(), time.Duration(0))
	})
}

// Guards against a lease that is lost, or taken twice, when the answer to its write is lost or the write takes
// effect late.
func TestLostAnswersAreResolved(t *testing.T) {
	for name, fault := range map[string]writeFault{"lost": {lose: true}, "late": {late: time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				faults := []writeFault{fault, {delay: 2 * time.Millisecond}}
				store.fault = func() writeFault {
					f := faults[0]
					faults = append(faults[1:], f)
					return f
				}
				a := orders.NewLease(store, "s", "a", short)
				require.NoError(t, a.Acquire(t.Context()))
				require.NoError(t, a.Renew(t.Context()))
				fence, err := a.Check()
				require.NoError(t, err)
				require.Equal(t, int64(1), fence)
			})
		})
	}
}

// Guards against a lease that is counted from the answer instead of the time before the write.
func TestSlowAnswerShortensTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.fault = func() writeFault { return writeFault{slow: 5 * time.Second} }
		a := orders.NewLease(store, "s", "a", short)
		require.NoError(t, a.Acquire(t.Context()))
		time.Sleep(short.TTL - short.Margin - 5*time.Second)
		_, err := a.Check()
		require.Error(t, err)
	})
}

// Guards against a lease that lasts longer because the service is down, and against a rush when it is back.
func TestOutageEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a := orders.NewLease(store, "s", "a", short)
		require.NoError(t, a.Acquire(t.Context()))
		store.setDown(true)
		var down *kv.UnavailableError
		require.ErrorAs(t, a.Renew(t.Context()), &down)
		time.Sleep(short.TTL)
		_, err := a.Check()
		require.Error(t, err)
		store.setDown(false)
		require.NoError(t, a.Acquire(t.Context()))
		fence, err := a.Check()
		require.NoError(t, err)
		require.Equal(t, int64(2), fence)
	})
}

// leaseOp is an operation of the history: a taken lease, or an order that the engine took.
type leaseOp struct {
	acquire bool
	fence   int64
}

// leaseModel is the sequential model: fencing numbers grow, and every order carries the newest one.
var leaseModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		op, newest := input.(leaseOp), state.(int64)
		if op.acquire {
			return op.fence > newest, op.fence
		}
		return op.fence == newest, newest
	},
}

// history runs holders that acquire, renew, send, pause and meet faults of the service at random. With
// obey unset, holders send with the last number that they got without a check of the lease.
func history(t *testing.T, seed uint64, obey bool) []porcupine.Operation {
	var mu sync.Mutex
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		rng := rand.New(rand.NewPCG(seed, 1))
		store.fault = func() writeFault {
			f := writeFault{delay: time.Duration(rng.IntN(50)) * time.Millisecond, lose: rng.IntN(5) == 0}
			if rng.IntN(10) == 0 {
				f.slow = time.Duration(rng.IntN(12_000)) * time.Millisecond
			}
			if rng.IntN(10) == 0 {
				f.late = time.Duration(rng.IntN(3000)) * time.Millisecond
			}
			return f
		}
		start := time.Now()
		record := func(id int, call time.Time, op leaseOp) {
			mu.Lock()
			defer mu.Unlock()
			ops = append(ops, porcupine.Operation{
				ClientId: id, Input: op, Call: call.Sub(start).Nanoseconds(), Return: time.Since(start).Nanoseconds(),
			})
		}
		var wg sync.WaitGroup
		for id := range 3 {
			wg.Go(func() {
				own := rand.New(rand.NewPCG(seed, uint64(id)+10))
				runHolder(t, orders.NewLease(store, "s", string(rune('a'+id)), short), own, obey,
					func(call time.Time, op leaseOp) { record(id, call, op) })
			})
		}
		wg.Wait()
		time.Sleep(5 * time.Second) // Lets late writes end within the bubble.
	})
	return ops
}

// maxPauseSeconds lets a holder sleep past its lease now and then.
const maxPauseSeconds = 14

func runHolder(
	t *testing.T, l *orders.Lease, rng *rand.Rand, obey bool, record func(call time.Time, op leaseOp),
) {
	last := int64(0)
	for range 25 {
		call := time.Now()
		switch rng.IntN(4) {
		case 0:
			_ = l.Renew(t.Context())
		case 1:
			time.Sleep(time.Duration(rng.IntN(maxPauseSeconds*1000)) * time.Millisecond)
		default:
			fence, err := l.Check()
			if err != nil && (obey || last == 0) {
				if l.Acquire(t.Context()) == nil {
					last, _ = l.Check()
					record(call, leaseOp{acquire: true, fence: last})
				}
				continue
			}
			if err != nil {
				fence = last
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond) // On the wire, within the margin.
			record(call, leaseOp{fence: fence})
		}
	}
}

// Guards against two holders at once: in every history, fencing numbers grow and each order that reaches the
// engine within the margin carries the newest number, with or without a check at the engine.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	sends := 0
	rapid.Check(t, func(rt *rapid.T) {
		ops := history(t, rapid.Uint64().Draw(rt, "seed"), true)
		sends += len(ops)
		require.True(rt, porcupine.CheckOperations(leaseModel, ops))
	})
	require.Greater(t, sends, 1000)
}

// Shows that the check above finds orders with an old number when holders do not check the lease.
func TestUncheckedLeaseBreaksTheHistory(t *testing.T) {
	for seed := range uint64(50) {
		if !porcupine.CheckOperations(leaseModel, history(t, seed, false)) {
			return
		}
	}
	require.Fail(t, "no history broke")
}
