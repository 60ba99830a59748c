package limit

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// precedenceStart is the time at which the tests of precedence begin.
var precedenceStart = time.Unix(1e9, 0)

// newPrecedence returns the precedence after a second of arrivals of some priorities at the same rate.
func newPrecedence(priorities ...int) (*precedence, time.Time) {
	p, now := &precedence{}, precedenceStart
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for _, priority := range priorities {
			p.observeArrival(priority, now)
		}
	}
	return p, now
}

// newPriorityWaiter returns a request that can be on time for a second, and waits for 2 s.
func newPriorityWaiter(priority int, now time.Time) *waiter {
	return newWaiter(AcquireOptions{Priority: priority, MaxOnTimeWait: time.Second, MaxWait: 2 * time.Second}, now)
}

// newRetry returns a retry that is late and waits for 2 s.
func newRetry(priority int, now time.Time) *waiter {
	return newWaiter(AcquireOptions{Priority: priority, MaxWait: 2 * time.Second, IsRetry: true}, now)
}

// Guards against an order other than today's while all requests have the same priority, whichever it is, and against a
// priority that arrived long ago.
func TestEqualPrioritiesKeepTheOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			queues := [2]*Queue{newTestQueue("g"), newTestQueue("g")}
			_, err := queues[1].Acquire(t.Context(), AcquireOptions{Priority: 0})
			require.NoError(t, err)
			_, err = queues[0].Acquire(t.Context(), AcquireOptions{})
			require.NoError(t, err)
			time.Sleep(classMemory)
			var options []AcquireOptions
			for range 60 {
				options = append(options, AcquireOptions{
					MaxOnTimeWait: time.Duration(random.IntN(900)-200) * time.Millisecond,
					MaxWait:       time.Duration(random.IntN(2000)) * time.Millisecond, IsRetry: random.IntN(3) == 0,
				})
			}
			unprioritized := outcomes(t, queues[0], options)
			for i := range options {
				options[i].Priority = 7
			}
			require.Equal(t, unprioritized, outcomes(t, queues[1], options))
		})
	}
}

// outcome is the result of a request: the time of its permit, or of its refusal with the expected wait.
type outcome struct {
	at, estimated time.Duration
	refused       bool
}

