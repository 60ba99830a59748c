package upstream

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
	"lavendermoor.example/telemetry/invariant"
)

// maxFailedAttempts bounds the failed attempts of a generation, even if each of them made progress. Otherwise a request
// that crashes engines would be retried forever.
const maxFailedAttempts = 32

// generation is the state of a generation over all its attempts.
type generation struct {
	requestState
	request *peerapi.GenerateRequest
	onEvent func(json.RawMessage) error
	// mu guards the fields below and consecutiveFailures while an attempt runs.
	mu sync.Mutex
	// nextSeq is the sequence number of the first event that the caller has not received.
	nextSeq int64
	// lastEventID is the engine's ID of the last event that the caller has received, empty if it gave none.
	lastEventID  string
	continuation continuation
	// totalFailures counts all attempts that did not complete the response.
	totalFailures int
	// resuming is set while a stream that was resumed at the same sidecar has not returned an event yet.
	resuming bool
}

// Generate runs a generation and calls fn for each event in order; the event is valid until fn returns. Generate
// returns nil only after a complete response. An error returned by fn means that the caller has disconnected.
func (c *Client) Generate(
	ctx context.Context, r *peerapi.GenerateRequest, fn func(json.RawMessage) error,
) *callerapi.Error {
	target := routing.Target{Model: r.Model, Adapter: r.Adapter}
	g := &generation{
		requestState: requestState{c: c, query: routing.Query{Target: target, Prompt: r.Prompt}, revision: r.Revision},
		request:      r, onEvent: fn,
	}
	c.budget.CountRequest(time.Now())
	replica, e := g.nextReplica()
	if e != nil {
		return e
	}
	return g.run(ctx, replica)
}

// run makes attempts until one completes the response or no further one is allowed.
func (g *generation) run(ctx context.Context, replica *routing.Replica) *callerapi.Error {
	for {
		res := g.attempt(ctx, replica)
		if res.ok() {
			return nil
		}
		g.recordFailure(&res)
		g.totalFailures++
		if g.totalFailures == maxFailedAttempts || decideNextStep(ctx, &res, g.request.Idempotent) != retryElsewhere || !g.canRetry() {
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
	r.Server, r.ResumeFrom, r.Generated = replica.Name, g.nextSeq, g.continuation.generated(replica, g.query.Tried)
	r.LastEventID, r.DeadlineMs = g.lastEventID, remainingMs(ctx, r.DeadlineMs)
	a := &attempt{
		c: g.c, replica: replica, path: peerapi.PathGenerate, id: r.ID, request: &r, nextSeq: g.nextSeq,
		lastEventID: g.lastEventID, onEvent: g.relayEvent, newConnection: g.resuming || g.retriedSame,
		reserveRetry: func() bool { return g.reserveRetryAfter(replica) },
	}
	res := a.run(ctx)
	g.lastEventID = a.lastEventID
	if res.ok() {
		invariant.Check(a.nextSeq == g.nextSeq, invariant.CompleteResponse,
			"request %s ended after %d events, but %d were relayed", r.ID, a.nextSeq, g.nextSeq)
	}
	return res
}

// relayEvent relays one event of the response.
func (g *generation) relayEvent(data []byte) error {
	if err := g.onEvent(data); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextSeq++
	g.resuming = false
	// Attempts that failed before this event no longer count towards maxAttempts.
	g.consecutiveFailures = 0
	g.continuation.add(data)
	return nil
}

// replicaForRetry returns the replica for the next attempt. A stream that has started is first resumed at the same
// sidecar, unless the failed attempt provably did not run the request or the server is not usable. After that, it is
// continued at a replica of the same version whose engine supports continuation. A stream that has not started goes to
// another replica.
func (g *generation) replicaForRetry(last *routing.Replica, res *attemptResult) (*routing.Replica, *callerapi.Error) {
	if g.nextSeq == 0 {
		return g.nextOrSameReplica(last, res)
	}
	if !provablyNotRun(res) && g.canResumeAt(last) {
		g.resuming = true
		g.c.counters.resumed.Add(1)
		return last, nil
	}
	g.resuming = false
	replica, e := g.nextContinuing(last.Version, g.continuation.available())
	if e == nil {
		g.c.counters.continued.Add(1)
	}
	return replica, e
}

// canResumeAt reports whether a stream that has started may be resumed at the sidecar that ran it last.
func (g *generation) canResumeAt(last *routing.Replica) bool {
	return !g.resuming && g.c.opts.Members.View().Status(last.Name).Usable()
}

// reserveRetryAfter is attempt.reserveRetry for an attempt at a replica. Without a place at which the response can go
// on, the attempt is kept, because its sidecar may be alive.
func (g *generation) reserveRetryAfter(replica *routing.Replica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	mayRetry := g.request.Idempotent && g.consecutiveFailures+1 < maxAttempts
	return mayRetry && g.canContinueAfter(replica) && g.reserveRetry()
}

// canContinueAfter reports whether replicaForRetry would return a replica after a silent exchange with this one.
func (g *generation) canContinueAfter(replica *routing.Replica) bool {
	if g.nextSeq == 0 {
		return g.hasNextOrSame()
	}
	if g.canResumeAt(replica) {
		return true
	}
	_, e := g.clone().nextContinuing(replica.Version, g.continuation.available())
	return e == nil
}

// finalError returns the error for the caller. After the first event the caller holds a partial response, so the error
// becomes StreamBroken, unless the deadline has passed.
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
