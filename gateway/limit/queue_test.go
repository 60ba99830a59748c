package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestQueue returns a queue of serving groups with initialLimit permits each.
func newTestQueue(names ...string) *Queue {
	q := NewQueue(time.Now())
	q.setGroups(names, "")
	return q
}

// setGroups lists groups that serve, except for the one named notServing unless that is empty.
func (q *Queue) setGroups(names []string, notServing string) {
	groups := make([]GroupState, len(names))
	for i, name := range names {
		groups[i] = GroupState{Name: name, Slots: 2 * initialLimit, Share: 1, NotServing: notServing != "" && name == notServing}
	}
	q.SetGroups(groups)
}

// acquireAll acquires all permits and returns them by group.
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

// waitingRequests are requests that wait for a permit. admitted lists the names of those that got one, in order.
type waitingRequests struct {
	q        *Queue
	admitted []string
	errs     map[string]error
	// permits are the permits of the admitted requests, by name.
	permits map[string]*Permit
}

func (r *waitingRequests) add(ctx context.Context, t *testing.T, name string, opts AcquireOptions) {
	t.Helper()
	if r.errs == nil {
		r.errs, r.permits = map[string]error{}, map[string]*Permit{}
	}
	go func() {
		p, err := r.q.Acquire(ctx, opts)
		r.errs[name] = err
		if err == nil {
			r.admitted, r.permits[name] = append(r.admitted, name), p
		}
	}()
	synctest.Wait()
}

// Guards against a request that waits although it cannot be served in time, as in a traffic peak above the capacity of
// the group. It must be refused immediately, with the time until a permit is free.
func TestQueueRefusesUnmeetableRequestsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		permits := q.acquireAll(t)["g"]
		start := time.Now()
		var refused *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: 50 * time.Millisecond, MaxWait: 60 * time.Millisecond})
		require.ErrorAs(t, err, &refused)
		require.Zero(t, time.Since(start), "it must not wait")
		require.Positive(t, refused.EstimatedWait)
		// A request that can wait gets the next permit.
		go func() {
			time.Sleep(100 * time.Millisecond)
			permits[0].Release()
		}()
		_, err = q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: 300 * time.Millisecond})
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
	})
}

// Guards against refusing requests that could get a complete but late response, and against late requests that get
// permits before requests that can still be on time. Both occur in a traffic peak.
func TestLateRequestsUseLeftoverPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		permits := q.acquireAll(t)["g"]
		requests := waitingRequests{q: q}
		late := AcquireOptions{MaxOnTimeWait: time.Millisecond, MaxWait: 2 * time.Second}
		requests.add(t.Context(), t, "late 1", late)
		requests.add(t.Context(), t, "late 2", late)
		time.Sleep(10 * time.Millisecond)
		requests.add(t.Context(), t, "slack", AcquireOptions{MaxOnTimeWait: 900 * time.Millisecond})
		requests.add(t.Context(), t, "retry", AcquireOptions{MaxWait: 2 * time.Second, IsRetry: true})
		requests.add(t.Context(), t, "urgent", AcquireOptions{MaxOnTimeWait: 300 * time.Millisecond})
		for _, p := range permits[:5] {
			p.Release()
			synctest.Wait()
		}
		require.Equal(t, []string{"urgent", "retry", "slack", "late 1", "late 2"}, requests.admitted)
	})
}

// Guards against a request that gets no permit and waits until its caller abandons it. It must be refused while the
// caller can still retry.
func TestLateRequestIsRefusedAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAll(t)
		start := time.Now()
		var refused *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxWait: 800 * time.Millisecond})
		require.ErrorAs(t, err, &refused)
		require.Equal(t, 800*time.Millisecond, time.Since(start))
		require.Zero(t, q.Dump().Waiting)
	})
}

