package limit

import (
	"context"
	"time"
)

// Permit is the permission to run one stream in a group. It must be used by one goroutine, except for GroupNotServing,
// GroupStalled, OtherGroupUsable and Reserve, which are safe for concurrent use with all methods but Move and Adopt.
type Permit struct {
	queue      *Queue
	group      *group
	admittedAt time.Time
	// hasEvent is set once the stream has had an event in the group.
	hasEvent bool
}

// Group returns the name of the group, empty while it is unknown.
func (p *Permit) Group() string { return p.group.name }

// Release ends the stream and frees the permit.
func (p *Permit) Release() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.endStream()
	q.admitWaiting(time.Now())
}

// endStream removes the stream from its group. The caller holds the queue's lock.
func (p *Permit) endStream() {
	p.group.limiter.Release(time.Since(p.admittedAt))
	if !p.hasEvent {
		p.group.streamsWithoutEvent++
	}
}

// observeEvent records an event of the stream. The caller holds the queue's lock.
func (p *Permit) observeEvent(now time.Time) {
	p.hasEvent = true
	p.group.lastEvent, p.group.streamsWithoutEvent = now, 0
}

// Move exchanges the permit for one in another group, for a stream that its group cannot serve. It waits as Acquire
// does and fails with the same errors; the permit is then unchanged.
func (p *Permit) Move(ctx context.Context, opts AcquireOptions) error {
	reserved, err := p.Reserve(ctx, opts)
	if err != nil {
		return err
	}
	p.Adopt(reserved)
	return nil
}

// Reserve returns a permit in another group, for a stream that its group may be unable to serve and that keeps its own
// permit. It waits as Acquire does and fails with the same errors. The reserved permit must be adopted or canceled.
func (p *Permit) Reserve(ctx context.Context, opts AcquireOptions) (*Permit, error) {
	opts.isMove = true
	return p.queue.acquire(ctx, opts, p.Group())
}

// Adopt exchanges the permit for a reserved one, which must not be used any more.
func (p *Permit) Adopt(reserved *Permit) {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.endStream()
	p.group, p.admittedAt, p.hasEvent = reserved.group, reserved.admittedAt, false
	p.queue.admitWaiting(time.Now())
}

// Cancel gives back a reserved permit whose stream has not started in its group.
func (p *Permit) Cancel() {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.group.limiter.Cancel()
	p.queue.admitWaiting(time.Now())
}

// GroupNotServing reports whether the permit's group does not serve or is no longer listed.
func (p *Permit) GroupNotServing() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.group.notServing || p.group.removed
}

// OtherGroupUsable reports whether another group is usable and not stalled. allowed holds the names of the groups that
// count, nil for all.
func (p *Permit) OtherGroupUsable(allowed map[string]bool) bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	now := time.Now()
	for _, g := range p.queue.groups {
		if g != p.group && g.usable(groupFilter{allowed: allowed}) && !g.stalled(now) {
			return true
		}
	}
	return false
}

// GroupStalled reports whether the permit's group is stalled.
func (p *Permit) GroupStalled() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.group.stalled(time.Now())
}

// ObserveFirstEvent records the first event of the stream and its latency since admission.
func (p *Permit) ObserveFirstEvent(latency time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.group.limiter.ObserveFirstEvent(latency)
	p.observeEvent(now)
	q.admitWaiting(now)
}

// ObserveGap records the gap between two events of the stream and its target.
func (p *Permit) ObserveGap(gap, target time.Duration, now time.Time) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p.observeEvent(now)
	p.group.limiter.ObserveGap(gap, target, now)
	q.admitWaiting(now)
}
