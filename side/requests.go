package side

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/engine"
	"lavendermoor.example/clients/httpstatus"
)

// maxPeerBody limits the body of a request from another process, in bytes. Such a body contains the caller's body in
// base64. The entry limits the size of the caller's body.
const maxPeerBody = 128 << 20

// decode decodes the JSON body of a request. If that fails, it writes an error response and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var in peerapi.GenerateRequest
	if !decode(w, r, &in) {
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	f := newFrameWriter(w, in.ID, in.ResumeFrom, s.Load())
	f.finish(nil, s.runGeneration(r.Context(), &in, f))
}

func (s *Server) runGeneration(ctx context.Context, in *peerapi.GenerateRequest, f *frameWriter) *callerapi.Error {
	ctx, release, refusal := s.admit(ctx, &in.Work, in.MaxTokens)
	if refusal != nil {
		return refusal
	}
	tokens := 0
	ok := false
	defer func() { release(tokens, ok) }()
	err := s.opts.Backend.Generate(ctx, in, func(id string, event json.RawMessage) error {
		tokens++
		return f.writeEvent(id, event)
	})
	if err != nil {
		return s.translateError(ctx, &in.Work, err)
	}
	ok = true
	return nil
}

// admit checks a request and waits for a slot. The returned context ends at the deadline. The returned function must be
// called when the run has ended.
func (s *Server) admit(
	ctx context.Context, w *peerapi.Work, maxTokens int,
) (context.Context, func(tokens int, ok bool), *callerapi.Error) {
	if e := s.checkWork(w); e != nil {
		s.refused.Add(1)
		return nil, nil, e
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.DeadlineMs)*time.Millisecond)
	release, e := s.opts.Admission.Acquire(ctx, w, maxTokens)
	if e != nil {
		cancel()
		s.refused.Add(1)
		return nil, nil, e
	}
	s.served.Add(1)
	return ctx, func(tokens int, ok bool) { cancel(); release(tokens, ok) }, nil
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var in peerapi.CallRequest
	if !decode(w, r, &in) {
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	f := newFrameWriter(w, in.ID, 0, s.Load())
	// A call that is not idempotent continues after the entry disconnects, because the outcome can be queried later.
	ctx := r.Context()
	if !in.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	result, e := s.opts.Calls.Call(ctx, &in, func(ctx context.Context) (*peerapi.CallResult, *callerapi.Error) {
		return s.runCall(ctx, &in)
	})
	f.finish(result, e)
}

func (s *Server) runCall(ctx context.Context, in *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	ctx, release, refusal := s.admit(ctx, &in.Work, 0)
	if refusal != nil {
		return nil, refusal
	}
	ok := false
	defer func() { release(0, ok) }()
	result, err := s.opts.Backend.Call(ctx, in)
	ok = err == nil
	if err != nil {
		return nil, s.translateError(ctx, &in.Work, err)
	}
	return result, nil
}

// translateError converts an error of the backend server to the error sent to the caller.
func (s *Server) translateError(ctx context.Context, w *peerapi.Work, err error) *callerapi.Error {
	var unreachable *engine.UnreachableError
	var status *engine.StatusError
	var body *engine.InvalidBodyError
	s.opts.Log.Info("request failed", zap.String("request", w.ID), zap.Error(err))
	switch {
	case errors.As(err, &unreachable):
		return callerapi.NotExecuted(callerapi.BackendFailed, "%v", err).WithRetryAfter(defaultRetryAfter)
	case errors.As(err, &body):
		return callerapi.NotExecuted(callerapi.InvalidRequest, "%v", err)
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return callerapi.NotExecuted(callerapi.Overloaded, "%v", err).WithRetryAfter(defaultRetryAfter)
	case errors.As(err, &status) && httpstatus.IsRejection(status.Status):
		return callerapi.NotExecuted(callerapi.InvalidRequest, "%v", err)
	case errors.Is(ctx.Err(), context.Canceled):
		return callerapi.MaybeExecuted(callerapi.BackendFailed, "the entry has given the request up")
	case ctx.Err() != nil:
		return callerapi.MaybeExecuted(callerapi.DeadlineExceeded, "deadline passed while the request ran")
	}
	return asCallerError(err, callerapi.MaybeExecuted(callerapi.BackendFailed, "%v", err))
}