// Guards against losing the permit of a caller that disconnects while it waits, and against LIFO order.
func TestQueueIsFIFOAndLosesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		permits := q.acquireAll(t)["g"]
		canceled, cancel := context.WithCancel(t.Context())
		requests := waitingRequests{q: q}
		for i, ctx := range []context.Context{t.Context(), canceled, t.Context()} {
			requests.add(ctx, t, string(rune('a'+i)), AcquireOptions{MaxOnTimeWait: time.Minute})
		}
		cancel()
		synctest.Wait()
		permits[0].Release()
		synctest.Wait()
		permits[1].Release()
		synctest.Wait()
		require.Equal(t, []string{"a", "c"}, requests.admitted)
		require.Equal(t, len(permits), q.Dump().InFlight)
		require.Zero(t, q.Dump().Waiting)
	})
}

// Guards against gaps in one group that lower the limit of another one. This occurs when one of two groups is
// overloaded.
func TestEachGroupHasItsOwnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		permits := q.acquireAll(t)
		require.Len(t, permits["g"], initialLimit)
		require.Len(t, permits["h"], initialLimit)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			permits["g"][0].ObserveGap(2*testTargetGap, testTargetGap, time.Now())
			permits["h"][0].ObserveGap(testTargetGap/3, testTargetGap, time.Now())
		}
		byGroup := map[string]GroupDump{}
		for _, d := range q.Dump().Groups {
			byGroup[d.Group] = d
		}
		require.Less(t, byGroup["g"].Limit, initialLimit)
		require.GreaterOrEqual(t, byGroup["h"].Limit, initialLimit)
	})
}

// Guards against streams in a group that does not serve while another one has free permits, and against exceeding the
// limit of the other one. This occurs when one of two groups has failed.
func TestStreamsUseServingGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		q.setGroups([]string{"g", "h"}, "g")
		permits := q.acquireAll(t)
		require.Empty(t, permits["g"])
		require.Len(t, permits["h"], initialLimit)
		requests := waitingRequests{q: q}
		requests.add(t.Context(), t, "waiting", AcquireOptions{MaxOnTimeWait: time.Second})
		q.setGroups([]string{"g", "h"}, "")
		synctest.Wait()
		require.Equal(t, []string{"waiting"}, requests.admitted, "the recovered group must get the waiting request")
		require.Equal(t, "g", requests.permits["waiting"].Group())
	})
}

// Guards against requests that wait for the only group after it has failed, and are refused in the end. They must be
// refused immediately, except for a retry: its caller cannot retry again, so it may wait for the group.
func TestRefusedImmediatelyWithoutServingGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.setGroups([]string{"g"}, "g")
		start := time.Now()
		var refused *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second})
		require.ErrorAs(t, err, &refused)
		require.True(t, refused.NoGroup)
		require.Zero(t, time.Since(start))
		requests := waitingRequests{q: q}
		requests.add(t.Context(), t, "retry", AcquireOptions{MaxWait: time.Second, IsRetry: true})
		time.Sleep(500 * time.Millisecond)
		q.setGroups([]string{"g"}, "")
		synctest.Wait()
		require.Equal(t, []string{"retry"}, requests.admitted)
		q.SetGroups(nil)
		_, err = q.Acquire(t.Context(), AcquireOptions{MaxWait: time.Second, IsRetry: true})
		require.ErrorAs(t, err, &refused, "requests must not wait for a service without servers")
	})
}

// Guards against requests that keep waiting when the last serving group fails. They must be refused immediately.
func TestWaitingRequestsAreRefusedWhenLastGroupFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.acquireAll(t)
		start := time.Now()
		requests := waitingRequests{q: q}
		requests.add(t.Context(), t, "new", AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second})
		requests.add(t.Context(), t, "retry", AcquireOptions{MaxWait: time.Second, IsRetry: true})
		q.setGroups([]string{"g"}, "g")
		synctest.Wait()
		var refused *RefusedError
		require.ErrorAs(t, requests.errs["new"], &refused)
		require.True(t, refused.NoGroup)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, q.Dump().Waiting, "a retry must stay queued")
		q.SetGroups(nil)
		synctest.Wait()
		require.ErrorAs(t, requests.errs["retry"], &refused, "no group is left")
	})
}

