package side

import (
	"context"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

// Once runs each call as it comes: no token or key is known.
type Once struct{}

// Call implements Calls.
func (Once) Call(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" || r.Key != "" {
		return nil, callerapi.NotRun(callerapi.InvalidRequest, "tokens and idempotency keys are not enabled")
	}
	return run(ctx)
}
