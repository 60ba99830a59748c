package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lavendermoor.example/api/callerapi"
)

// maxAttempts bounds the failed attempts of one request, even if the retry budget allows more. When a generation
// receives an event, the count starts again with the attempt that received it.
const maxAttempts = 4

// nextStep is what to do after a failed attempt.
type nextStep int

const (
	// stopRetrying ends the request with the error.
	stopRetrying nextStep = iota
	// retryElsewhere sends the request to another replica.
	retryElsewhere
	// queryOutcome queries the sidecar for the outcome of the request.
	queryOutcome
)

// retryableRefusals holds the types of refusals after which another replica may accept the request.
var retryableRefusals = map[callerapi.ErrorType]bool{
	callerapi.Overloaded: true, callerapi.Draining: true, callerapi.NoReplica: true, callerapi.BackendFailed: true,
	callerapi.StreamBroken: true,
}

// provablyNotRun reports whether the attempt provably did not run the request.
func provablyNotRun(res *attemptResult) bool {
	if res.refusal != nil {
		return res.refusal.Executed == callerapi.ExecutedNo
	}
	var status *StatusError
	if errors.As(res.err, &status) {
		return status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
	}
	return !res.sent
}

// decideNextStep decides what to do after a failed attempt. Only requests that provably did not run, or that are
// idempotent, are sent again.
func decideNextStep(ctx context.Context, res *attemptResult, idempotent bool) nextStep {
	var disconnected *CallerDisconnectedError
	switch {
	case ctx.Err() != nil || errors.As(res.err, &disconnected):
		return stopRetrying
	case res.refusal != nil && !retryableRefusals[res.refusal.Type]:
		return stopRetrying
	case provablyNotRun(res):
		return retryElsewhere
	case res.refusal != nil && res.refusal.Executed == callerapi.ExecutedYes:
		return stopRetrying
	case idempotent:
		return retryElsewhere
	case res.refusal != nil:
		return stopRetrying
	}
	return queryOutcome
}

// callerError returns the error for the caller after a failed attempt. It reports that the request did not run only if
// no attempt may have run it.
func callerError(ctx context.Context, res *attemptResult, mayHaveRun bool) *callerapi.Error {
	e := baseError(ctx, res)
	if mayHaveRun && e.Executed == callerapi.ExecutedNo {
		e.Executed = callerapi.ExecutedUnknown
	}
	return e
}

func baseError(ctx context.Context, res *attemptResult) *callerapi.Error {
	if res.refusal != nil {
		return &callerapi.Error{
			Type: res.refusal.Type, Message: res.refusal.Message, Executed: res.refusal.Executed,
			RetryAfter: time.Duration(res.refusal.RetryAfterMs) * time.Millisecond,
		}
	}
	if ctx.Err() != nil {
		return callerapi.NotExecuted(callerapi.DeadlineExceeded, "deadline passed or caller left: %v", ctx.Err())
	}
	return callerapi.NotExecuted(callerapi.BackendFailed, "exchange failed: %v", res.err).WithRetryAfter(NoReplicaRetryAfter)
}
