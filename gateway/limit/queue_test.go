package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestQueue returns a queue of groups that serve, each with initialLimit places.
func newTestQueue(names ...string) *Queue {
	q := NewQueue(time.Now())
	q.setGroups(names, "")
	return q
}

// setGroups lists groups, one of which is closed unless the name is empty.
func (q *Queue) setGroups(names []string, unavailable string) {
	groups := make([]GroupState, len(names))
	for i, name := range names {
		groups[i] = GroupState{Name: name, Slots: 2 * initialLimit, Share: 1, Unavailable: unavailable != "" && name == unavailable}
	}
	q.SetGroups(groups)
}

// acquireAll takes all places and returns them by group.
func (q *Queue) acquireAll(t *testing.T) map[string][]*Permit {
	t.Helper()
	out := map[string][]*Permit{}
	for {
		p, err := q.Acquire(t.Context(), AcquireOptions{})
		if err != nil {
			return out
		}
		out[p.Group()] = append(out[p.Group()], p)
	}
}

// waitingRequests are requests that wait for a place; got lists the names of those that have one in order.
type waitingRequests struct {
	q        *Queue
	admitted []string
	errs     map[string]error
	// permits are those that were taken.
	permits map[string]*Permit
}

func (a *waitingRequests) add(ctx context.Context, t *testing.T, name string, opts AcquireOptions) {
	t.Helper()
	if a.errs == nil {
		a.errs, a.permits = map[string]error{}, map[string]*Permit{}
	}
	go func() {
		p, err := a.q.Acquire(ctx, opts)
		a.errs[name] = err
		if err == nil {
			a.admitted, a.permits[name] = append(a.admitted, name), p
		}
	}()
	synctest.Wait()
}

// Guards against a request that waits although it cannot be served in its time: it is refused at once, and says when a place
// is free. Pattern: the crest, when more come than the group can serve.
func TestQueueRefusesUnmeetableRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		places := q.acquireAll(t)["g"]
		start := time.Now()
		var full *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: 50 * time.Millisecond, MaxWait: 60 * time.Millisecond})
		require.ErrorAs(t, err, &full)
		require.Zero(t, time.Since(start), "it does not wait")
		require.Positive(t, full.EstimatedWait)
		// One that can wait gets the next place.
		go func() {
			time.Sleep(100 * time.Millisecond)
			places[0].Release()
		}()
		_, err = q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: 300 * time.Millisecond})
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
	})
}

// Guards against callers that are refused although they could be served late but whole, and against late ones that take the
// places of those that can still be in time. Pattern: the crest.
func TestLateRequestsUseLeftoverPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		places := q.acquireAll(t)["g"]
		a := waitingRequests{q: q}
		late := AcquireOptions{MaxOnTimeWait: time.Millisecond, MaxWait: 2 * time.Second}
		a.add(t.Context(), t, "late 1", late)
		a.add(t.Context(), t, "late 2", late)
		time.Sleep(10 * time.Millisecond)
		a.add(t.Context(), t, "slack", AcquireOptions{MaxOnTimeWait: 900 * time.Millisecond})
		a.add(t.Context(), t, "back", AcquireOptions{MaxWait: 2 * time.Second, IsRetry: true})
		a.add(t.Context(), t, "urgent", AcquireOptions{MaxOnTimeWait: 300 * time.Millisecond})
		for _, p := range places[:5] {
			p.Release()
			synctest.Wait()
		}
		require.Equal(t, []string{"urgent", "back", "slack", "late 1", "late 2"}, a.admitted)
	})
}

// Guards against a request that waits in vain until its caller has left: it is refused while the caller can still come back.
func TestLateRequestIsRefusedAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAll(t)
		start := time.Now()
		var full *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxWait: 800 * time.Millisecond})
		require.ErrorAs(t, err, &full)
		require.Equal(t, 800*time.Millisecond, time.Since(start))
		require.Zero(t, q.Dump().Waiting)
	})
}

// Guards against places that are lost when a caller leaves while it waits, and against serving the last one first.
func TestQueueIsFIFOAndLosesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		places := q.acquireAll(t)["g"]
		leaver, leave := context.WithCancel(t.Context())
		a := waitingRequests{q: q}
		for i, ctx := range []context.Context{t.Context(), leaver, t.Context()} {
			a.add(ctx, t, string(rune('a'+i)), AcquireOptions{MaxOnTimeWait: time.Minute})
		}
		leave()
		synctest.Wait()
		places[0].Release()
		synctest.Wait()
		places[1].Release()
		synctest.Wait()
		require.Equal(t, []string{"a", "c"}, a.admitted)
		require.Equal(t, len(places), q.Dump().InFlight)
		require.Zero(t, q.Dump().Waiting)
	})
}

