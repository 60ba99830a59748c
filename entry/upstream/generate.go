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

// maxFailedAttempts bounds the attempts of a generation that goes forward each time, so that a request which breaks engines
// does not go on for ever.
const maxFailedAttempts = 32

// generation is a generation with all its attempts.
type generation struct {
	requestState
	request *peerapi.GenerateRequest
	onEvent func(json.RawMessage) error
	// nextSeq is the sequence number of the first event that the caller does not have.
	nextSeq int64
	partial continuation
	// failures counts attempts that did not complete the answer.
	failures int
	// resuming is set while a resume at the same side process has shown no event.
	resuming bool
}

// Generate runs a generation and calls fn for each event in order; the event is valid during the call only. It
// returns nil only after the complete answer. An error of fn means that the caller has gone.
func (c *Client) Generate(
	ctx context.Context, r *peerapi.GenerateRequest, fn func(json.RawMessage) error,
) *callerapi.Error {
	target := routing.Target{Model: r.Model, Adapter: r.Adapter}
	g := &generation{
		requestState: requestState{c: c, query: routing.Query{Target: target, Prompt: r.Prompt}, revision: r.Revision},
		request:      r, onEvent: fn,
	}
	c.budget.CountRequest(time.Now())
	replica, e := g.requestState.nextReplica()
	if e != nil {
		return e
	}
	return g.run(ctx, replica)
}

// run makes attempts until one completes the answer or none may follow.
func (g *generation) run(ctx context.Context, replica *routing.Replica) *callerapi.Error {
	for {
		res := g.attempt(ctx, replica)
		if res.ok() {
			return nil
		}
		g.recordFailure(&res)
		g.failures++
		if g.failures == maxFailedAttempts || decideNextStep(ctx, &res, g.request.Idempotent) != retryElsewhere || !g.canRetry() {
			return g.finalError(ctx, &res)
		}
		g.c.counters.retried.Add(1)
		var e *callerapi.Error
		if replica, e = g.replicaForRetry(replica, &res); e != nil {
			return g.finalError(ctx, &res)
		}
	}
}

func (g *generation) attempt(ctx context.Context, replica *routing.Replica) attemptResult {
	r := *g.request
	r.Server, r.ResumeFrom, r.Generated = replica.Name, g.nextSeq, g.partial.generated(replica, g.query.Tried)
	r.DeadlineMs = remainingMs(ctx, r.DeadlineMs)
	a := &attempt{
		c: g.c, replica: replica, path: peerapi.PathGenerate, id: r.ID, request: &r, nextSeq: g.nextSeq, onEvent: g.relayEvent,
		newConnection: g.resuming || g.retriedSame,
	}
	res := a.run(ctx)
	if res.ok() {
		invariant.Check(a.nextSeq == g.nextSeq, invariant.WholeAnswer,
			"request %s ended after %d events, %d were passed on", r.ID, a.nextSeq, g.nextSeq)
	}
	return res
}

// relayEvent passes on one relayEvent of the answer.
func (g *generation) relayEvent(data []byte) error {
	if err := g.onEvent(data); err != nil {
		return err
	}
	g.nextSeq++
	g.resuming = false
	// An attempt that brought the answer forward does not count against the bound of a request that gets nowhere.
	g.attempts = 0
	g.partial.add(data)
	return nil
}

// replicaForRetry returns the replica for the next attempt. A stream that has begun is first resumed at the same side
// process, unless that is known to be gone, then at a replica of the same version whose engine continues answers. A
// stream that has not begun goes to another replica.
func (g *generation) replicaForRetry(last *routing.Replica, res *attemptResult) (*routing.Replica, *callerapi.Error) {
	if g.nextSeq == 0 {
		return g.nextOrSameReplica(last, res)
	}
	if !g.resuming && !provablyNotRun(res) && g.c.opts.Members.View().Status(last.Name).Usable() {
		g.resuming = true
		g.c.counters.resumed.Add(1)
		return last, nil
	}
	g.resuming = false
	g.query.Version = last.Version
	for range maxAttempts {
		replica, e := g.requestState.nextReplica()
		if e != nil {
			return nil, e
		}
		if replica.SupportsContinuation() && g.partial.available() {
			g.c.counters.continued.Add(1)
			return replica, nil
		}
	}
	return nil, noReplica(&routing.NoReplicaError{Target: g.query.Target, Tried: len(g.query.Tried)})
}

// finalError returns the final error. After the first event the caller holds part of an answer, which the error must
// not let look complete.
func (g *generation) finalError(ctx context.Context, res *attemptResult) *callerapi.Error {
	e := callerError(ctx, res, g.mayHaveRun)
	if ctx.Err() != nil {
		g.c.counters.abandoned.Add(1)
		return e
	}
	if g.nextSeq > 0 && e.Type != callerapi.DeadlineExceeded {
		e.Type, e.Executed = callerapi.StreamBroken, callerapi.ExecutedUnknown
	}
	return e
}
