package upstream

import (
	"context"
	"slices"
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
	// consecutiveFailures counts the failed attempts since the last event.
	consecutiveFailures int
	// retriedSame is set once a replica has been tried a second time because no other was left.
	retriedSame bool
	// retryReserved is set while a retry is taken from the budget for the next attempt.
	retryReserved bool
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
func (s *requestState) nextReplica() (*routing.Replica, *callerapi.Error) {
	replica, err := s.c.pick(s.query, s.revision)
	if err != nil {
		return nil, noReplica(err)
	}
	s.query.Tried = append(s.query.Tried, replica)
	return replica, nil
}

// nextOrSameReplica returns another replica. If none is left and only the connection has failed, it returns the last
// replica again, once, because a new connection to it may work.
func (s *requestState) nextOrSameReplica(last *routing.Replica, res *attemptResult) (*routing.Replica, *callerapi.Error) {
	replica, e := s.nextReplica()
	if e != nil && res.staleConnection && !s.retriedSame {
		s.retriedSame = true
		return last, nil
	}
	return replica, e
}

// nextContinuing returns the next replica of a version whose engine supports continuation. There is none if the text to
// continue from is not available.
func (s *requestState) nextContinuing(version string, textAvailable bool) (*routing.Replica, *callerapi.Error) {
	s.query.Version = version
	for range maxAttempts {
		replica, e := s.nextReplica()
		if e != nil {
			return nil, e
		}
		if textAvailable && replica.SupportsContinuation() {
			return replica, nil
		}
	}
	return nil, noReplica(&routing.NoReplicaError{Target: s.query.Target, Tried: len(s.query.Tried)})
}

// recordFailure counts a failed attempt and records whether it may have run the request.
func (s *requestState) recordFailure(res *attemptResult) {
	s.consecutiveFailures++
	if res.sent && !provablyNotRun(res) {
		s.mayHaveRun = true
	}
}

// canRetry reports whether another attempt may be made; if so, it takes one retry from the budget unless one is reserved.
func (s *requestState) canRetry() bool {
	if s.consecutiveFailures >= maxAttempts || !s.reserveRetry() {
		return false
	}
	s.retryReserved = false
	return true
}

// reserveRetry takes one retry from the budget for the next attempt, unless one is reserved.
func (s *requestState) reserveRetry() bool {
	s.retryReserved = s.retryReserved || s.c.takeRetry()
	return s.retryReserved
}

// reserveCallRetry is attempt.reserveRetry of an idempotent call.
func (s *requestState) reserveCallRetry() bool {
	return s.consecutiveFailures+1 < maxAttempts && s.hasNextOrSame() && s.reserveRetry()
}

// hasNextOrSame reports whether nextOrSameReplica would return a replica after a silent exchange.
func (s *requestState) hasNextOrSame() bool {
	next := s.clone()
	_, e := next.nextReplica()
	return e == nil || !s.retriedSame
}

// clone returns a copy with which replicas can be picked without an effect on s.
func (s *requestState) clone() *requestState {
	out := *s
	out.query.Tried = slices.Clone(s.query.Tried)
	return &out
}

func (c *Client) newCallState(r *peerapi.CallRequest) *requestState {
	return &requestState{c: c, query: routing.Query{Target: routing.Target{Service: r.Service}}, revision: r.Revision}
}

// run makes attempts of a call until one succeeds or no further one is allowed.
func (s *requestState) run(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (*peerapi.CallResult, *callerapi.Error) {
	start := time.Now()
	for {
		result, res, e, retry := s.tryCall(ctx, replica, r)
		if e == nil {
			if routing.MayHedge(&r.Work) {
				s.c.hedger.ObserveLatency(time.Since(start))
			}
			return result, nil
		}
		if !retry || !s.canRetry() {
			return nil, e
		}
		var noReplicaErr *callerapi.Error
		if replica, noReplicaErr = s.nextOrSameReplica(replica, &res); noReplicaErr != nil {
			return nil, e
		}
		s.c.counters.retried.Add(1)
	}
}

// tryCall makes one attempt of a call. retry reports whether the call may be retried at another replica.
func (s *requestState) tryCall(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (result *peerapi.CallResult, res attemptResult, e *callerapi.Error, retry bool) {
	incarnation := s.c.opts.Members.View().Status(replica.Name).Incarnation
	opts := callOptions{newConnection: s.retriedSame}
	if r.Idempotent {
		// Any other call runs to its end at the sidecar, which is asked for the outcome.
		opts.reserveRetry = s.reserveCallRetry
	}
	res = s.c.attemptCall(ctx, replica, r, opts)
	if res.ok() {
		return res.result, res, nil, false
	}
	s.recordFailure(&res)
	switch decideNextStep(ctx, &res, r.Idempotent) {
	case retryElsewhere:
		return nil, res, callerError(ctx, &res, s.mayHaveRun), true
	case queryOutcome:
		result, e, retry = s.resolveOutcome(ctx, replica, r, incarnation, &res)
		return result, res, e, retry
	}
	if ctx.Err() != nil {
		s.c.counters.abandoned.Add(1)
	}
	return nil, res, callerError(ctx, &res, s.mayHaveRun), false
}

// resolveOutcome queries the sidecar for the outcome of a call after a failed attempt that must not be repeated. It
// returns the result or the error, and whether the call may be retried at another replica. It does not query calls with
// a token or a key, because their caller can repeat them safely.
func (s *requestState) resolveOutcome(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, incarnation int64, res *attemptResult,
) (*peerapi.CallResult, *callerapi.Error, bool) {
	e := callerError(ctx, res, true)
	if r.Token != "" || r.Key != "" {
		return nil, e, false
	}
	reported := s.c.pollOutcome(ctx, replica, r.ID, incarnation)
	switch {
	case reported.Result != nil:
		return reported.Result, nil, false
	case reported.Executed == callerapi.ExecutedNo:
		// The only attempt that might have run the call provably did not run it.
		s.mayHaveRun = false
		e.Executed = callerapi.ExecutedNo
		return nil, e, true
	case reported.Executed == callerapi.ExecutedYes:
		e.Executed = callerapi.ExecutedYes
	}
	return nil, e, false
}
