package limit

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// RefusedError reports that a request cannot be served within the time that it may wait.
type RefusedError struct {
	// Limit and InFlight are the totals over the usable groups. Ahead counts the requests that were already waiting.
	Limit, InFlight, Ahead int
	// NoGroup is set when no group is usable.
	NoGroup bool
	// ByPriority is set when the request competes with requests of other priorities.
	ByPriority bool
	// EstimatedWait is the estimated time until a permit becomes free for the request, 0 if no group is usable.
	EstimatedWait time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
}

func (e *RefusedError) Error() string {
	if e.NoGroup {
		return fmt.Sprintf("no group serves the service; %d wait", e.Ahead)
	}
	return fmt.Sprintf("%d of %d streams are in flight and %d wait; a place is free in %v",
		e.InFlight, e.Limit, e.Ahead, e.EstimatedWait)
}

// Queue admits the streams of one service to its groups of model engines, each of which has its own Limiter. A waiting
// request gets the first permit that becomes free in any group. Its methods are safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	groups  map[string]*group
	waiting []*waiter
	// precedence orders the waiting requests while there are requests of several priorities.
	precedence precedence
	// checkedAt is when the waiting requests were last checked for those that cannot be served.
	checkedAt time.Time
	// recoveryEnds is the end of the recovery after the last time at which no group served.
	recoveryEnds time.Time
}

// NewQueue returns a queue with one unnamed group, which runs the streams while the groups are unknown.
func NewQueue(now time.Time) *Queue {
	return &Queue{groups: map[string]*group{"": {limiter: New(now)}}}
}

// Acquire returns a permit and waits for it if one is predicted to become free in time. A request that would wait
// longer is refused immediately. It fails with a *RefusedError or the cause of the context's end. The permit must be
// released.
func (q *Queue) Acquire(ctx context.Context, opts AcquireOptions) (*Permit, error) {
	return q.acquire(ctx, opts, "")
}

func (q *Queue) acquire(ctx context.Context, opts AcquireOptions, excluded string) (*Permit, error) {
	now := time.Now()
	filter := groupFilter{excluded: excluded, allowed: opts.AllowedGroups}
	q.mu.Lock()
	if !opts.isMove {
		q.observeArrival(opts.Priority, now)
	}
	if g := q.leastUtilized(filter, opts.isMove, now); g != nil {
		g.admit(opts.TargetGap, opts.MaxOnTimeWait <= 0, now)
		q.mu.Unlock()
		return q.newPermit(g), nil
	}
	w := newWaiter(opts, now)
	w.filter = filter
	if err := q.refusal(w, opts, now); err != nil {
		q.mu.Unlock()
		return nil, merry.Wrap(err)
	}
	q.waiting = append(q.waiting, w)
	q.admitWaiting(now)
	q.refuseUnservable(now)
	q.mu.Unlock()
	return q.wait(ctx, w, max(opts.MaxWait, opts.MaxOnTimeWait))
}

func (q *Queue) newPermit(g *group) *Permit {
	return &Permit{queue: q, group: g, admittedAt: time.Now()}
}

// leastUtilized returns the least utilized group with a free permit that the filter permits, nil if there is none. Except
// for a stream that moves, that is no group for which a request waits.
func (q *Queue) leastUtilized(filter groupFilter, isMove bool, now time.Time) *group {
	if len(q.waiting) > 0 && !isMove && !q.hasRestricted() {
		return nil
	}
	for _, g := range q.withCapacity(now) {
		if filter.permits(g.name) && (isMove || !q.isAwaited(g.name)) {
			return g
		}
	}
	return nil
}

// withCapacity returns the groups with a free permit, the least utilized first.
func (q *Queue) withCapacity(now time.Time) []*group {
	var out []*group
	for _, g := range q.groups {
		if g.canAdmit(now) {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.name, b.name))
	})
	return out
}

// refusal returns the reason why a request must not wait, nil if it may.
func (q *Queue) refusal(w *waiter, opts AcquireOptions, now time.Time) *RefusedError {
	filter := w.filter
	err := q.refusedError(filter, len(q.waiting), 0)
	switch {
	case opts.MaxWait <= 0 && opts.MaxOnTimeWait <= 0:
		return err
	case err.NoGroup && opts.IsRetry && q.mayRecover(filter, now):
		return nil // The caller cannot retry again, and the group may recover in time.
	case err.NoGroup:
		return err
	case opts.isMove: // A stream that moves gets a permit before all new streams.
		return nil
	case q.precedence.applies(now):
		return q.refusalByPriority(w, opts, err, now)
	case opts.MaxOnTimeWait > 0 && q.estimateWait(q.countOnTime(now), filter) <= opts.MaxOnTimeWait:
		return nil
	case err.EstimatedWait <= opts.MaxWait:
		return nil
	}
	return err
}

