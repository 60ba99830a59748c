package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/telemetry/invariant"
)

func newGate(t testing.TB, cfg Config) *Gate {
	t.Helper()
	g, err := NewGate(cfg)
	require.NoError(t, err)
	restore := invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) })
	t.Cleanup(restore)
	return g
}

func work(id string, timeout time.Duration) *peerapi.Work {
	return &peerapi.Work{ID: id, Customer: "a", Weight: 1, Kind: peerapi.KindStatus, DeadlineMs: timeout.Milliseconds()}
}

// Guards against a canceled request that stays in the queue and later gets a slot.
func TestCanceledCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t, fixedConfig(1))
		first, err := g.Acquire(t.Context(), work("first", time.Minute), 0)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := make(chan error, 1)
		go func() {
			_, err := g.Acquire(ctx, work("second", time.Minute), 0)
			canceled <- err
		}()
		synctest.Wait()
		cancel()
		var e *CanceledError
		require.ErrorAs(t, <-canceled, &e)
		require.ErrorIs(t, e, context.Canceled)
		require.Equal(t, callerapi.ExecutedNo, e.Caller().Executed)
		var l peerapi.LoadReport
		g.Load(&l)
		require.Equal(t, peerapi.LoadReport{Running: 1, Limit: 1, WaitMs: l.WaitMs}, l)
		first.Done(0, time.Second)
		first.Done(0, time.Second)
		again, err := g.Acquire(t.Context(), work("third", time.Minute), 0)
		require.NoError(t, err)
		again.Release()
	})
}

// Guards against a waiting request that is refused only at the next arrival or completion instead of when it can no
// longer meet its deadline.
func TestExpiryWithoutOtherEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t, fixedConfig(1))
		first, err := g.Acquire(t.Context(), work("first", time.Minute), 0)
		require.NoError(t, err)
		begin := time.Now()
		// The later deadline sets the timer first; the earlier one must reset it.
		later := make(chan error, 1)
		go func() {
			_, err := g.Acquire(t.Context(), work("later", 5*time.Second), 0)
			later <- err
		}()
		synctest.Wait()
		_, err = g.Acquire(t.Context(), work("second", 3*time.Second), 0)
		var e *RefusedError
		require.ErrorAs(t, err, &e)
		require.Equal(t, Expired, e.Reason)
		require.Equal(t, 3*time.Second+1, time.Since(begin))
		require.Equal(t, callerapi.DeadlineExceeded, e.Caller().Type)
		require.Equal(t, callerapi.ExecutedNo, e.Caller().Executed)
		require.Positive(t, e.Caller().RetryAfter)
		require.ErrorAs(t, <-later, &e)
		require.Equal(t, 5*time.Second+1, time.Since(begin))
		first.Release()
	})
}

// Guards against a drain that drops waiting or running requests, accepts new ones or ends too early.
func TestDrainFinishesAcceptedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t, fixedConfig(2))
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				permit, err := g.Acquire(t.Context(), work(fmt.Sprint(i), time.Minute), 0)
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Second)
				permit.Done(0, time.Second)
			})
		}
		synctest.Wait()
		begin := time.Now()
		g.Drain()
		_, err := g.Acquire(t.Context(), work("late", time.Minute), 0)
		var e *RefusedError
		require.ErrorAs(t, err, &e)
		require.Equal(t, callerapi.Draining, e.Caller().Type)
		require.Equal(t, callerapi.ExecutedNo, e.Caller().Executed)
		<-g.Drained()
		require.Equal(t, 3*time.Second, time.Since(begin))
		wg.Wait()
		g.Drain()
	})
}

// Guards against a request of an unknown kind that is admitted instead of rejected.
func TestAcquireRejectsUnknownKind(t *testing.T) {
	g := newGate(t, fixedConfig(1))
	w := work("x", time.Second)
	w.Kind = "bulk"
	_, err := g.Acquire(t.Context(), w, 0)
	var e *KindError
	require.ErrorAs(t, err, &e)
}

type call struct {
	at, cancelAfter, service, deadline time.Duration
	kind                               string
}

// Guards against leaked slots and missing results when a cancellation coincides with a grant, an expiry or a drain.
func TestCancellationRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(label string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(rt, label)) * 10 * time.Millisecond
		}
		var calls []call
		for range rapid.IntRange(1, 30).Draw(rt, "calls") {
			calls = append(calls, call{
				at: ms("at", 0, 20), cancelAfter: ms("gone", 0, 20), service: ms("service", 0, 10), deadline: ms("deadline", 1, 30),
				kind: kindNames[rapid.IntRange(0, numKinds-1).Draw(rt, "kind")],
			})
		}
		slots, drainAt := rapid.IntRange(1, 4).Draw(rt, "slots"), ms("drain", 0, 40)
		synctest.Test(t, func(t *testing.T) {
			if problem := runCalls(t, calls, slots, drainAt); problem != "" {
				t.Error(problem)
			}
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

func runCalls(t *testing.T, calls []call, slots int, drainAt time.Duration) string {
	g := newGate(t, fixedConfig(slots))
	var mu sync.Mutex
	running, most, results := 0, 0, 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		running += n
		most = max(most, running)
	}
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Go(func() {
			time.Sleep(c.at)
			ctx, cancel := context.WithTimeout(t.Context(), c.cancelAfter)
			defer cancel()
			w := work(fmt.Sprint(i), c.deadline)
			w.Kind = c.kind
			permit, err := g.Acquire(ctx, w, 100)
			mu.Lock()
			results++
			mu.Unlock()
			if err == nil {
				count(1)
				time.Sleep(c.service)
				count(-1)
				permit.Done(10, c.service)
			}
		})
	}
	time.Sleep(drainAt)
	g.Drain()
	<-g.Drained()
	wg.Wait()
	var l peerapi.LoadReport
	g.Load(&l)
	if l.Running != 0 || l.Waiting != 0 || most > slots || results != len(calls) {
		return fmt.Sprintf("%+v, at most %d of %d slots used, %d results of %d calls", l, most, slots, results, len(calls))
	}
	return ""
}

// Guards against data races between Acquire, Done and cancellation. It runs the races of TestCancellationRaces with real
// concurrency, for the race detector.
func TestGateUnderContention(t *testing.T) {
	g := newGate(t, fixedConfig(3))
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithCancel(t.Context())
				if n%3 == 0 {
					go cancel()
				}
				permit, err := g.Acquire(ctx, work(fmt.Sprint(i, "-", n), time.Minute), 0)
				var canceled *CanceledError
				if err != nil && !errors.As(err, &canceled) {
					t.Error(err)
				}
				if err == nil {
					permit.Done(0, time.Millisecond)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	g.Drain()
	<-g.Drained()
}
