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

// RefusedError says that a request cannot be served in the time that it may wait.
type RefusedError struct {
	// Limit and InFlight are those of all groups that serve, Ahead counts the requests that waited before this one.
	Limit, InFlight, Ahead int
	// NoGroup says that no group serves.
	NoGroup bool
	// EstimatedWait is the estimated time until a place is free.
	EstimatedWait time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
}

func (e *RefusedError) Error() string {
	if e.NoGroup {
		return fmt.Sprintf("no group serves the service; %d wait", e.Ahead)
	}
	return fmt.Sprintf("%d of %d streams are in flight and %d wait; a place is free in %v",
		e.InFlight, e.Limit, e.Ahead, e.EstimatedWait)
}

// Queue admits the streams of one service to its groups of model engines, each within a Limiter of its own. Requests that
// wait go to whichever group has a place first. Its methods may be called from any goroutine.
type Queue struct {
	mu      sync.Mutex
	groups  map[string]*group
	waiting []*waiter
}

// NewQueue returns a queue with one group that has no name, in which streams run until the groups are known.
func NewQueue(now time.Time) *Queue {
	return &Queue{groups: map[string]*group{"": {limiter: New(now)}}}
}

// Permit is a place of a stream in a group. It is used by one goroutine; Closed, Stalled and Others may be called from any.
type Permit struct {
	queue      *Queue
	group      *group
	admittedAt time.Time
	// hasEvent says that the stream has had an event in the group.
	hasEvent bool
}

// Group returns the name of the group, empty while the group is not known.
func (p *Permit) Group() string { return p.group.name }

// Acquire takes a place, waiting if the prediction says that there will be one in time. A request that would wait longer
// is refused at once. It fails with a *FullError or the error of the context. A place taken is given back by Release.
func (q *Queue) Acquire(ctx context.Context, opts AcquireOptions) (*Permit, error) {
	return q.acquire(ctx, opts, "")
}

func (q *Queue) acquire(ctx context.Context, opts AcquireOptions, excluded string) (*Permit, error) {
	now := time.Now()
	q.mu.Lock()
	if len(q.waiting) == 0 || opts.isMove {
		if g := q.leastUtilized(excluded, now); g != nil {
			g.admit(opts.TargetGap, now)
			q.mu.Unlock()
			return q.newPermit(g), nil
		}
	}
	if err := q.refusal(opts, excluded, now); err != nil {
		q.mu.Unlock()
		return nil, merry.Wrap(err)
	}
	w := newWaiter(opts, now)
	w.excluded = excluded
	q.waiting = append(q.waiting, w)
	q.admitWaiting(now)
	q.mu.Unlock()
	return q.wait(ctx, w, max(opts.MaxWait, opts.MaxOnTimeWait))
}

func (q *Queue) newPermit(g *group) *Permit {
	return &Permit{queue: q, group: g, admittedAt: time.Now()}
}

// leastUtilized returns the group with the largest share of its places leastUtilized, nil if none has one.
func (q *Queue) leastUtilized(excluded string, now time.Time) *group {
	for _, g := range q.withCapacity(now) {
		if excluded == "" || g.name != excluded {
			return g
		}
	}
	return nil
}

// withCapacity returns the groups that have a place, those with the largest share of their places free first.
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

// refusal returns why a request must not wait, nil if it may.
func (q *Queue) refusal(opts AcquireOptions, excluded string, now time.Time) *RefusedError {
	err := q.refusedError(excluded, len(q.waiting), 0)
	switch {
	case opts.MaxWait <= 0 && opts.MaxOnTimeWait <= 0:
		return err
	case err.NoGroup && opts.IsRetry && q.mayRecover(excluded, now):
		return nil // It has no further try, and the group may be back in time.
	case err.NoGroup:
		return err
	case opts.isMove: // It goes before all others.
		return nil
	case opts.MaxOnTimeWait > 0 && q.estimateWait(q.countOnTime(now), excluded) <= opts.MaxOnTimeWait:
		return nil
	case err.EstimatedWait <= opts.MaxWait:
		return nil
	}
	return err
}

// maxRecoveryTime is how long a group may be closed for callers to wait for it. Ranks that are not back by then may not come back.
const maxRecoveryTime = 8 * time.Second

// mayRecover says whether a group that is closed now may serve a request soon.
func (q *Queue) mayRecover(excluded string, now time.Time) bool {
	for _, g := range q.groups {
		if g.unavailable && !g.removed && (excluded == "" || g.name != excluded) && now.Sub(g.unavailableSince) < maxRecoveryTime {
			return true
		}
	}
	return false
}