// Guards against the pauses of one group that lower the limit of another one. Pattern: two groups, one of them crowded.
func TestEachGroupHasItsOwnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		places := q.acquireAll(t)
		require.Len(t, places["g"], initialLimit)
		require.Len(t, places["h"], initialLimit)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			places["g"][0].ObserveGap(2*testTargetGap, testTargetGap, time.Now())
			places["h"][0].ObserveGap(testTargetGap/3, testTargetGap, time.Now())
		}
		byGroup := map[string]GroupDump{}
		for _, d := range q.Dump().Groups {
			byGroup[d.Group] = d
		}
		require.Less(t, byGroup["g"].Limit, initialLimit)
		require.GreaterOrEqual(t, byGroup["h"].Limit, initialLimit)
	})
}

// Guards against work for a group that serves nothing while another one has room, and against what comes beyond the limit of
// that one. Pattern: one group of two lost.
func TestStreamsUseAvailableGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		q.setGroups([]string{"g", "h"}, "g")
		places := q.acquireAll(t)
		require.Empty(t, places["g"])
		require.Len(t, places["h"], initialLimit)
		a := waitingRequests{q: q}
		a.add(t.Context(), t, "waits", AcquireOptions{MaxOnTimeWait: time.Second})
		q.setGroups([]string{"g", "h"}, "")
		synctest.Wait()
		require.Equal(t, []string{"waits"}, a.admitted, "the group that is back takes what waits")
		require.Equal(t, "g", a.permits["waits"].Group())
	})
}

// Guards against callers that wait for a group that serves nothing and are refused in the end: they are told at once. One that
// has come back has no further try and may wait. Pattern: the only group lost.
func TestRefusedAtOnceWithoutAvailableGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.setGroups([]string{"g"}, "g")
		start := time.Now()
		var full *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second})
		require.ErrorAs(t, err, &full)
		require.True(t, full.NoGroup)
		require.Zero(t, time.Since(start))
		a := waitingRequests{q: q}
		a.add(t.Context(), t, "back", AcquireOptions{MaxWait: time.Second, IsRetry: true})
		time.Sleep(500 * time.Millisecond)
		q.setGroups([]string{"g"}, "")
		synctest.Wait()
		require.Equal(t, []string{"back"}, a.admitted)
		q.SetGroups(nil)
		_, err = q.Acquire(t.Context(), AcquireOptions{MaxWait: time.Second, IsRetry: true})
		require.ErrorAs(t, err, &full, "a service without servers is not waited for")
	})
}

// Guards against callers that go on waiting when the last group has stopped to serve: they are told at once. Pattern: the only
// group lost while callers wait.
func TestWaitingRequestsAreRefusedWhenLastGroupFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAll(t)
		start := time.Now()
		a := waitingRequests{q: q}
		a.add(t.Context(), t, "new", AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second})
		a.add(t.Context(), t, "back", AcquireOptions{MaxWait: time.Second, IsRetry: true})
		q.setGroups([]string{"g"}, "g")
		synctest.Wait()
		var full *RefusedError
		require.ErrorAs(t, a.errs["new"], &full)
		require.True(t, full.NoGroup)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, q.Dump().Waiting, "the other one has no further try")
		q.SetGroups(nil)
		synctest.Wait()
		require.ErrorAs(t, a.errs["back"], &full, "nothing is left to wait for")
	})
}

// Guards against streams that are sent to a group which stands still: they would be refused there once a rank is known to have
// gone. Pattern: a rank of one of two groups goes dark.
func TestStalledGroupGetsNoNewStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		var places, others []*Permit
		for len(places) < minStallStreams {
			p, err := q.Acquire(t.Context(), AcquireOptions{TargetGap: testTargetGap})
			require.NoError(t, err)
			if p.Group() == "g" {
				p.ObserveFirstEvent(100*time.Millisecond, time.Now())
				places = append(places, p)
			} else {
				others = append(others, p)
			}
		}
		time.Sleep(time.Second)
		others[0].ObserveFirstEvent(100*time.Millisecond, time.Now())
		require.True(t, places[0].GroupStalled())
		require.True(t, places[0].OtherGroupUsable())
		for range 5 {
			p, err := q.Acquire(t.Context(), AcquireOptions{TargetGap: testTargetGap})
			require.NoError(t, err)
			require.Equal(t, "h", p.Group())
		}
		places[0].ObserveGap(testTargetGap, testTargetGap, time.Now())
		require.False(t, places[0].GroupStalled())
	})
}

