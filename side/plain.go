package side

import (
	"context"
	"sync/atomic"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

// FIFO is the baseline admission: a number of slots, taken in the order of arrival.
type FIFO struct {
	slots            chan struct{}
	waiting, running atomic.Int64
	draining         atomic.Bool
}

// NewFIFO returns an admission with the given number of slots.
func NewFIFO(slots int) *FIFO { return &FIFO{slots: make(chan struct{}, slots)} }

// Acquire implements Admission.
func (f *FIFO) Acquire(ctx context.Context, w *peerapi.Work, _ int) (func(int), *callerapi.Error) {
	if f.draining.Load() {
		return nil, callerapi.NotRun(callerapi.Draining, "server is draining").WithRetryAfter(drainRetry)
	}
	f.waiting.Add(1)
	defer f.waiting.Add(-1)
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, callerapi.NotRun(callerapi.DeadlineExceeded, "request %s waited until its deadline", w.ID)
	}
	f.running.Add(1)
	return func(int) { f.running.Add(-1); <-f.slots }, nil
}

// Drain implements Admission.
func (f *FIFO) Drain() { f.draining.Store(true) }

// Load implements Admission.
func (f *FIFO) Load(l *peerapi.Load) {
	l.Running = int(f.running.Load())
	l.Waiting = int(f.waiting.Load())
	l.Limit = cap(f.slots)
}

// Once runs each call as it comes: no token or key is known.
type Once struct{}

// Call implements Calls.
func (Once) Call(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" || r.Key != "" {
		return nil, callerapi.NotRun(callerapi.InvalidRequest, "tokens and idempotency keys are not enabled")
	}
	return run(ctx)
}
