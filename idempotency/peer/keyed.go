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
	run    Run
	key    peerapi.CallKey
	digest peerapi.Digest
	// withdrawn lists attempts that their runners have declared withdrawn.
	withdrawn []peerapi.Attempt
}

// answer is the end of a keyed call; again says that the key has become free, so that a new claim may succeed.
type answer struct {
	result *peerapi.CallResult
	err    *callerapi.Error
	again  bool
}

func failed(e *callerapi.Error) answer { return answer{err: e} }

func kept(o *peerapi.Outcome) answer {
	result, e := replay(o)
	return answer{result: result, err: e}
}

func reused() answer {
	return failed(callerapi.NotRun(callerapi.KeyReused, "the key or token was used for another request"))
}

func (n *Node) callKey(ctx context.Context, r *peerapi.CallRequest, run Run) (*peerapi.CallResult, *callerapi.Error) {
	c := &keyedCall{
		n: n, req: r, run: run, digest: digestOf(r),
		key: peerapi.CallKey{Service: r.Service, Customer: r.Customer, Key: r.Key},
	}
	for try := range maxTries {
		a := c.try(ctx)
		if !a.again {
			return a.result, a.err
		}
		if !pause(ctx, try) {
			return nil, tooLate()
		}
	}
	return nil, unknown("other attempts for the key went on for too long")
}

// pause waits a random time that grows with the number of tries, so that attempts that hinder each other part.
func pause(ctx context.Context, try int) bool {
	t := time.NewTimer(time.Duration(1+rand.IntN(1<<min(try, 6))) * 2 * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *keyedCall) try(ctx context.Context) answer {
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
		n.keyed[start.Claim.Attempt.Number] = ended
	case idempotency.StartJoin:
		ended = n.keyed[start.Attempt.Number]
	}
	n.mu.Unlock()
	return c.follow(ctx, start, ended)
}

func (c *keyedCall) follow(ctx context.Context, start idempotency.Start, ended chan struct{}) answer {
	switch start.Kind {
	case idempotency.StartClaim:
		return c.claim(ctx, start.Claim, ended)
	case idempotency.StartJoin:
		select {
		case <-ended:
			return answer{again: true}
		case <-ctx.Done():
			return failed(tooLate())
		}
	case idempotency.StartAsk:
		return c.ask(ctx, start.Attempt)
	case idempotency.StartReplay:
		return kept(start.Outcome)
	case idempotency.StartReused:
		return reused()
	case idempotency.StartFull:
		return c.refuse(ctx, callerapi.Overloaded, "the table of keys is full")
	case idempotency.StartIncomplete:
		return c.refuse(ctx, callerapi.NoReplica, "this server cannot judge the key yet")
	}
	return failed(callerapi.Unknown(callerapi.NoReplica, "this server does not hold the key").WithRetryAfter(retryAfter))
}

// claim asks the other holders for their grants and runs the call when the majorities have granted.
func (c *keyedCall) claim(ctx context.Context, claim *idempotency.Claim, ended chan struct{}) answer {
	replies := c.n.askHolders(claim, c.withdrawn)
	late := time.NewTimer(claimTimeout)
	defer late.Stop()
	for isLate := false; ; {
		if a, over := c.step(ctx, claim, ended, isLate); over {
			return a
		}
		select {
		case r := <-replies:
			c.n.receive(claim, r)
		case <-late.C:
			isLate = true
		case <-ctx.Done():
			absent := c.withdraw(claim, ended)
			return failed(refusal(absent, callerapi.DeadlineExceeded, "deadline passed before the call could begin"))
		}
	}
}

func (n *Node) receive(claim *idempotency.Claim, r peerapi.ClaimResponse) {
	n.lock()
	defer n.mu.Unlock()
	n.table.Receive(claim, r)
}

func (c *keyedCall) step(
	ctx context.Context, claim *idempotency.Claim, ended chan struct{}, late bool,
) (a answer, over bool) {
	c.n.lock()
	next, outcome, other := c.n.table.Step(claim, late)
	begun := next == idempotency.NextBegin && c.n.table.Begin(time.Now(), claim)
	c.n.mu.Unlock()
	switch {
	case next == idempotency.NextWait:
		return answer{}, false
	case begun:
		return c.execute(ctx, claim, ended), true
	}
	absent := c.withdraw(claim, ended)
	switch next {
	case idempotency.NextReplay:
		return kept(outcome), true
	case idempotency.NextReused:
		return reused(), true
	case idempotency.NextAsk:
		return c.ask(ctx, *other), true
	}
	return failed(refusal(absent, callerapi.Overloaded, "the holders of the key did not grant it")), true
}