// countOnTime counts the waiting requests that go before the late ones.
func (q *Queue) countOnTime(now time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.class(now) < classLate {
			n++
		}
	}
	return n
}

// estimateWait estimates the wait of a request behind others.
func (q *Queue) estimateWait(ahead int, excluded string) time.Duration {
	rate := 0.0 // Places a second.
	for _, g := range q.groups {
		if g.usable(excluded) {
			rate += g.limiter.releaseRate()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

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
	return nil, merry.Wrap(q.refusedError(w.excluded, ahead, maxWait))
}

// permitFor returns the place that a request has waited for, or its refusal when its groups were closed meanwhile and it got none.
func (q *Queue) permitFor(w *waiter, g *group) (*Permit, error) {
	if g == nil {
		return nil, merry.Wrap(&RefusedError{NoGroup: true, Waited: time.Since(w.arrived)})
	}
	return q.newPermit(g), nil
}

// refuseWaiting refuses the requests that wait when no group serves, but for those on their last try.
func (q *Queue) refuseWaiting() {
	if len(q.waiting) == 0 || !q.refusedError("", 0, 0).NoGroup {
		return
	}
	mayRecover := q.mayRecover("", time.Now())
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

// remove takes a request out of the queue and returns its index.
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

func (q *Queue) refusedError(excluded string, ahead int, waited time.Duration) *RefusedError {
	e := &RefusedError{Ahead: ahead, Waited: waited, NoGroup: true, EstimatedWait: q.estimateWait(ahead, excluded)}
	for _, g := range q.groups {
		if g.usable(excluded) {
			e.NoGroup = false
			e.Limit += g.limiter.Limit()
			e.InFlight += g.limiter.InFlight()
		}
	}
	return e
}

// admitWaiting gives free places to those that wait.
func (q *Queue) admitWaiting(now time.Time) {
	for len(q.waiting) > 0 {
		if !q.admitOne(now) {
			return
		}
	}
}

// admitOne gives one free place to a request, and says whether it could.
func (q *Queue) admitOne(now time.Time) bool {
	for _, g := range q.withCapacity(now) {
		i := nextWaiter(q.waiting, g.name, now)
		if i < 0 {
			continue
		}
		w := q.waiting[i]
		q.remove(w)
		g.admit(w.targetGap, now)
		w.admitted <- g
		return true
	}
	return false
}

// Release gives the place back.
func (p *Permit) Release() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.endStream()
	q.admitWaiting(time.Now())
}

// endStream takes the stream out of its group. The caller holds the queue's lock.
func (p *Permit) endStream() {
	p.group.limiter.Release(time.Since(p.admittedAt))
	if !p.hasEvent {
		p.group.streamsWithoutEvent++
	}
}

// observeEvent takes an observeEvent of the stream. The caller holds the queue's lock.
func (p *Permit) observeEvent(now time.Time) {
	p.hasEvent = true
	p.group.lastEvent, p.group.streamsWithoutEvent = now, 0
}

// Move gives the place up for one in another group, for a stream whose group cannot serve it. It waits as Acquire does and
// fails with the same errors; the place is then the old one.
func (p *Permit) Move(ctx context.Context, opts AcquireOptions) error {
	opts.isMove = true
	moved, err := p.queue.acquire(ctx, opts, p.Group())
	if err != nil {
		return err
	}
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.endStream()
	p.group, p.admittedAt, p.hasEvent = moved.group, moved.admittedAt, false
	p.queue.admitWaiting(time.Now())
	return nil
}

// GroupUnavailable says whether the group of the place gets no new streams.
func (p *Permit) GroupUnavailable() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.group.unavailable || p.group.removed
}

// OtherGroupUsable says whether another group serves.
func (p *Permit) OtherGroupUsable() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	now := time.Now()
	for _, g := range p.queue.groups {
		if g != p.group && g.usable("") && !g.stalled(now) {
			return true
		}
	}
	return false
}

// GroupStalled says that all streams of the group stand still.
func (p *Permit) GroupStalled() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.group.stalled(time.Now())
}

// ObserveFirstEvent takes the first event of the stream, after a time from its admission.
func (p *Permit) ObserveFirstEvent(latency time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.group.limiter.ObserveFirstEvent(latency)
	p.observeEvent(now)
	q.admitWaiting(now)
}

// ObserveGap takes a pause between two events of the stream and the aim for it.
func (p *Permit) ObserveGap(gap, target time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.observeEvent(now)
	p.group.limiter.ObserveGap(gap, target, now)
	q.admitWaiting(now)
}
