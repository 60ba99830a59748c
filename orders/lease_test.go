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

var shortLease = orders.LeaseSettings{TTL: 10 * time.Second, Margin: 2 * time.Second}

// TestMain fixes the seed of the property tests; -rapid.seed selects another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20")
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a holder that is paused past the expiry of its lease and continues as if it still held it.
func TestPausedHolderHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a := orders.NewLease(store, "s", "a", shortLease)
		b := orders.NewLease(store, "s", "b", shortLease)
		require.NoError(t, a.Acquire(t.Context()))
		var held *orders.LeaseHeldError
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		require.Equal(t, shortLease.TTL, held.Wait)
		time.Sleep(shortLease.TTL - shortLease.Margin)
		var expired *orders.LeaseExpiredError
		_, err := a.Check()
		require.ErrorAs(t, err, &expired)
		require.ErrorAs(t, a.Renew(t.Context()), &expired)
		require.ErrorAs(t, b.Acquire(t.Context()), &held)
		time.Sleep(held.Wait)
		require.NoError(t, b.Acquire(t.Context()))
		fence, err := b.Check()
		require.NoError(t, err)
		require.Equal(t, int64(2), fence)
	})
}

// Guards against an instance that uses a lease which expired while the instance was suspended: its monotonic clock does
// not count the suspension.
func TestSuspendedHolderHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		settings := shortLease
		settings.SinceBoot = func() time.Duration { return time.Hour + suspended }
		a := orders.NewLease(newStore(), "s", "a", settings)
		require.NoError(t, a.Acquire(t.Context()))
		suspended = settings.TTL - settings.Margin - time.Millisecond
		_, err := a.Check()
		require.NoError(t, err)
		suspended += time.Millisecond
		var expired *orders.LeaseExpiredError
		_, err = a.Check()
		require.ErrorAs(t, err, &expired)
		require.ErrorAs(t, a.Renew(t.Context()), &expired)
		require.LessOrEqual(t, a.Remaining(), time.Duration(0))
	})
}

// Guards against a lease that is lost, or acquired twice, when the response to its write is lost or the write takes
// effect late.
func TestLostResponsesAreResolved(t *testing.T) {
	for name, fault := range map[string]writeFault{"lost": {loseResponse: true}, "late": {lateBy: time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				faults := []writeFault{fault, {delay: 2 * time.Millisecond}}
				store.fault = func() writeFault {
					f := faults[0]
					faults = append(faults[1:], f)
					return f
				}
				a := orders.NewLease(store, "s", "a", shortLease)
				require.NoError(t, a.Acquire(t.Context()))
				require.NoError(t, a.Renew(t.Context()))
				fence, err := a.Check()
				require.NoError(t, err)
				require.Equal(t, int64(1), fence)
			})
		})
	}
}

// Guards against a lease that counts from the response instead of the time before the write.
func TestSlowResponseShortensLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.fault = func() writeFault { return writeFault{responseDelay: 5 * time.Second} }
		a := orders.NewLease(store, "s", "a", shortLease)
		require.NoError(t, a.Acquire(t.Context()))
		time.Sleep(shortLease.TTL - shortLease.Margin - 5*time.Second)
		_, err := a.Check()
		require.Error(t, err)
	})
}

// Guards against a lease that outlives its TTL while the service is down, and against one that cannot be acquired
// again, with the next fencing token, once the service is back.
func TestOutageEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a := orders.NewLease(store, "s", "a", shortLease)
		require.NoError(t, a.Acquire(t.Context()))
		store.setDown(true)
		var down *kv.UnavailableError
		require.ErrorAs(t, a.Renew(t.Context()), &down)
		time.Sleep(shortLease.TTL)
		_, err := a.Check()
		require.Error(t, err)
		store.setDown(false)
		require.NoError(t, a.Acquire(t.Context()))
		fence, err := a.Check()
		require.NoError(t, err)
		require.Equal(t, int64(2), fence)
	})
}

// leaseOp is an operation of the history: an acquired lease, or an order that reached the engine.
type leaseOp struct {
	acquire bool
	fence   int64
}

// leaseModel is the sequential model: fencing tokens grow, and every order carries the newest one.
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

