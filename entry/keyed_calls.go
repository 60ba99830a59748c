package entry

import (
	"context"
	"slices"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/entry/upstream"
	"lavendermoor.example/idempotency"
	"lavendermoor.example/routing"
)

// keyedCalls sends calls with a token or an idempotency key to the servers that record whether the call has run. It
// is safe for concurrent use.
type keyedCalls struct{ client *upstream.Client }

// call delivers a call with a token or a key.
func (k *keyedCalls) call(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" {
		return k.callWithToken(ctx, st, r)
	}
	return k.callWithKey(ctx, st, r)
}

// callWithKey delivers a call to the holders of its key in rendezvous order. If a holder does not respond or cannot run
// the call, the next one is tried; the key prevents the call from running twice. The caller receives an error with
// ExecutedNo only if no earlier delivery may still run, or if the key belongs to another request (KeyReused).
func (k *keyedCalls) callWithKey(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	view := idempotency.ViewOf(st, r.Service)
	key := peerapi.CallKey{Service: r.Service, Customer: r.Customer, Key: r.Key}
	lastErr := noReplica()
	mayHaveRun := false
	for _, m := range view.HolderSets(idempotency.ShardOf(key)).New {
		d := k.deliver(ctx, m, r)
		if d.Err == nil {
			return d.Result, nil
		}
		if d.Responded && !mayTryNextHolder(d.Err) {
			return nil, finalError(d.Err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !d.Responded && d.Sent
		lastErr = d.Err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, finalError(lastErr, mayHaveRun)
}

// mayTryNextHolder reports whether another holder may be able to run a call that this one refused with e.
func mayTryNextHolder(e *callerapi.Error) bool {
	return e.Type == callerapi.NoReplica || e.Type == callerapi.Draining || e.Type == callerapi.Overloaded
}

// finalError returns the error for the caller. It replaces e by OutcomeUnknown if e, unless it is KeyReused, reports
// that the call did not run although an earlier delivery may have run it (mayHaveRun), or if the last holder's refusal
// leaves open whether the call ran.
func finalError(e *callerapi.Error, mayHaveRun bool) *callerapi.Error {
	undecided := e.Executed == callerapi.ExecutedUnknown && mayTryNextHolder(e)
	unproven := mayHaveRun && e.Executed == callerapi.ExecutedNo && e.Type != callerapi.KeyReused
	if !undecided && !unproven {
		return e
	}
	return callerapi.MaybeExecuted(callerapi.OutcomeUnknown, "%s", e.Message).WithRetryAfter(upstream.NoReplicaRetryAfter)
}

// callWithToken delivers a call to the server that issued its token. If the incarnation that issued it has stopped, it
// may have handed over the outcome to one of the other servers. They never run calls with that token.
func (k *keyedCalls) callWithToken(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	token, ok := idempotency.ParseToken(r.Token)
	if !ok {
		return nil, callerapi.NotExecuted(callerapi.InvalidToken, "the token is malformed")
	}
	for _, m := range tokenTargets(idempotency.ViewOf(st, r.Service), token.Server) {
		d := k.deliver(ctx, m, r)
		if d.Err == nil || d.Responded && d.Err.Type != callerapi.OutcomeUnknown {
			return d.Result, d.Err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, callerapi.MaybeExecuted(callerapi.OutcomeUnknown, "the server that issued the token cannot be asked").
		WithRetryAfter(upstream.NoReplicaRetryAfter)
}

// tokenTargets returns the server that issued a token, if it is configured or was before the last change, then the
// others in the order in which the issuer hands over its outcomes.
func tokenTargets(view idempotency.View, issuer string) []cluster.Member {
	var out []cluster.Member
	for _, m := range slices.Concat(view.Servers, view.Previous) {
		if m.Name == issuer {
			out = append(out, m)
			break
		}
	}
	for _, m := range idempotency.RendezvousOrder(issuer, view.Servers) {
		if m.Name != issuer {
			out = append(out, m)
		}
	}
	return out
}

// deliver sends a call to one server. If there is no response although the server may have received the call, the error
// is OutcomeUnknown, unless the deadline has passed.
func (k *keyedCalls) deliver(ctx context.Context, m cluster.Member, r *peerapi.CallRequest) upstream.Delivery {
	d := k.client.CallReplica(ctx, k.replica(m), r)
	if !d.Responded && d.Sent && d.Err.Type != callerapi.DeadlineExceeded {
		d.Err = callerapi.MaybeExecuted(callerapi.OutcomeUnknown, "%s", d.Err.Message).WithRetryAfter(upstream.NoReplicaRetryAfter)
	}
	return d
}

// replica returns the replica of a server, which may no longer be configured.
func (k *keyedCalls) replica(m cluster.Member) *routing.Replica {
	if r := k.client.Picker().Replica(m.Name); r != nil && r.Address == m.Address {
		return r
	}
	return routing.NewUnconfiguredReplica(m.Name, m.Address, m.Domain)
}
