package upstream

import (
	"context"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
)

// flight is one request with all its attempts. It is used by one goroutine.
type flight struct {
	c     *Client
	query routing.Query
	// revision is that of the configuration that the request was read with.
	revision int64
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	attempts   int
	// sameAgain is set when a replica was tried a second time because none else was left.
	sameAgain bool
}

// mayRetry takes one retry from the budget.
func (c *Client) mayRetry() bool {
	if !c.budget.TryRetry(time.Now()) {
		c.counts.budgetSpent.Add(1)
		return false
	}
	return true
}

// next returns the replica for the next attempt.
func (f *flight) next() (*routing.Replica, *callerapi.Error) {
	replica, err := f.c.pick(f.query, f.revision)
	if err != nil {
		return nil, noReplica(err)
	}
	f.query.Tried = append(f.query.Tried, replica)
	return replica, nil
}

// nextOrSame returns another replica. Where none is left and only the connection has failed, it returns the same
// one, once: a new connection to it may work.
func (f *flight) nextOrSame(last *routing.Replica, o *outcome) (*routing.Replica, *callerapi.Error) {
	replica, e := f.next()
	if e != nil && o.stale && !f.sameAgain {
		f.sameAgain = true
		return last, nil
	}
	return replica, e
}

// note keeps what an attempt showed of the request.
func (f *flight) note(o *outcome) {
	f.attempts++
	if o.sent && !refusedUnrun(o) {
		f.mayHaveRun = true
	}
}

// again says whether another attempt may be made.
func (f *flight) again() bool { return f.attempts < maxAttempts && f.c.mayRetry() }

func (c *Client) newCall(r *peerapi.CallRequest) *flight {
	return &flight{c: c, query: routing.Query{Target: routing.Target{Service: r.Service}}, revision: r.Revision}
}

// run makes attempts of a call until one succeeds or none may follow.
func (f *flight) run(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (*peerapi.CallResult, *callerapi.Error) {
	began := time.Now()
	for {
		result, o, e, again := f.call(ctx, replica, r)
		if e == nil {
			if routing.MayHedge(&r.Work) {
				f.c.hedge.ObserveLatency(time.Since(began))
			}
			return result, nil
		}
		if !again || !f.again() {
			return nil, e
		}
		var none *callerapi.Error
		if replica, none = f.nextOrSame(replica, &o); none != nil {
			return nil, e
		}
		f.c.counts.retried.Add(1)
	}
}

// call makes one attempt of a call; again says that it may be repeated elsewhere.
func (f *flight) call(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest,
) (result *peerapi.CallResult, o outcome, e *callerapi.Error, again bool) {
	incarnation := f.c.opts.Members.View().Of(replica.Name).Incarnation
	o = f.c.exchangeCall(ctx, replica, r, f.sameAgain)
	if o.ok() {
		return o.result, o, nil, false
	}
	f.note(&o)
	switch judge(ctx, &o, r.Idempotent) {
	case elsewhere:
		return nil, o, errorOf(ctx, &o, f.mayHaveRun), true
	case askOutcome:
		result, e, again = f.asked(ctx, replica, r, incarnation, &o)
		return result, o, e, again
	}
	if ctx.Err() != nil {
		f.c.counts.abandoned.Add(1)
	}
	return nil, o, errorOf(ctx, &o, f.mayHaveRun), false
}

// asked ends a call that must not be repeated by what the side process says of it. Calls with a token or a key
// are asked for by repeating them, which their caller may do.
func (f *flight) asked(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, incarnation int64, o *outcome,
) (*peerapi.CallResult, *callerapi.Error, bool) {
	e := errorOf(ctx, o, true)
	if r.Token != "" || r.Key != "" {
		return nil, e, false
	}
	said := f.c.outcomeOf(ctx, replica, r.ID, incarnation)
	switch {
	case said.Result != nil:
		return said.Result, nil, false
	case said.Executed == callerapi.ExecutedNo:
		// The only attempt that may have run is proved not to have.
		f.mayHaveRun = false
		e.Executed = callerapi.ExecutedNo
		return nil, e, true
	case said.Executed == callerapi.ExecutedYes:
		e.Executed = callerapi.ExecutedYes
	}
	return nil, e, false
}