// historyConfig controls how a history is generated.
type historyConfig struct {
	seed uint64
	// checkLease makes holders check the lease before they send. Otherwise they send with the last token that they got.
	checkLease bool
	// restores is the number of restores of the service from a copy some seconds old; observeEras lets holders notice
	// them.
	restores    int
	observeEras bool
}

// generateHistory returns the operations of three holders that randomly acquire, renew, send and pause while the
// service has random faults.
func generateHistory(t *testing.T, c historyConfig) []porcupine.Operation {
	var mu sync.Mutex
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		rng := rand.New(rand.NewPCG(c.seed, 1))
		store.fault = func() writeFault {
			f := writeFault{delay: time.Duration(rng.IntN(50)) * time.Millisecond, loseResponse: rng.IntN(5) == 0}
			if rng.IntN(10) == 0 {
				f.responseDelay = time.Duration(rng.IntN(12_000)) * time.Millisecond
			}
			if rng.IntN(10) == 0 {
				f.lateBy = time.Duration(rng.IntN(maxLateMs)) * time.Millisecond
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
				var view kv.Store = store
				if c.observeEras {
					view = &eraView{memoryStore: store}
				}
				holderRNG := rand.New(rand.NewPCG(c.seed, uint64(id)+10))
				runHolder(t, orders.NewLease(view, "s", string(rune('a'+id)), shortLease), holderRNG, c.checkLease,
					func(call time.Time, op leaseOp) { record(id, call, op) })
			})
		}
		wg.Go(func() { restoreAtRandom(store, rand.New(rand.NewPCG(c.seed, 3)), c.restores) })
		wg.Wait()
		time.Sleep(maxLateMs * time.Millisecond) // Late writes must end within the synctest bubble.
	})
	return ops
}

// maxLateMs is the largest delay in milliseconds after which a late write takes effect.
const maxLateMs = 6000

// restoreAtRandom restores the service from older copies at random times.
func restoreAtRandom(store *memoryStore, rng *rand.Rand, restores int) {
	const (
		copyAge  = 3 * time.Second
		maxPause = 25 * time.Second
	)
	for range restores {
		restore := store.snapshot()
		time.Sleep(copyAge)
		restore()
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
	}
}

// requireLinearizable checks many histories with random seeds, and that they have more than minOps operations in total.
func requireLinearizable(t *testing.T, c historyConfig, minOps int) {
	t.Helper()
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		c.seed = rapid.Uint64().Draw(rt, "seed")
		ops := generateHistory(t, c)
		n += len(ops)
		require.True(rt, porcupine.CheckOperations(leaseModel, ops))
	})
	require.Greater(t, n, minOps)
}

// requireNotLinearizable checks that at least one history of the configuration violates the model.
func requireNotLinearizable(t *testing.T, c historyConfig) {
	t.Helper()
	for c.seed = range 50 {
		if !porcupine.CheckOperations(leaseModel, generateHistory(t, c)) {
			return
		}
	}
	require.Fail(t, "all histories are linearizable")
}

// maxPauseSeconds is the longest pause of a holder, which exceeds the TTL of its lease.
const maxPauseSeconds = 14

func runHolder(
	t *testing.T, l *orders.Lease, rng *rand.Rand, checkLease bool, record func(call time.Time, op leaseOp),
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
			if err != nil && (checkLease || last == 0) {
				if l.Acquire(t.Context()) == nil {
					last, _ = l.Check()
					record(call, leaseOp{acquire: true, fence: last})
				}
				continue
			}
			if err != nil {
				fence = last
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond) // In transit, within the margin.
			record(call, leaseOp{fence: fence})
		}
	}
}

// Guards against two holders at the same time: in every history, fencing tokens grow and each order that reaches the
// engine within the margin carries the newest token, whether or not the engine checks it.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	requireLinearizable(t, historyConfig{checkLease: true}, 1000)
}

// Shows that the test above detects orders with a stale fencing token from holders that do not check the lease.
func TestUncheckedLeaseBreaksLinearizability(t *testing.T) {
	requireNotLinearizable(t, historyConfig{})
}