// maxRecoveryTime is how long after a group has stopped serving retries still wait for it. Ranks that have not returned
// by then may not return at all.
const maxRecoveryTime = 8 * time.Second

// mayRecover reports whether a group that does not serve now may soon serve again.
func (q *Queue) mayRecover(filter groupFilter, now time.Time) bool {
	for _, g := range q.groups {
		if g.notServing && !g.removed && filter.permits(g.name) && now.Sub(g.notServingSince) < maxRecoveryTime {
			return true
		}
	}
	return false
}

// countOnTime counts the waiting requests that go before late ones.
func (q *Queue) countOnTime(now time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.class(now) < classLate {
			n++
		}
	}
	return n
}

// estimateWait estimates the wait of a request behind the given number of others. It returns 0 if no group is usable.
func (q *Queue) estimateWait(ahead int, filter groupFilter) time.Duration {
	rate := 0.0 // Permits per second.
	for _, g := range q.groups {
		if g.usable(filter) {
			rate += g.limiter.releaseRate()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// wait waits for the permit of a queued request, for at most maxWait.
func (q *Queue) wait(ctx context.Context, w *waiter, maxWait time.Duration) (*Permit, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-w.admitted:
		return q.permitFor(w, g)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		g := <-w.admitted
		if g != nil && ctx.Err() != nil {
			g.limiter.Cancel()
			q.admitWaiting(time.Now())
			return nil, merry.Wrap(context.Cause(ctx))
		}
		return q.permitFor(w, g)
	}
	ahead := q.remove(w)
	if ctx.Err() != nil {
		return nil, merry.Wrap(context.Cause(ctx))
	}
	err := q.refusedError(w.filter, ahead, maxWait)
	err.ByPriority = q.precedence.applies(time.Now())
	return nil, merry.Wrap(err)
}

// permitFor returns the permit of a request that waited. A nil group means that the request is refused.
func (q *Queue) permitFor(w *waiter, g *group) (*Permit, error) {
	if w.refusal != nil {
		return nil, merry.Wrap(w.refusal)
	}
	if g == nil {
		return nil, merry.Wrap(&RefusedError{NoGroup: true, Waited: time.Since(w.arrived)})
	}
	return q.newPermit(g), nil
}

// refuseWaiting refuses the waiting requests if no group is usable. Retries stay in the queue if a group may recover.
func (q *Queue) refuseWaiting() {
	if len(q.waiting) == 0 || !q.noGroupUsable() {
		return
	}
	mayRecover := q.mayRecover(groupFilter{}, time.Now())
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.isRetry && mayRecover {
			kept = append(kept, w)
			continue
		}
		w.done = true
		w.admitted <- nil
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// remove removes a request from the queue and returns its index, the number of waiting requests that arrived earlier.
func (q *Queue) remove(w *waiter) int {
	w.done = true
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return i
		}
	}
	return 0
}

func (q *Queue) refusedError(filter groupFilter, ahead int, waited time.Duration) *RefusedError {
	e := &RefusedError{Ahead: ahead, Waited: waited, NoGroup: true, EstimatedWait: q.estimateWait(ahead, filter)}
	for _, g := range q.groups {
		if g.usable(filter) {
			e.NoGroup = false
			e.Limit += g.limiter.Limit()
			e.InFlight += g.limiter.InFlight()
		}
	}
	return e
}

// admitWaiting admits waiting requests while permits are free.
func (q *Queue) admitWaiting(now time.Time) {
	for len(q.waiting) > 0 {
		if !q.admitOne(now) {
			return
		}
	}
}

// admitOne admits one waiting request and reports whether it could.
func (q *Queue) admitOne(now time.Time) bool {
	for _, g := range q.withCapacity(now) {
		i := q.nextWaiter(g.name, now)
		if i < 0 {
			continue
		}
		w := q.waiting[i]
		q.remove(w)
		q.precedence.observeAdmission(w, q.waiting, now)
		g.admit(w.targetGap, w.isLate(now), now)
		w.admitted <- g
		return true
	}
	return false
}

// nextWaiter returns the index of the request that gets the next permit in a group, -1 if there is none.
func (q *Queue) nextWaiter(group string, now time.Time) int {
	if q.precedence.applies(now) {
		return q.precedence.next(q.waiting, group, now)
	}
	return first(q.waiting, func(w *waiter) bool { return w.filter.permits(group) }, compareByTime, now)
}