// Guards against new streams in a stalled group, as when a rank of one of two groups becomes unreachable. Such streams
// wait, and the group refuses them once it detects that the rank has failed.
func TestStalledGroupGetsNoNewStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		var permits, otherPermits []*Permit
		for len(permits) < minStallStreams {
			p, err := q.Acquire(t.Context(), AcquireOptions{TargetGap: testTargetGap})
			require.NoError(t, err)
			if p.Group() == "g" {
				p.ObserveFirstEvent(100*time.Millisecond, time.Now())
				permits = append(permits, p)
			} else {
				otherPermits = append(otherPermits, p)
			}
		}
		time.Sleep(time.Second)
		otherPermits[0].ObserveFirstEvent(100*time.Millisecond, time.Now())
		require.True(t, permits[0].GroupStalled())
		require.True(t, permits[0].OtherGroupUsable(nil))
		for range 5 {
			p, err := q.Acquire(t.Context(), AcquireOptions{TargetGap: testTargetGap})
			require.NoError(t, err)
			require.Equal(t, "h", p.Group())
		}
		permits[0].ObserveGap(testTargetGap, testTargetGap, time.Now())
		require.False(t, permits[0].GroupStalled())
	})
}

// Guards against a process that has just started, has had no event from a stalled group, and sends all streams there.
// This occurs when gateways restart while a group is stalled: in one run, callers abandoned all streams for 4 s.
func TestGroupStallsWithoutAnyEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		opts := AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second, TargetGap: testTargetGap}
		var permits []*Permit
		for range minStallStreams {
			p, err := q.Acquire(t.Context(), opts)
			require.NoError(t, err)
			permits = append(permits, p)
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"g"}, q.StalledGroups())
		requests := waitingRequests{q: q}
		requests.add(t.Context(), t, "waiting", opts)
		require.Empty(t, requests.admitted)
		permits[0].ObserveFirstEvent(2*time.Second, time.Now())
		synctest.Wait()
		require.Equal(t, []string{"waiting"}, requests.admitted)
		for _, p := range permits {
			p.Release()
		}
		requests.permits["waiting"].Release()
		time.Sleep(time.Hour)
		require.Empty(t, q.StalledGroups(), "a group without streams is not stalled")
		p, err := q.Acquire(t.Context(), opts)
		require.NoError(t, err)
		require.False(t, p.GroupStalled())
	})
}

// Guards against a stream that moves to another group beyond its limit, or is counted in both groups.
func TestMoveRespectsLimitOfOtherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		permits := q.acquireAll(t)
		p := permits["g"][0]
		require.Error(t, p.Move(t.Context(), AcquireOptions{}), "the other group has no free permit")
		require.Equal(t, "g", p.Group())
		permits["h"][0].Release()
		require.NoError(t, p.Move(t.Context(), AcquireOptions{}))
		require.Equal(t, "h", p.Group())
		require.Equal(t, 2*initialLimit-1, q.Dump().InFlight)
		p.Release()
		require.Equal(t, 2*initialLimit-2, q.Dump().InFlight)
	})
}

// Guards against a started stream that loses its group and waits behind new streams until its caller abandons it. This
// occurred when one of two groups failed in a traffic peak: a stream was sent to the failed group again and aborted.
func TestMovedStreamsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		permits := q.acquireAll(t)
		requests := waitingRequests{q: q}
		q.setGroups([]string{"g", "h"}, "g")
		requests.add(t.Context(), t, "new", AcquireOptions{MaxOnTimeWait: time.Second})
		moved := make(chan error, 1)
		go func() { moved <- permits["g"][0].Move(t.Context(), AcquireOptions{MaxWait: time.Second}) }()
		synctest.Wait()
		permits["h"][0].Release()
		synctest.Wait()
		require.NoError(t, <-moved)
		require.Empty(t, requests.admitted)
		permits["h"][1].Release()
		synctest.Wait()
		require.Equal(t, []string{"new"}, requests.admitted)
	})
}

