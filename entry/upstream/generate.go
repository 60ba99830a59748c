package upstream

import (
	"context"
	"encoding/json"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
	"lavendermoor.example/telemetry/invariant"
)

// maxBreaks bounds the attempts of a generation that goes forward each time, so that a request which breaks engines
// does not go on for ever.
const maxBreaks = 32

// generation is a generation with all its attempts.
type generation struct {
	flight
	request *peerapi.GenerateRequest
	fn      func(json.RawMessage) error
	// next is the sequence number of the first event that the caller does not have.
	next int64
	text continuation
	// breaks counts attempts that did not complete the answer.
	breaks int
	// resumed is set while a resume at the same side process has shown no event.
	resumed bool
}

// Generate runs a generation and calls fn for each event in order; the event is valid during the call only. It
// returns nil only after the complete answer. An error of fn means that the caller has gone.
func (c *Client) Generate(
	ctx context.Context, r *peerapi.GenerateRequest, fn func(json.RawMessage) error,
) *callerapi.Error {
	target := routing.Target{Model: r.Model, Adapter: r.Adapter}
	g := &generation{
		flight:  flight{c: c, query: routing.Query{Target: target, Prompt: r.Prompt}, revision: r.Revision},
		request: r, fn: fn,
	}
	c.budget.CountRequest(time.Now())
	replica, e := g.flight.next()
	if e != nil {
		return e
	}
	return g.run(ctx, replica)
}

// run makes attempts until one completes the answer or none may follow.
func (g *generation) run(ctx context.Context, replica *routing.Replica) *callerapi.Error {
	for {
		o := g.attempt(ctx, replica)
		if o.ok() {
			return nil
		}
		g.note(&o)
		g.breaks++
		if g.breaks == maxBreaks || judge(ctx, &o, g.request.Idempotent) != elsewhere || !g.again() {
			return g.fail(ctx, &o)
		}
		g.c.counts.retried.Add(1)
		var e *callerapi.Error
		if replica, e = g.following(replica, &o); e != nil {
			return g.fail(ctx, &o)
		}
	}
}

func (g *generation) attempt(ctx context.Context, replica *routing.Replica) outcome {
	r := *g.request
	r.Server, r.ResumeFrom, r.Generated = replica.Name, g.next, g.text.generated(replica, g.query.Tried)
	r.DeadlineMs = left(ctx, r.DeadlineMs)
	a := &attempt{
		c: g.c, replica: replica, path: peerapi.PathGenerate, id: r.ID, body: &r, next: g.next, event: g.event,
		fresh: g.resumed || g.sameAgain,
	}
	o := a.run(ctx)
	if o.ok() {
		invariant.Check(a.next == g.next, invariant.WholeAnswer,
			"request %s ended after %d events, %d were passed on", r.ID, a.next, g.next)
	}
	return o
}

// event passes on one event of the answer.
func (g *generation) event(data []byte) error {
	if err := g.fn(data); err != nil {
		return err
	}
	g.next++
	g.resumed = false
	// An attempt that brought the answer forward does not count against the bound of a request that gets nowhere.
	g.attempts = 0
	g.text.add(data)
	return nil
}

// following returns the replica for the next attempt. A stream that has begun is first resumed at the same side
// process, unless that is known to be gone, then at a replica of the same version whose engine continues answers. A
// stream that has not begun goes to another replica.
func (g *generation) following(last *routing.Replica, o *outcome) (*routing.Replica, *callerapi.Error) {
	if g.next == 0 {
		return g.nextOrSame(last, o)
	}
	if !g.resumed && !refusedUnrun(o) && g.c.opts.Members.View().Of(last.Name).Usable() {
		g.resumed = true
		g.c.counts.resumed.Add(1)
		return last, nil
	}
	g.resumed = false
	g.query.Version = last.Version
	for range maxAttempts {
		replica, e := g.flight.next()
		if e != nil {
			return nil, e
		}
		if replica.SupportsContinuation() && g.text.whole() {
			g.c.counts.continued.Add(1)
			return replica, nil
		}
	}
	return nil, noReplica(&routing.NoReplicaError{Target: g.query.Target, Tried: len(g.query.Tried)})
}

// fail returns the final error. After the first event the caller holds part of an answer, which the error must
// not let look complete.
func (g *generation) fail(ctx context.Context, o *outcome) *callerapi.Error {
	e := errorOf(ctx, o, g.mayHaveRun)
	if ctx.Err() != nil {
		g.c.counts.abandoned.Add(1)
		return e
	}
	if g.next > 0 && e.Type != callerapi.DeadlineExceeded {
		e.Type, e.Executed = callerapi.StreamBroken, callerapi.ExecutedUnknown
	}
	return e
}
