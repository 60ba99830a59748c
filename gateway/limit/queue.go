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
	queue *Queue
	group *group
	since time.Time
	// begun says that the stream has had an event in the group.
	begun bool
}

// Group returns the name of the group, empty while the group is not known.
func (p *Permit) Group() string { return p.group.name }

// Acquire takes a place, waiting if the prediction says that there will be one in time. A request that would wait longer
// is refused at once. It fails with a *FullError or the error of the context. A place taken is given back by Release.
func (q *Queue) Acquire(ctx context.Context, w AcquireOptions) (*Permit, error) {
	return q.acquire(ctx, w, "")
}

func (q *Queue) acquire(ctx context.Context, w AcquireOptions, except string) (*Permit, error) {
	now := time.Now()
	q.mu.Lock()
	if len(q.waiting) == 0 || w.moving {
		if l := q.free(except, now); l != nil {
			l.admit(w.TargetGap, now)
			q.mu.Unlock()
			return q.place(l), nil
		}
	}
	if err := q.refusal(w, except, now); err != nil {
		q.mu.Unlock()
		return nil, merry.Wrap(err)
	}
	wt := newWaiter(w, now)
	wt.except = except
	q.waiting = append(q.waiting, wt)
	q.admitWaiting(now)
	q.mu.Unlock()
	return q.wait(ctx, wt, max(w.MaxWait, w.MaxOnTimeWait))
}

func (q *Queue) place(l *group) *Permit { return &Permit{queue: q, group: l, since: time.Now()} }

// free returns the group with the largest share of its places free, nil if none has one.
func (q *Queue) free(except string, now time.Time) *group {
	for _, l := range q.withRoom(now) {
		if except == "" || l.name != except {
			return l
		}
	}
	return nil
}

// withRoom returns the groups that have a place, those with the largest share of their places free first.
func (q *Queue) withRoom(now time.Time) []*group {
	var out []*group
	for _, l := range q.groups {
		if l.admits(now) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.used(), b.used()), cmp.Compare(a.name, b.name))
	})
	return out
}

// refusal returns why a request must not wait, nil if it may.
func (q *Queue) refusal(w AcquireOptions, except string, now time.Time) *RefusedError {
	err := q.fullError(except, len(q.waiting), 0)
	switch {
	case w.MaxWait <= 0 && w.MaxOnTimeWait <= 0:
		return err
	case err.NoGroup && w.IsRetry && q.mayReopen(except, now):
		return nil // It has no further try, and the group may be back in time.
	case err.NoGroup:
		return err
	case w.moving: // It goes before all others.
		return nil
	case w.MaxOnTimeWait > 0 && q.predict(q.inTime(now), except) <= w.MaxOnTimeWait:
		return nil
	case err.EstimatedWait <= w.MaxWait:
		return nil
	}
	return err
}

// reopenTime is how long a group may be closed for callers to wait for it. Ranks that are not back by then may not come back.
const reopenTime = 8 * time.Second

// mayReopen says whether a group that is closed now may serve a request soon.
func (q *Queue) mayReopen(except string, now time.Time) bool {
	for _, l := range q.groups {
		if l.closed && !l.removed && (except == "" || l.name != except) && now.Sub(l.closedAt) < reopenTime {
			return true
		}
	}
	return false
}

// inTime counts the waiting requests that go before the late ones.
func (q *Queue) inTime(now time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.class(now) < classLate {
			n++
		}
	}
	return n
}

// predict estimates the wait of a request behind others.
func (q *Queue) predict(ahead int, except string) time.Duration {
	rate := 0.0 // Places a second.
	for _, l := range q.groups {
		if l.serves(except) {
			rate += l.limiter.rate()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

func (q *Queue) wait(ctx context.Context, w *waiter, longest time.Duration) (*Permit, error) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case l := <-w.admitted:
		return q.given(w, l)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		l := <-w.admitted
		if l != nil && ctx.Err() != nil {
			l.limiter.Cancel()
			q.admitWaiting(time.Now())
			return nil, merry.Wrap(context.Cause(ctx))
		}
		return q.given(w, l)
	}
	ahead := q.forget(w)
	if ctx.Err() != nil {
		return nil, merry.Wrap(context.Cause(ctx))
	}
	return nil, merry.Wrap(q.fullError(w.except, ahead, longest))
}

// given returns the place that a request has waited for, or its refusal when its groups were closed meanwhile and it got none.
func (q *Queue) given(w *waiter, l *group) (*Permit, error) {
	if l == nil {
		return nil, merry.Wrap(&RefusedError{NoGroup: true, Waited: time.Since(w.arrived)})
	}
	return q.place(l), nil
}

// refuseWaiting refuses the requests that wait when no group serves, but for those on their last try.
func (q *Queue) refuseWaiting() {
	if len(q.waiting) == 0 || !q.fullError("", 0, 0).NoGroup {
		return
	}
	reopens := q.mayReopen("", time.Now())
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.returned && reopens {
			kept = append(kept, w)
			continue
		}
		w.done = true
		w.admitted <- nil
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// forget takes a request out of the queue and returns its index.
func (q *Queue) forget(w *waiter) int {
	w.done = true
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return i
		}
	}
	return 0
}

func (q *Queue) fullError(except string, ahead int, waited time.Duration) *RefusedError {
	e := &RefusedError{Ahead: ahead, Waited: waited, NoGroup: true, EstimatedWait: q.predict(ahead, except)}
	for _, l := range q.groups {
		if l.serves(except) {
			e.NoGroup = false
			e.Limit += l.limiter.Limit()
			e.InFlight += l.limiter.InFlight()
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
	for _, l := range q.withRoom(now) {
		i := next(q.waiting, l.name, now)
		if i < 0 {
			continue
		}
		w := q.waiting[i]
		q.forget(w)
		l.admit(w.aim, now)
		w.admitted <- l
		return true
	}
	return false
}

// Release gives the place back.
func (p *Permit) Release() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.leave()
	q.admitWaiting(time.Now())
}

// leave takes the stream out of its group. The caller holds the queue's lock.
func (p *Permit) leave() {
	p.group.limiter.Release(time.Since(p.since))
	if !p.begun {
		p.group.withoutEvent++
	}
}

// event takes an event of the stream. The caller holds the queue's lock.
func (p *Permit) event(now time.Time) {
	p.begun = true
	p.group.heard, p.group.withoutEvent = now, 0
}

// Move gives the place up for one in another group, for a stream whose group cannot serve it. It waits as Acquire does and
// fails with the same errors; the place is then the old one.
func (p *Permit) Move(ctx context.Context, w AcquireOptions) error {
	w.moving = true
	next, err := p.queue.acquire(ctx, w, p.Group())
	if err != nil {
		return err
	}
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.leave()
	p.group, p.since, p.begun = next.group, next.since, false
	p.queue.admitWaiting(time.Now())
	return nil
}

// GroupUnavailable says whether the group of the place gets no new streams.
func (p *Permit) GroupUnavailable() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.group.closed || p.group.removed
}

// OtherGroupUsable says whether another group serves.
func (p *Permit) OtherGroupUsable() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	now := time.Now()
	for _, l := range p.queue.groups {
		if l != p.group && l.serves("") && !l.stalled(now) {
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
func (p *Permit) ObserveFirstEvent(after time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.group.limiter.ObserveFirstEvent(after)
	p.event(now)
	q.admitWaiting(now)
}

// ObserveGap takes a pause between two events of the stream and the aim for it.
func (p *Permit) ObserveGap(pause, aim time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.event(now)
	p.group.limiter.ObserveGap(pause, aim, now)
	q.admitWaiting(now)
}
