package side

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/engine"
)

// Guards against reporting a refusal by a full engine as an invalid request, which would prevent a retry at another
// replica, against the promise that a request has not run after a success or a redirect, and against reporting an exceeded
// deadline for a request that the entry canceled.
func TestBackendErrorsAsCallerErrors(t *testing.T) {
	s := New(Options{Log: zap.NewNop()})
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		ctx      context.Context
		err      error
		want     callerapi.ErrorType
		executed callerapi.Executed
	}{
		{t.Context(), &engine.StatusError{Status: http.StatusTooManyRequests}, callerapi.Overloaded, callerapi.ExecutedNo},
		{t.Context(), &engine.StatusError{Status: http.StatusBadRequest}, callerapi.InvalidRequest, callerapi.ExecutedNo},
		{t.Context(), &engine.StatusError{Status: http.StatusRequestTimeout}, callerapi.BackendFailed, callerapi.ExecutedUnknown},
		{t.Context(), &engine.StatusError{Status: http.StatusBadGateway}, callerapi.BackendFailed, callerapi.ExecutedUnknown},
		{t.Context(), &engine.StatusError{Status: http.StatusNoContent}, callerapi.BackendFailed, callerapi.ExecutedUnknown},
		{t.Context(), &engine.StatusError{Status: http.StatusFound}, callerapi.BackendFailed, callerapi.ExecutedUnknown},
		{canceled, &engine.BrokenError{Cause: context.Canceled}, callerapi.BackendFailed, callerapi.ExecutedUnknown},
	} {
		e := s.translateError(c.ctx, &peerapi.Work{}, c.err)
		require.Equal(t, c.want, e.Type, "%v", c.err)
		require.Equal(t, c.executed, e.Executed, "%v", c.err)
	}
}