// refusal returns the error for a call that was withdrawn: not run if it is proved that the key had no run before.
func refusal(absent bool, t callerapi.ErrorType, message string) *callerapi.Error {
	if absent {
		return callerapi.NotRun(t, "%s", message).WithRetryAfter(retryAfter)
	}
	if t == callerapi.Overloaded {
		t = callerapi.OutcomeUnknown
	}
	return callerapi.Unknown(t, "%s", message).WithRetryAfter(retryAfter)
}

// withdraw ends a claim that has not begun and tells the holders. It returns whether the key had no run before.
func (c *keyedCall) withdraw(claim *idempotency.Claim, ended chan struct{}) (absent bool) {
	n := c.n
	n.lock()
	n.table.Withdraw(claim)
	absent = n.table.Absent(claim)
	if absent {
		n.table.Refusal(claim)
	}
	delete(n.keyed, claim.Attempt.Number)
	n.mu.Unlock()
	close(ended)
	n.sendRelease(claim)
	return absent
}

// execute runs the call. The run goes on when the caller has given up, because its outcome may be asked for.
func (c *keyedCall) execute(ctx context.Context, claim *idempotency.Claim, ended chan struct{}) answer {
	done := make(chan answer, 1)
	c.n.detach(func() {
		result, e := c.run(context.WithoutCancel(ctx))
		c.finish(claim, result, e)
		close(ended)
		done <- answer{result: result, err: e}
	})
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return failed(tooLate())
	}
}

func (c *keyedCall) finish(claim *idempotency.Claim, result *peerapi.CallResult, e *callerapi.Error) {
	n := c.n
	n.lock()
	delete(n.keyed, claim.Attempt.Number)
	o := outcomeOf(result, e)
	if o == nil {
		n.table.NotRun(claim)
		n.mu.Unlock()
		n.sendRelease(claim)
		return
	}
	record := n.table.Done(time.Now(), claim, *o)
	n.mu.Unlock()
	n.push(claim, record)
}

// ask asks the runner of another attempt what became of it, until the deadline.
func (c *keyedCall) ask(ctx context.Context, a peerapi.Attempt) answer {
	for {
		r, err := c.n.askRunner(ctx, c.key, c.digest, a)
		if err != nil {
			c.n.opts.Log.Debug("runner not reached", zap.String("runner", a.Server), zap.Error(err))
			return c.look(ctx)
		}
		switch r.State {
		case peerapi.AttemptDone:
			return kept(r.Outcome)
		case peerapi.AttemptReused:
			return reused()
		case peerapi.AttemptWithdrawn:
			c.withdrawn = append(c.withdrawn, a)
			return answer{again: true}
		case peerapi.AttemptUnknown:
			return c.look(ctx)
		}
		if ctx.Err() != nil {
			return failed(tooLate())
		}
	}
}

// look asks the other holders for an outcome when the runner cannot tell it.
func (c *keyedCall) look(ctx context.Context) answer {
	o, _, otherRequest := c.survey(ctx)
	switch {
	case o != nil:
		return kept(o)
	case otherRequest:
		return reused()
	}
	return failed(unknown("the server that may have run the call cannot be asked"))
}

// refuse returns a refusal of a call that this server cannot run. It asks the other holders first, because only a
// majority of them can say that the key has not run.
func (c *keyedCall) refuse(ctx context.Context, t callerapi.ErrorType, message string) answer {
	o, absent, otherRequest := c.survey(ctx)
	switch {
	case o != nil:
		return kept(o)
	case otherRequest:
		return reused()
	case absent:
		return failed(callerapi.NotRun(t, "%s", message).WithRetryAfter(retryAfter))
	}
	return failed(callerapi.Unknown(t, "%s", message).WithRetryAfter(retryAfter))
}

// survey collects the verdicts of the holders without a claim: the outcome if one has it, whether a majority proves that
// the key had not run, and whether the key belongs to another request.
func (c *keyedCall) survey(ctx context.Context) (o *peerapi.Outcome, absent, otherRequest bool) {
	n := c.n
	n.lock()
	claim := n.table.Look(time.Now(), c.key, c.digest)
	n.mu.Unlock()
	replies := n.askHolders(claim, c.withdrawn)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for range claim.Peers {
		select {
		case r := <-replies:
			n.receive(claim, r)
			if r.Verdict == peerapi.VerdictDone {
				return r.Outcome, false, false
			}
			otherRequest = otherRequest || r.Verdict == peerapi.VerdictReused
		case <-ctx.Done():
		}
	}
	n.lock()
	defer n.mu.Unlock()
	return nil, n.table.Absent(claim), otherRequest
}
