package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/idempotency"
)

// keyedCall is one delivery of a keyed call to this server.
type keyedCall struct {
	n      *Node
	req    *peerapi.CallRequest
	run    RunFunc
	key    peerapi.CallKey
	digest peerapi.Digest
	// withdrawn lists attempts that their runners have reported as withdrawn.
	withdrawn []peerapi.Attempt
}

// response is the result of a keyed call; retry means that the key has become free, so that a new claim may succeed.
type response struct {
	result *peerapi.CallResult
	err    *callerapi.Error
	retry  bool
}

func errorResponse(e *callerapi.Error) response { return response{err: e} }

func replayResponse(o *peerapi.Outcome) response {
	result, e := replayOutcome(o)
	return response{result: result, err: e}
}

func keyReusedResponse() response {
	return errorResponse(callerapi.NotExecuted(callerapi.KeyReused, "the key or token was used for another request"))
}

func (n *Node) callKeyed(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	c := &keyedCall{
		n: n, req: r, run: run, digest: digestOf(r),
		key: peerapi.CallKey{Service: r.Service, Customer: r.Customer, Key: r.Key},
	}
	for attempt := range maxClaimAttempts {
		resp := c.tryOnce(ctx)
		if !resp.retry {
			return resp.result, resp.err
		}
		if !backOff(ctx, attempt) {
			return nil, deadlineError()
		}
	}
	return nil, unknownOutcome("other attempts for the key went on for too long")
}

