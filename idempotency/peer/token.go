package peer

import (
	"context"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/idempotency"
)

// IssueToken issues a token for a call of the customer to the service.
func (n *Node) IssueToken(customer, service string) (string, *callerapi.Error) {
	n.lock()
	defer n.mu.Unlock()
	if n.draining {
		return "", callerapi.NotExecuted(callerapi.Draining, "server is draining").WithRetryAfter(retryAfter)
	}
	text, ok := n.tokens.Issue(customer, service)
	if !ok {
		return "", callerapi.NotExecuted(callerapi.Draining, "server has handed its tokens over").WithRetryAfter(retryAfter)
	}
	return text, nil
}

func (n *Node) callToken(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	token, ok := idempotency.ParseToken(r.Token)
	if !ok {
		return nil, callerapi.NotExecuted(callerapi.InvalidToken, "the token has not the form of a token")
	}
	digest := digestOf(r)
	for {
		n.lock()
		use := n.tokens.Use(token, r.Customer, r.Service, digest)
		ended := n.tokenEnded[token.Seq]
		if use.Kind == idempotency.UseBegin {
			ended = make(chan struct{})
			n.tokenEnded[token.Seq] = ended
		}
		n.mu.Unlock()
		switch use.Kind {
		case idempotency.UseBegin:
			return n.runToken(ctx, token.Seq, ended, run)
		case idempotency.UseJoin:
		default:
			return tokenResponse(use)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, deadlineError()
		}
	}
}

func tokenResponse(use idempotency.UseDecision) (*peerapi.CallResult, *callerapi.Error) {
	switch use.Kind {
	case idempotency.UseReplay:
		return replayOutcome(use.Outcome)
	case idempotency.UseReused:
		return nil, keyReusedResponse().err
	case idempotency.UseInvalid:
		return nil, callerapi.NotExecuted(callerapi.InvalidToken, "the token was not issued for this customer and service")
	case idempotency.UseDraining:
		return nil, callerapi.NotExecuted(callerapi.Draining, "server is draining and will not run the token").
			WithRetryAfter(retryAfter)
	}
	return nil, unknownOutcome("nothing is known of the token, and it will not be run")
}

func (n *Node) runToken(ctx context.Context, seq int64, ended chan struct{}, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	done := make(chan response, 1)
	n.runInBackground(func() {
		result, e := run(context.WithoutCancel(ctx))
		n.lock()
		n.tokens.End(seq, outcomeOf(result, e))
		delete(n.tokenEnded, seq)
		n.mu.Unlock()
		close(ended)
		done <- response{result: result, err: e}
	})
	select {
	case resp := <-done:
		return resp.result, resp.err
	case <-ctx.Done():
		return nil, deadlineError()
	}
}

// callUnkeyed runs a non-idempotent call that has neither token nor key.
func (n *Node) callUnkeyed(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	n.lock()
	begun := n.unkeyed.Begin(time.Now(), r.ID)
	n.mu.Unlock()
	if !begun {
		return nil, unknownOutcome("request %s has arrived before, or was given up", r.ID)
	}
	done := make(chan response, 1)
	n.runInBackground(func() {
		result, e := run(context.WithoutCancel(ctx))
		o := outcomeOf(result, e)
		if o == nil {
			o = &peerapi.Outcome{Failure: peerapi.NewFrameError(e)}
		}
		n.lock()
		n.unkeyed.End(r.ID, *o)
		n.mu.Unlock()
		done <- response{result: result, err: e}
	})
	select {
	case resp := <-done:
		return resp.result, resp.err
	case <-ctx.Done():
		return nil, deadlineError()
	}
}

// Drain makes the node refuse new work; it still returns stored outcomes.
func (n *Node) Drain() {
	n.lock()
	defer n.mu.Unlock()
	n.draining = true
}

// outcomesPerHandoverPart is the number of outcomes in one message of a handover: at 64 KiB each, 16 MiB.
const outcomesPerHandoverPart = 256

// Handover sends the token outcomes to the first server of the service that accepts them. It must be called when no
// call is running any more.
func (n *Node) Handover(ctx context.Context) {
	n.lock()
	all := n.tokens.Close()
	var targets []string
	for _, v := range n.views {
		if isMember(v, n.opts.Self.Server) {
			targets = append(targets, handoverTargets(v, n.opts.Self.Server)...)
		}
	}
	n.mu.Unlock()
	for _, server := range targets {
		if n.sendHandover(ctx, server, all) {
			return
		}
	}
}

func isMember(v idempotency.View, server string) bool {
	for _, m := range v.Servers {
		if m.Name == server {
			return true
		}
	}
	return false
}

// handoverTargets returns the other servers of the service, in the order in which they are offered the handover.
func handoverTargets(v idempotency.View, server string) []string {
	var out []string
	for _, m := range idempotency.RendezvousOrder(server, v.Servers) {
		if m.Name != server {
			out = append(out, m.Name)
		}
	}
	return out
}

func (n *Node) sendHandover(ctx context.Context, server string, all peerapi.Handover) bool {
	address := n.address(server)
	for first := true; first || len(all.Outcomes) > 0; first = false {
		if ctx.Err() != nil {
			return false
		}
		part := all
		part.Outcomes = all.Outcomes[:min(outcomesPerHandoverPart, len(all.Outcomes))]
		all.Outcomes = all.Outcomes[len(part.Outcomes):]
		if err := n.sendHandoverPart(ctx, address, part); err != nil {
			return false
		}
	}
	return true
}

func (n *Node) sendHandoverPart(ctx context.Context, address string, part peerapi.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return n.send(ctx, address, peerapi.PathHandover, part, nil)
}