// Guards against sending streams to a group that accepts them and never responds, so that callers wait and then abandon
// them, and against never using such a group again. This occurs with too few replicas for a complete group, as on 30
// and 100 machines.
func TestUnresponsiveGroupGetsOneStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		opts := AcquireOptions{MaxOnTimeWait: time.Second, MaxWait: time.Second, TargetGap: testTargetGap}
		for range unresponsiveStreams {
			p, err := q.Acquire(t.Context(), opts)
			require.NoError(t, err)
			time.Sleep(2 * time.Second)
			p.Release()
		}
		probe, err := q.Acquire(t.Context(), opts)
		require.NoError(t, err, "one probe stream must be admitted")
		start := time.Now()
		for _, isRetry := range []bool{false, true} {
			opts.IsRetry = isRetry
			var refused *RefusedError
			_, err = q.Acquire(t.Context(), opts)
			require.ErrorAs(t, err, &refused)
			require.True(t, refused.NoGroup)
			require.Zero(t, time.Since(start))
		}
		probe.ObserveFirstEvent(time.Second, time.Now())
		for range 5 {
			p, err := q.Acquire(t.Context(), opts)
			require.NoError(t, err)
			defer p.Release()
		}
	})
}

// Guards against retries that wait for a group which has not served for longer than maxRecoveryTime. On 30 machines,
// where no group was complete, their callers abandoned them without a response.
func TestRetriesDoNotWaitAfterMaxRecoveryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g")
		q.setGroups([]string{"g"}, "g")
		require.Positive(t, q.FirstEventLatency(), "the latency of a group that does not serve must be kept")
		time.Sleep(maxRecoveryTime)
		start := time.Now()
		var refused *RefusedError
		_, err := q.Acquire(t.Context(), AcquireOptions{MaxWait: time.Second, IsRetry: true})
		require.ErrorAs(t, err, &refused)
		require.True(t, refused.NoGroup)
		require.Zero(t, time.Since(start))
	})
}

// Guards against a removed group whose permits are kept forever, and against running streams that lose their permits.
func TestGroupsAreAddedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(time.Now())
		p, err := q.Acquire(t.Context(), AcquireOptions{})
		require.NoError(t, err)
		require.Empty(t, p.Group(), "the stream must run in the unnamed group")
		q.setGroups([]string{"g"}, "")
		require.True(t, p.GroupNotServing())
		require.Equal(t, 1, q.Dump().InFlight)
		p.Release()
		require.Zero(t, q.Dump().InFlight)
		next, err := q.Acquire(t.Context(), AcquireOptions{})
		require.NoError(t, err)
		require.Equal(t, "g", next.Group())
	})
}

// Guards against callers that are refused again after an outage of all groups, because the limit protects the gaps of
// streams that are late already, and against longer gaps when there was no outage. Scenario: all instances lose power,
// and the callers refused meanwhile return within seconds.
func TestLateStreamsRaiseLimitAfterOutage(t *testing.T) {
	const gap = testTargetGap * 9 / 10 // Above decreaseAbove.
	late := AcquireOptions{MaxWait: time.Second, TargetGap: testTargetGap, IsRetry: true}
	streams := map[*Queue]*Permit{} // One stream of each queue, which reports the gaps.
	observe := func(q *Queue, d time.Duration) int {
		for end := time.Now().Add(d); time.Now().Before(end); {
			for q.Dump().InFlight < q.Dump().Limit {
				p, err := q.Acquire(t.Context(), late)
				require.NoError(t, err)
				streams[q] = p
			}
			time.Sleep(10 * time.Millisecond)
			streams[q].ObserveGap(gap, testTargetGap, time.Now())
		}
		return q.Dump().Limit
	}
	synctest.Test(t, func(t *testing.T) {
		require.Less(t, observe(newTestQueue("g"), 2*time.Second), initialLimit, "there was no outage")
		q := newTestQueue("g")
		q.setGroups([]string{"g"}, "g")
		time.Sleep(2 * time.Second)
		q.setGroups([]string{"g"}, "")
		recovered := observe(q, 2*time.Second)
		require.Greater(t, recovered, initialLimit)
		require.Less(t, observe(q, recoveryTime), recovered, "the recovery has ended")
	})
}