// backOff waits a random time, whose limit grows with the number of attempts, so that competing claims no longer
// conflict. It returns false if the context ends first.
func backOff(ctx context.Context, attempt int) bool {
	t := time.NewTimer(time.Duration(1+rand.IntN(1<<min(attempt, 6))) * 2 * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *keyedCall) tryOnce(ctx context.Context) response {
	n := c.n
	n.lock()
	start := n.table.Start(time.Now(), c.key, c.digest, c.withdrawn)
	var ended chan struct{}
	switch start.Kind {
	case idempotency.StartClaim:
		if n.draining {
			n.table.Withdraw(start.Claim)
			n.mu.Unlock()
			return c.refuse(ctx, callerapi.Draining, "server is draining")
		}
		ended = make(chan struct{})
		n.keyedEnded[start.Claim.Attempt.Number] = ended
	case idempotency.StartJoin:
		ended = n.keyedEnded[start.Attempt.Number]
	}
	n.mu.Unlock()
	return c.handleStart(ctx, start, ended)
}

func (c *keyedCall) handleStart(ctx context.Context, start idempotency.StartDecision, ended chan struct{}) response {
	switch start.Kind {
	case idempotency.StartClaim:
		return c.runClaim(ctx, start.Claim, ended)
	case idempotency.StartJoin:
		select {
		case <-ended:
			return response{retry: true}
		case <-ctx.Done():
			return errorResponse(deadlineError())
		}
	case idempotency.StartQueryRunner:
		return c.awaitRunner(ctx, start.Attempt)
	case idempotency.StartReplay:
		return replayResponse(start.Outcome)
	case idempotency.StartKeyReused:
		return keyReusedResponse()
	case idempotency.StartTableFull:
		return c.refuse(ctx, callerapi.Overloaded, "the table of keys is full")
	case idempotency.StartIncomplete:
		return c.refuse(ctx, callerapi.NoReplica, "this server cannot judge the key yet")
	}
	return errorResponse(callerapi.MaybeExecuted(callerapi.NoReplica, "this server does not hold the key").WithRetryAfter(retryAfter))
}

// runClaim requests grants from the other holders and runs the call once the majorities have granted.
func (c *keyedCall) runClaim(ctx context.Context, claim *idempotency.Claim, ended chan struct{}) response {
	responses := c.n.sendClaim(claim, c.withdrawn)
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	for timedOut := false; ; {
		if resp, done := c.advanceClaim(ctx, claim, ended, timedOut); done {
			return resp
		}
		select {
		case r := <-responses:
			c.n.addResponse(claim, r)
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			notRun := c.withdraw(claim, ended)
			return errorResponse(refusalError(notRun, callerapi.DeadlineExceeded, "deadline passed before the call could begin"))
		}
	}
}

func (n *Node) addResponse(claim *idempotency.Claim, r peerapi.ClaimResponse) {
	n.lock()
	defer n.mu.Unlock()
	n.table.AddResponse(claim, r)
}

func (c *keyedCall) advanceClaim(
	ctx context.Context, claim *idempotency.Claim, ended chan struct{}, timedOut bool,
) (resp response, done bool) {
	c.n.lock()
	next, outcome, other := c.n.table.Evaluate(claim, timedOut)
	begun := next == idempotency.NextBegin && c.n.table.Begin(time.Now(), claim)
	c.n.mu.Unlock()
	switch {
	case next == idempotency.NextWait:
		return response{}, false
	case begun:
		return c.execute(ctx, claim, ended), true
	}
	notRun := c.withdraw(claim, ended)
	switch next {
	case idempotency.NextReplay:
		return replayResponse(outcome), true
	case idempotency.NextKeyReused:
		return keyReusedResponse(), true
	case idempotency.NextQueryRunner:
		return c.awaitRunner(ctx, *other), true
	}
	return errorResponse(refusalError(notRun, callerapi.Overloaded, "the holders of the key did not grant it")), true
}

// refusalError returns the error for a withdrawn call: not run if it is proven that the key had not run before.
func refusalError(notRun bool, t callerapi.ErrorType, message string) *callerapi.Error {
	if notRun {
		return callerapi.NotExecuted(t, "%s", message).WithRetryAfter(retryAfter)
	}
	if t == callerapi.Overloaded {
		t = callerapi.OutcomeUnknown
	}
	return callerapi.MaybeExecuted(t, "%s", message).WithRetryAfter(retryAfter)
}

// withdraw ends a claim that has not begun and releases its grants at the holders. It reports whether it is proven
// that the key had not run before.
func (c *keyedCall) withdraw(claim *idempotency.Claim, ended chan struct{}) (notRun bool) {
	n := c.n
	n.lock()
	n.table.Withdraw(claim)
	notRun = n.table.ProvesNotRun(claim)
	if notRun {
		n.table.CheckRefusal(claim)
	}
	delete(n.keyedEnded, claim.Attempt.Number)
	n.mu.Unlock()
	close(ended)
	n.sendRelease(claim)
	return notRun
}

// execute runs the call and records its outcome before it responds. The run continues after the caller has stopped
// waiting, because its outcome may be queried.
func (c *keyedCall) execute(ctx context.Context, claim *idempotency.Claim, ended chan struct{}) response {
	done := make(chan response, 1)
	c.n.runInBackground(func() {
		result, e := c.run(context.WithoutCancel(ctx))
		c.recordRun(claim, result, e)
		close(ended)
		done <- response{result: result, err: e}
	})
	select {
	case resp := <-done:
		return resp
	case <-ctx.Done():
		return errorResponse(deadlineError())
	}
}

func (c *keyedCall) recordRun(claim *idempotency.Claim, result *peerapi.CallResult, e *callerapi.Error) {
	n := c.n
	n.lock()
	delete(n.keyedEnded, claim.Attempt.Number)
	o := outcomeOf(result, e)
	if o == nil {
		n.table.MarkNotRun(claim)
		n.mu.Unlock()
		n.sendRelease(claim)
		return
	}
	record := n.table.CompleteRun(time.Now(), claim, *o)
	n.mu.Unlock()
	n.awaitRecorded(claim, n.pushRecord(claim, record))
}

// awaitRunner queries the runner of another attempt until the attempt has ended or the deadline has passed. If the
// runner does not respond or has no state of the attempt, it queries the other holders for the outcome.
func (c *keyedCall) awaitRunner(ctx context.Context, a peerapi.Attempt) response {
	for {
		r, err := c.n.queryAttempt(ctx, c.key, c.digest, a)
		if err != nil {
			c.n.opts.Log.Debug("failed to query the runner of an attempt", zap.String("runner", a.Server), zap.Error(err))
			return c.findOutcome(ctx)
		}
		switch r.State {
		case peerapi.AttemptDone:
			return replayResponse(r.Outcome)
		case peerapi.AttemptKeyReused:
			return keyReusedResponse()
		case peerapi.AttemptWithdrawn:
			c.withdrawn = append(c.withdrawn, a)
			return response{retry: true}
		case peerapi.AttemptUnknown:
			return c.findOutcome(ctx)
		}
		if ctx.Err() != nil {
			return errorResponse(deadlineError())
		}
	}
}

// findOutcome queries the other holders for an outcome when the runner cannot provide it.
func (c *keyedCall) findOutcome(ctx context.Context) response {
	o, _, otherRequest := c.queryHolders(ctx)
	switch {
	case o != nil:
		return replayResponse(o)
	case otherRequest:
		return keyReusedResponse()
	}
	return errorResponse(unknownOutcome("the server that may have run the call cannot be asked"))
}

// refuse refuses a call that this server cannot run. It queries the other holders first, because only a majority of
// them can prove that the key has not run.
func (c *keyedCall) refuse(ctx context.Context, t callerapi.ErrorType, message string) response {
	o, notRun, otherRequest := c.queryHolders(ctx)
	switch {
	case o != nil:
		return replayResponse(o)
	case otherRequest:
		return keyReusedResponse()
	case notRun:
		return errorResponse(callerapi.NotExecuted(t, "%s", message).WithRetryAfter(retryAfter))
	}
	return errorResponse(callerapi.MaybeExecuted(t, "%s", message).WithRetryAfter(retryAfter))
}

// queryHolders collects the verdicts of the holders without a claim: the outcome if a holder has it, whether the
// majorities prove that the key had not run, and whether the key belongs to another request.
func (c *keyedCall) queryHolders(ctx context.Context) (o *peerapi.Outcome, notRun, otherRequest bool) {
	n := c.n
	n.lock()
	claim := n.table.ReadOnlyClaim(time.Now(), c.key, c.digest)
	n.mu.Unlock()
	responses := n.sendClaim(claim, c.withdrawn)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for range claim.Peers {
		select {
		case r := <-responses:
			n.addResponse(claim, r)
			if r.Verdict == peerapi.VerdictDone {
				return r.Outcome, false, false
			}
			otherRequest = otherRequest || r.Verdict == peerapi.VerdictKeyReused
		case <-ctx.Done():
		}
	}
	n.lock()
	defer n.mu.Unlock()
	return nil, n.table.ProvesNotRun(claim), otherRequest
}
