package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lavendermoor.example/api/callerapi"
)

// maxAttempts bounds the attempts of one request without an event of the answer in between, whatever the budget
// holds.
const maxAttempts = 4

// verdict is what follows an attempt that did not succeed.
type verdict int

const (
	// giveUp ends the request with the error.
	giveUp verdict = iota
	// elsewhere sends the request to another replica.
	elsewhere
	// askOutcome asks the side process what became of the request.
	askOutcome
)

// retriable holds the types of refusals after which another replica may accept the request.
var retriable = map[callerapi.ErrorType]bool{
	callerapi.Overloaded: true, callerapi.Draining: true, callerapi.NoReplica: true, callerapi.BackendFailed: true,
	callerapi.StreamBroken: true,
}

// refusedUnrun says whether the attempt provably did not run the request.
func refusedUnrun(o *outcome) bool {
	if o.refusal != nil {
		return o.refusal.Executed == callerapi.ExecutedNo
	}
	var status *StatusError
	if errors.As(o.err, &status) {
		return status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
	}
	return !o.sent
}

// judge decides what follows an attempt that failed. Only what provably did not run, or is idempotent, is sent
// again.
func judge(ctx context.Context, o *outcome, idempotent bool) verdict {
	var gone *CallerGoneError
	switch {
	case ctx.Err() != nil || errors.As(o.err, &gone):
		return giveUp
	case o.refusal != nil && !retriable[o.refusal.Type]:
		return giveUp
	case refusedUnrun(o):
		return elsewhere
	case o.refusal != nil && o.refusal.Executed == callerapi.ExecutedYes:
		return giveUp
	case idempotent:
		return elsewhere
	case o.refusal != nil:
		return giveUp
	}
	return askOutcome
}

// errorOf returns what the caller sees of a failed attempt. The error says "no" only if no attempt of the request
// may have run it.
func errorOf(ctx context.Context, o *outcome, mayHaveRun bool) *callerapi.Error {
	e := baseError(ctx, o)
	if mayHaveRun && e.Executed == callerapi.ExecutedNo {
		e.Executed = callerapi.ExecutedUnknown
	}
	return e
}

func baseError(ctx context.Context, o *outcome) *callerapi.Error {
	if o.refusal != nil {
		return &callerapi.Error{
			Type: o.refusal.Type, Message: o.refusal.Message, Executed: o.refusal.Executed,
			RetryAfter: time.Duration(o.refusal.RetryAfterMs) * time.Millisecond,
		}
	}
	if ctx.Err() != nil {
		return callerapi.NotRun(callerapi.DeadlineExceeded, "deadline passed or caller left: %v", ctx.Err())
	}
	return callerapi.NotRun(callerapi.BackendFailed, "exchange failed: %v", o.err).WithRetryAfter(NoReplicaRetry)
}