// outcomes returns the outcomes of requests that arrive every 10 ms while a permit becomes free every 40 ms.
func outcomes(t *testing.T, q *Queue, options []AcquireOptions) []outcome {
	t.Helper()
	permits := q.acquireAllAt(t, options[0].Priority)
	start := time.Now()
	out := make([]outcome, len(options))
	for i, opts := range options {
		go func() {
			_, err := q.Acquire(t.Context(), opts)
			out[i].at = time.Since(start)
			var refused *RefusedError
			if errors.As(err, &refused) {
				out[i].refused, out[i].estimated = true, refused.EstimatedWait
				require.False(t, refused.ByPriority)
			}
		}()
		synctest.Wait()
		if i%4 == 0 && len(permits) > 0 {
			permits[0].Release()
			permits = permits[1:]
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return out
}

// acquireAllAt acquires all permits with a priority.
func (q *Queue) acquireAllAt(t *testing.T, priority int) []*Permit {
	t.Helper()
	var out []*Permit
	for {
		p, err := q.Acquire(t.Context(), AcquireOptions{Priority: priority})
		if err != nil {
			return out
		}
		out = append(out, p)
	}
}

// Guards against urgent requests behind less urgent ones that have less time left, and against retries behind new
// requests of their class or a less urgent one.
func TestOrderByPriority(t *testing.T) {
	p, now := newPrecedence(0, 1, 2)
	late := func(priority int) *waiter {
		return newWaiter(AcquireOptions{Priority: priority, MaxWait: time.Second}, now)
	}
	move := newWaiter(AcquireOptions{Priority: 2, MaxWait: time.Second, isMove: true}, now)
	soon := newWaiter(AcquireOptions{Priority: 2, MaxOnTimeWait: 10 * time.Millisecond}, now)
	want := []*waiter{
		move, newRetry(0, now), newPriorityWaiter(0, now), newPriorityWaiter(1, now), newRetry(2, now), soon, newPriorityWaiter(2, now),
		late(0), late(1), late(2),
	}
	got := slices.Clone(want)
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
	slices.SortFunc(got, func(a, b *waiter) int { return compareByPriority(a, b, now) })
	require.Equal(t, want, got)
	require.Zero(t, p.next(want, "g", now))
}

// admitAll gives n permits to waiting requests, which are replaced by others of the same kind, and returns how many each
// priority and the retries got.
func admitAll(p *precedence, waiting []*waiter, n int, now time.Time) (byPriority [numPriorities]int, retries int) {
	for range n {
		i := p.next(waiting, "g", now)
		w := waiting[i]
		p.observeAdmission(w, slices.Delete(slices.Clone(waiting), i, i+1), now)
		byPriority[w.priority]++
		if w.isRetry {
			retries++
		}
	}
	return byPriority, retries
}

// Guards against a class that starves while more urgent requests always wait, and against retries that do.
func TestEachWaitingClassKeepsItsPartOfThePermits(t *testing.T) {
	p, now := newPrecedence(0, 1, 2)
	waiting := []*waiter{newPriorityWaiter(0, now), newPriorityWaiter(1, now), newPriorityWaiter(2, now), newRetry(2, now)}
	const n = 1000
	byPriority, retries := admitAll(p, waiting, n, now)
	for _, priority := range []int{0, 1, 2} {
		// The arrivals are a third each.
		require.GreaterOrEqual(t, byPriority[priority], n/3/4)
	}
	require.GreaterOrEqual(t, retries, int(n*retryFraction)-1)
	require.Greater(t, byPriority[0], byPriority[1], "the rest goes to the most urgent class")
}

// Guards against a class that has not waited and is owed permits of that time, which it would take all at once.
func TestClassIsOwedNothingForTheTimeWithoutWaiting(t *testing.T) {
	p, now := newPrecedence(0, 2)
	admitAll(p, []*waiter{newPriorityWaiter(0, now)}, 100, now)
	waiting := []*waiter{newPriorityWaiter(0, now), newPriorityWaiter(2, now)}
	byPriority, _ := admitAll(p, waiting, 2, now)
	require.Equal(t, 2, byPriority[0])
}

// Guards against counting less urgent requests as ahead of an urgent one, which was refused for that, and against a less
// urgent request that expects to be served last although its class is guaranteed a part of the permits.
func TestExpectedWaitCountsOnlyRequestsThatGoBefore(t *testing.T) {
	p, now := newPrecedence(0, 2)
	var waiting []*waiter
	for range 50 {
		waiting = append(waiting, newPriorityWaiter(2, now))
	}
	supply := permitSupply{rate: 100}
	wait, ahead := p.wait(newPriorityWaiter(0, now), waiting, supply, now)
	require.Equal(t, 10*time.Millisecond, wait)
	require.Zero(t, ahead)
	waiting = waiting[:0]
	for range 50 {
		waiting = append(waiting, newPriorityWaiter(0, now))
	}
	wait, ahead = p.wait(newPriorityWaiter(2, now), waiting, supply, now)
	require.Equal(t, 50, ahead)
	require.Less(t, wait, 50*time.Millisecond)
	require.Greater(t, wait, 30*time.Millisecond, "0.325 of 100 permits a second")
	wait, _ = p.wait(newPriorityWaiter(0, now), nil, permitSupply{rate: 100, excess: 9}, now)
	require.Equal(t, 100*time.Millisecond, wait, "streams above the limit have to end first")
}

// Guards against a displaced request that waits until its time is over and is then refused, and against the refusal of a
// retry, whose caller does not return.
func TestDisplacedRequestIsRefusedWhenAMoreUrgentOneArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAllAt(t, 0)
		requests := waitingRequests{q: q}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		maxWait := time.Duration(20 / q.supply(groupFilter{}).rate * float64(time.Second))
		requests.add(ctx, t, "first", AcquireOptions{Priority: 2, MaxOnTimeWait: maxWait})
		requests.add(ctx, t, "retry", AcquireOptions{Priority: 2, MaxWait: maxWait, IsRetry: true})
		start := time.Now()
		for range 60 {
			go func() { _, _ = q.Acquire(ctx, AcquireOptions{MaxOnTimeWait: time.Minute}) }()
			synctest.Wait()
		}
		var refused *RefusedError
		require.ErrorAs(t, requests.errs["first"], &refused)
		require.Zero(t, time.Since(start))
		require.True(t, refused.ByPriority)
		require.Greater(t, refused.EstimatedWait, maxWait)
		require.NotContains(t, requests.errs, "retry")
		require.Equal(t, 61, q.Dump().Waiting)
	})
}

// Guards against callers that make a gateway keep any number of requests by announcing so little time that they count as
// retries.
func TestRetriesThatCannotBeServedAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAllAt(t, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _, _ = q.Acquire(ctx, AcquireOptions{Priority: 2, MaxOnTimeWait: time.Minute}) }()
		synctest.Wait()
		const maxWait = 2 * time.Second
		servable := int(maxWait.Seconds() * q.supply(groupFilter{}).rate)
		for range 10 * servable {
			go func() { _, _ = q.Acquire(ctx, AcquireOptions{MaxWait: maxWait, IsRetry: true}) }()
			synctest.Wait()
		}
		require.Equal(t, servable+1, q.Dump().Waiting)
	})
}

// Guards against a class that gets only its guaranteed part, and whose requests all wait behind its retries until they are
// late.
func TestGuaranteedPartGoesToRequestsThatCanBeOnTime(t *testing.T) {
	p, now := newPrecedence(0, 2)
	urgent, retry, onTime := newPriorityWaiter(0, now), newRetry(2, now), newPriorityWaiter(2, now)
	waiting := []*waiter{urgent, retry, onTime}
	require.Equal(t, 0, p.next(waiting, "g", now))
	p.classes[2].credit = 1
	require.Equal(t, 2, p.next(waiting, "g", now))
	p.retryCredit = 2
	require.Equal(t, 1, p.next(waiting, "g", now), "retries are owed more")
	onTime.filter.excluded = "g"
	p.retryCredit = 0
	require.Equal(t, 1, p.next(waiting, "g", now), "the request must not run in this group")
	require.Equal(t, 2, p.next(waiting, "h", now))
}
