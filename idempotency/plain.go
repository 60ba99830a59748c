package idempotency

import (
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

const (
	// plainRetention is how long the outcome of a call without token or key can be asked for. The entry asks right
	// after a connection broke, so this only has to cover the longest deadline that is usual.
	plainRetention = 10 * time.Minute
	maxPlain       = 65_536
	maxPlainBytes  = 16 << 20
)

type plainCall struct {
	running bool
	// barred says that the outcome was asked for before the call arrived, and that it was said not to have run.
	barred  bool
	outcome *peerapi.Outcome
	// began is the time of the last Begin, or that of the question for a barred call.
	began time.Time
}

// plainExpiry is an entry of the queue of calls in order of their time.
type plainExpiry struct {
	id string
	at time.Time
}

// Plain keeps the outcomes of the calls that have neither token nor key and must not be repeated, by request ID. It is
// not safe for use by several goroutines at once.
type Plain struct {
	incarnation int64
	calls       map[string]*plainCall
	queue       []plainExpiry
	bytes       int
	// forgot is the last time at which a call was removed before its retention had passed, to keep to maxPlain.
	forgot time.Time
}

// NewPlain returns the state of an incarnation.
func NewPlain(incarnation int64) *Plain {
	return &Plain{incarnation: incarnation, calls: map[string]*plainCall{}}
}

// Begin says whether a call may run. It may not when its ID is known: it has arrived twice, or its sender was told
// that it has not run. Only a call that was refused before its run may be sent again.
func (p *Plain) Begin(now time.Time, id string) bool {
	p.expire(now)
	if c := p.calls[id]; c != nil {
		if !c.refused() {
			return false
		}
		c.running, c.outcome, c.began = true, nil, now
		return true
	}
	p.add(now, id, &plainCall{running: true, began: now})
	return true
}

func (c *plainCall) refused() bool {
	return c.outcome != nil && c.outcome.Failure != nil && c.outcome.Failure.Executed == callerapi.ExecutedNo
}

func (p *Plain) add(now time.Time, id string, c *plainCall) {
	p.calls[id] = c
	p.queue = append(p.queue, plainExpiry{id, now})
}

// End notes the outcome of a call that had begun.
func (p *Plain) End(id string, o peerapi.Outcome) {
	c := p.calls[id]
	if c == nil {
		return
	}
	c.running = false
	c.outcome = trim(o, maxPlainBytes-p.bytes)
	p.bytes += bodyBytes(c.outcome)
}

// expire removes the calls whose retention has passed, and the oldest ones beyond maxPlain. A call that runs, or that
// has begun again since, is kept: once removed, it would be said not to have run.
func (p *Plain) expire(now time.Time) {
	for range len(p.queue) {
		oldest := p.queue[0]
		early := now.Sub(oldest.at) <= plainRetention
		if early && len(p.queue) < maxPlain {
			return
		}
		p.queue = p.queue[1:]
		c := p.calls[oldest.id]
		if c.running || !early && now.Sub(c.began) <= plainRetention {
			p.queue = append(p.queue, plainExpiry{oldest.id, now})
			continue
		}
		if early {
			p.forgot = now
		}
		p.bytes -= bodyBytes(c.outcome)
		delete(p.calls, oldest.id)
	}
}

// Outcome answers a question about a call. A call that has not arrived is barred and then said not to have run,
// provided that the sender knew this incarnation before it sent the call: an earlier one cannot have got it then.
func (p *Plain) Outcome(now time.Time, id string, incarnation int64) peerapi.OutcomeResponse {
	p.expire(now)
	c := p.calls[id]
	switch {
	case c == nil && p.canBar(now, incarnation):
		p.add(now, id, &plainCall{barred: true, began: now})
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedNo}
	case c == nil:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown}
	case c.barred:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedNo}
	case c.running:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown, Running: true}
	}
	return ended(c.outcome)
}

func (p *Plain) canBar(now time.Time, incarnation int64) bool {
	forgetful := !p.forgot.IsZero() && now.Sub(p.forgot) <= plainRetention
	return incarnation == p.incarnation && !forgetful
}

func ended(o *peerapi.Outcome) peerapi.OutcomeResponse {
	if o.Result == nil {
		return peerapi.OutcomeResponse{Executed: o.Failure.Executed}
	}
	return peerapi.OutcomeResponse{Executed: callerapi.ExecutedYes, Result: o.Result}
}
