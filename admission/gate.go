package admission

import (
	"context"
	"sync"
	"time"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/telemetry/invariant"
)

// Gate wraps a Queue for concurrent use. One mutex guards the queue and is held for one decision at a time.
type Gate struct {
	created time.Time

	mu    sync.Mutex
	queue *Queue
	// timer fires when the next waiting request can no longer meet its deadline.
	timer *time.Timer
	// drained is closed once the gate drains and no request waits or runs; closed is then set.
	drained chan struct{}
	closed  bool
}

// NewGate returns a Gate with an empty queue. It fails with a *ConfigError.
func NewGate(cfg Config) (*Gate, error) {
	q, err := New(cfg)
	if err != nil {
		return nil, err
	}
	return &Gate{created: time.Now(), queue: q, drained: make(chan struct{})}, nil
}

// SetSlots restarts the concurrency limit at initial and sets its maximum; both are at least 1. Running requests
// continue.
func (g *Gate) SetSlots(initial, maximum int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.limit.setSlots(initial, maximum)
	g.deliver(g.now())
}

// waiter is one call of Acquire.
type waiter struct {
	item Item
	// ready receives the single decision about a waiting item.
	ready chan Decision
}

// Permit is the permission to run one request. When the run has ended, Done or Release must be called; further calls
// have no effect. Its methods are safe for concurrent use.
type Permit struct {
	gate *Gate
	item *Item
}

// Acquire waits for a slot and returns the permit. It fails with a *KindError, a *RefusedError, or a *CanceledError if
// the context ends first. After any error the request has not run and will not run. MaxTokens is the token limit of a
// generation, or 0.
func (g *Gate) Acquire(ctx context.Context, w *peerapi.Work, maxTokens int) (*Permit, error) {
	kind, err := ParseKind(w.Kind)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, &CanceledError{ID: w.ID, Cause: ctx.Err()}
	}
	wt := &waiter{item: Item{Request: Request{
		ID: w.ID, Customer: w.Customer, Weight: w.Weight, Kind: kind, Priority: w.Priority, MaxTokens: maxTokens,
	}}}
	wt.item.Owner = wt
	d := g.offer(wt, time.Duration(w.DeadlineMs)*time.Millisecond)
	if d.Verdict == Wait {
		d, err = g.await(ctx, wt)
		if err != nil {
			return nil, err
		}
	}
	if d.Verdict == Refuse {
		return nil, &RefusedError{ID: w.ID, Decision: d}
	}
	return &Permit{gate: g, item: &wt.item}, nil
}

// offer makes the first decision. Timeout is the time until the deadline; 0 means none.
func (g *Gate) offer(wt *waiter, timeout time.Duration) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if timeout > 0 {
		wt.item.Deadline = now + timeout
	}
	d := g.queue.Offer(now, &wt.item)
	if d.Verdict == Wait {
		wt.ready = make(chan Decision, 1)
	}
	checkRefusal(&wt.item, d)
	g.deliver(now)
	return d
}

// await waits for the decision about an item in the queue.
func (g *Gate) await(ctx context.Context, wt *waiter) (Decision, error) {
	select {
	case d := <-wt.ready:
		return d, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(&wt.item) {
		// The decision was made before this goroutine took the lock.
		if d := <-wt.ready; d.Verdict == Refuse {
			return d, nil
		}
		g.queue.Release(g.now(), &wt.item)
	}
	g.deliver(g.now())
	return Decision{}, &CanceledError{ID: wt.item.ID, Cause: ctx.Err()}
}

// now returns the time since the creation of the gate, on the monotonic clock.
func (g *Gate) now() time.Duration { return time.Since(g.created) }

// deliver sends the pending decisions to their waiters. The caller holds the lock.
func (g *Gate) deliver(now time.Duration) {
	for _, o := range g.queue.Advance(now) {
		checkRefusal(o.Item, o.Decision)
		invariant.Check(!g.queue.draining || o.Verdict == Run || o.Reason == Expired, invariant.GracefulShutdown,
			"request %s dropped while draining: %s", o.Item.ID, o.Reason)
		o.Item.Owner.(*waiter).ready <- o.Decision
	}
	g.resetTimer(now)
	if g.queue.draining && !g.closed && g.queue.Idle() {
		g.closed = true
		close(g.drained)
	}
}

func checkRefusal(it *Item, d Decision) {
	if d.Verdict == Refuse {
		invariant.Check(!it.Started(), invariant.RefusalNotExecuted, "request %s refused after it started", it.ID)
		return
	}
	invariant.Check(!it.Refused(), invariant.RefusalNotExecuted, "request %s accepted after it was refused", it.ID)
}

// resetTimer sets the timer to the next time at which a waiting request expires.
func (g *Gate) resetTimer(now time.Duration) {
	at, ok := g.queue.NextDeadline()
	if !ok {
		if g.timer != nil {
			g.timer.Stop()
		}
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(at-now, g.expire)
		return
	}
	g.timer.Reset(at - now)
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.now())
}

// Drain makes the gate refuse new requests. Waiting and running requests complete; see Drained.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Drain()
	g.deliver(g.now())
}

// Drained returns a channel that is closed once Drain was called and no request waits or runs.
func (g *Gate) Drained() <-chan struct{} { return g.drained }

// Load fills in the queue's fields of a load report.
func (g *Gate) Load(l *peerapi.LoadReport) {
	g.mu.Lock()
	s := g.queue.Load(g.now())
	g.mu.Unlock()
	l.Running, l.Waiting, l.Limit = s.Running, s.Waiting, s.Limit
	l.WaitMs = s.Wait.Milliseconds()
	l.Draining = l.Draining || s.Draining
}

// Done ends a successful run and updates the predictions. Tokens is the number of generated tokens, and service the
// time that the backend server took.
func (p *Permit) Done(tokens int, service time.Duration) {
	p.end(func(now time.Duration) { p.gate.queue.Done(now, p.item, tokens, service) })
}

// Release ends a failed run. It does not update the predictions, since a failure may take much less or much more time
// than a response.
func (p *Permit) Release() {
	p.end(func(now time.Duration) { p.gate.queue.Release(now, p.item) })
}

func (p *Permit) end(finish func(now time.Duration)) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	finish(now)
	g.deliver(now)
}
