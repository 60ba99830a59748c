package upstream

import (
	"context"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
)

// requestState is the state of one request over all its attempts. It is used by one goroutine.
type requestState struct {
	c     *Client
	query routing.Query
	// revision is the revision of the configuration that the request was classified with.
	revision int64
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	attempts   int
	// retriedSame is set when a replica was tried a second time because no other was left.
	retriedSame bool
}

// takeRetry takes one retry from the budget and reports whether the budget allows it.
func (c *Client) takeRetry() bool {
	if !c.budget.TryRetry(time.Now()) {
		c.counters.budgetSpent.Add(1)
		return false
	}
	return true
}

// nextReplica returns the replica for the next attempt.
func (f *requestState) nextReplica() (*routing.Replica, *callerapi.Error) {
	replica, err := f.c.pick(f.query, f.revision)
	if err != nil {
		return nil, noReplica(err)
	}
	f.query.Tried = append(f.query.Tried, replica)
	return replica, nil
}

// nextOrSameReplica returns another replica. If none is left and only the connection has failed, it returns the last
// replica again, once, because a new connection to it may work.
func (f *requestState) nextOrSameReplica(last *routing.Replica, res *attemptResult) (*routing.Replica, *callerapi.Error) {
	replica, e := f.nextReplica()
	if e != nil && res.stale && !f.retriedSame {
		f.retriedSame = true
		return last, nil
	}
	return replica, e
}

// recordFailure counts a failed attempt and records whether it may have run the request.
func (f *requestState) recordFailure(res *attemptResult) {
	f.attempts++
	if res.sent && !provablyNotRun(res) {
		f.mayHaveRun = true
	}
}

// canRetry reports whether another attempt may be made; if so, it takes one retry from the budget.
func (f *requestState) canRetry() bool { return f.attempts < maxAttempts && f.c.takeRetry() }

func (c *Client) newCallState(r *peerapi.CallRequest) *requestState {
	return &requestState{c: c, query: routing.Query{Target: routing.Target{Service: r.Service}}, revision: r.Revision}
}

// run makes attempts of a call until one succeeds or no further one is allowed.
func (f *requestState) run(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (*peerapi.CallResult, *callerapi.Error) {
	start := time.Now()
	for {
		result, res, e, again := f.tryCall(ctx, replica, r)
		if e == nil {
			if routing.MayHedge(&r.Work) {
				f.c.hedger.ObserveLatency(time.Since(start))
			}
			return result, nil
		}
		if !again || !f.canRetry() {
			return nil, e
		}
		var noReplicaErr *callerapi.Error
		if replica, noReplicaErr = f.nextOrSameReplica(replica, &res); noReplicaErr != nil {
			return nil, e
		}
		f.c.counters.retried.Add(1)
	}
}

// tryCall makes one attempt of a call; again reports that the call may be retried at another replica.
func (f *requestState) tryCall(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (result *peerapi.CallResult, res attemptResult, e *callerapi.Error, again bool) {
	incarnation := f.c.opts.Members.View().Status(replica.Name).Incarnation
	res = f.c.attemptCall(ctx, replica, r, f.retriedSame)
	if res.ok() {
		return res.result, res, nil, false
	}
	f.recordFailure(&res)
	switch decideNextStep(ctx, &res, r.Idempotent) {
	case retryElsewhere:
		return nil, res, callerError(ctx, &res, f.mayHaveRun), true
	case queryOutcome:
		result, e, again = f.resolveOutcome(ctx, replica, r, incarnation, &res)
		return result, res, e, again
	}
	if ctx.Err() != nil {
		f.c.counters.abandoned.Add(1)
	}
	return nil, res, callerError(ctx, &res, f.mayHaveRun), false
}

// resolveOutcome resolves a failed attempt of a call that must not be repeated: it asks the sidecar for the outcome.
// Calls with a token or a key are not resolved here, because their caller can repeat them safely.
func (f *requestState) resolveOutcome(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, incarnation int64, res *attemptResult,
) (*peerapi.CallResult, *callerapi.Error, bool) {
	e := callerError(ctx, res, true)
	if r.Token != "" || r.Key != "" {
		return nil, e, false
	}
	reported := f.c.pollOutcome(ctx, replica, r.ID, incarnation)
	switch {
	case reported.Result != nil:
		return reported.Result, nil, false
	case reported.Executed == callerapi.ExecutedNo:
		// The only attempt that may have run the call is proven not to have run it.
		f.mayHaveRun = false
		e.Executed = callerapi.ExecutedNo
		return nil, e, true
	case reported.Executed == callerapi.ExecutedYes:
		e.Executed = callerapi.ExecutedYes
	}
	return nil, e, false
}