// Guards against a process that has just started, has no stream with an event in the group, and sends everything into one that
// stands still (large trouble-2: all callers left for four seconds). Pattern: a group held while gateways are restarted.
func TestGroupStallsWithoutAnyEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		w := AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second, TargetGap: testTargetGap}
		var places []*Permit
		for range minStallStreams {
			p, err := q.Acquire(t.Context(), w)
			require.NoError(t, err)
			places = append(places, p)
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"g"}, q.StalledGroups())
		a := waitingRequests{q: q}
		a.add(t.Context(), t, "waits", w)
		require.Empty(t, a.admitted)
		places[0].ObserveFirstEvent(2*time.Second, time.Now())
		synctest.Wait()
		require.Equal(t, []string{"waits"}, a.admitted)
		for _, p := range places {
			p.Release()
		}
		a.permits["waits"].Release()
		time.Sleep(time.Hour)
		require.Empty(t, q.StalledGroups(), "a group without streams is idle")
		p, err := q.Acquire(t.Context(), w)
		require.NoError(t, err)
		require.False(t, p.GroupStalled())
	})
}

// Guards against a stream that goes on in another group beyond its limit, or that counts in both.
func TestMoveRespectsLimitOfOtherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		places := q.acquireAll(t)
		p := places["g"][0]
		require.Error(t, p.Move(t.Context(), AcquireOptions{}), "the other group is full")
		require.Equal(t, "g", p.Group())
		places["h"][0].Release()
		require.NoError(t, p.Move(t.Context(), AcquireOptions{}))
		require.Equal(t, "h", p.Group())
		require.Equal(t, 2*initialLimit-1, q.Dump().InFlight)
		p.Release()
		require.Equal(t, 2*initialLimit-2, q.Dump().InFlight)
	})
}

// Guards against a stream that has begun and loses its group, and then waits behind new ones until its caller gives it up
// (rank-dark of deploy/days: it was sent to the lost group once more and broken off). Pattern: one of two groups lost in a crest.
func TestMovedStreamsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		places := q.acquireAll(t)
		a := waitingRequests{q: q}
		q.setGroups([]string{"g", "h"}, "g")
		a.add(t.Context(), t, "new", AcquireOptions{MaxOnTimeWait: time.Second})
		moved := make(chan error, 1)
		go func() { moved <- places["g"][0].Move(t.Context(), AcquireOptions{MaxWait: time.Second}) }()
		synctest.Wait()
		places["h"][0].Release()
		synctest.Wait()
		require.NoError(t, <-moved)
		require.Empty(t, a.admitted)
		places["h"][1].Release()
		synctest.Wait()
		require.Equal(t, []string{"new"}, a.admitted)
	})
}

// Guards against callers that are held until they leave by servers which take streams and never answer them, and against a group
// that is given up for good. Pattern: replicas that are too few for a whole group (sweep at 30 and 100 machines).
func TestUnresponsiveGroupGetsOneStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		w := AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second, TargetGap: testTargetGap}
		for range unresponsiveStreams {
			p, err := q.Acquire(t.Context(), w)
			require.NoError(t, err)
			time.Sleep(2 * time.Second)
			p.Release()
		}
		probe, err := q.Acquire(t.Context(), w)
		require.NoError(t, err, "one stream shows whether the group serves again")
		start := time.Now()
		for _, returned := range []bool{false, true} {
			w.IsRetry = returned
			var full *RefusedError
			_, err = q.Acquire(t.Context(), w)
			require.ErrorAs(t, err, &full)
			require.True(t, full.NoGroup)
			require.Zero(t, time.Since(start))
		}
		probe.ObserveFirstEvent(time.Second, time.Now())
		for range 5 {
			p, err := q.Acquire(t.Context(), w)
			require.NoError(t, err)
			defer p.Release()
		}
	})
}

// Guards against callers on their last try that wait, until they leave, for a group which has not served for long. (In a sweep at
// 30 machines, where no group is whole, they waited for as long as callers do and got no answer.)
func TestRetriesDoNotWaitForLongUnavailableGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.setGroups([]string{"g"}, "g")
		require.Positive(t, q.FirstEventLatency(), "the time to a first event is not forgotten")
		time.Sleep(maxRecoveryTime)
		start := time.Now()
		var full *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxWait: time.Second, IsRetry: true})
		require.ErrorAs(t, err, &full)
		require.True(t, full.NoGroup)
		require.Zero(t, time.Since(start))
	})
}

// Guards against places that are kept for ever in a group that has gone, and against streams that lose theirs.
func TestGroupsAreAddedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(time.Now())
		p, err := q.Acquire(t.Context(), AcquireOptions{})
		require.NoError(t, err)
		require.Empty(t, p.Group(), "no group is known yet")
		q.setGroups([]string{"g"}, "")
		require.True(t, p.GroupUnavailable())
		require.Equal(t, 1, q.Dump().InFlight)
		p.Release()
		require.Zero(t, q.Dump().InFlight)
		next, err := q.Acquire(t.Context(), AcquireOptions{})
		require.NoError(t, err)
		require.Equal(t, "g", next.Group())
	})
}
