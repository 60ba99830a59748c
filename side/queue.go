package side

import (
	"context"
	"errors"
	"time"

	"lavendermoor.example/admission"
	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

// Queue implements Admission with an admission.Gate.
type Queue struct {
	gate *admission.Gate
	// maxSlots is Settings.MaxSlots.
	maxSlots int
}

// WatchedConfiguration is a Configuration that signals changes.
type WatchedConfiguration interface {
	Configuration
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// FollowSlots applies the number of slots that the configuration sets for a server, until the context ends. Until the
// configuration sets a number, that of the settings applies. If the configuration no longer sets one, the last number
// stays.
func (q *Queue) FollowSlots(ctx context.Context, c WatchedConfiguration, server string) {
	var last int
	for {
		changed := c.Changed()
		if st := c.State(); st != nil {
			if n := int(st.Server(server).GetSlots()); n > 0 && n != last {
				last = n
				q.gate.SetSlots(n, max(n, q.maxSlots))
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// limitTolerance is the ratio of observed to lowest service time above which the limit is decreased. It need not be
// tight, because the limit does not exceed the slots by default. It must not be tight either, because the times per
// token of a real engine vary by a quarter with load alone.
const limitTolerance = 2

// NewQueue returns a queue configured by the settings. It fails with an *admission.ConfigError.
func NewQueue(s Settings) (*Queue, error) {
	cfg := admission.DefaultConfig()
	if p := admission.PolicyName(s.Policy); p != admission.Fair {
		cfg = admission.BaselineConfig(p)
	}
	cfg.Limit.Initial = s.Slots
	cfg.Limit.Tolerance = limitTolerance
	cfg.Limit.Min = min(cfg.Limit.Min, s.Slots)
	// An engine queues requests beyond its slots in FIFO order, where short requests would wait behind long ones.
	cfg.Limit.Max = max(s.Slots, s.MaxSlots)
	gate, err := admission.NewGate(cfg)
	if err != nil {
		return nil, err
	}
	return &Queue{gate: gate, maxSlots: s.MaxSlots}, nil
}

// Acquire implements Admission.
func (q *Queue) Acquire(
	ctx context.Context, w *peerapi.Work, maxTokens int,
) (func(tokens int, ok bool), *callerapi.Error) {
	permit, err := q.gate.Acquire(ctx, w, maxTokens)
	if err != nil {
		return nil, translateRefusal(err)
	}
	start := time.Now()
	return func(tokens int, ok bool) {
		if !ok {
			permit.Release()
			return
		}
		permit.Done(tokens, time.Since(start))
	}, nil
}

// translateRefusal converts an error of the gate to the error sent to the caller. An error of the gate always means
// that the request did not run.
func translateRefusal(err error) *callerapi.Error {
	var refused *admission.RefusedError
	var canceled *admission.CanceledError
	switch {
	case errors.As(err, &refused):
		return refused.Caller()
	case errors.As(err, &canceled):
		return canceled.Caller()
	}
	return callerapi.NotExecuted(callerapi.InvalidRequest, "%v", err)
}

// Drain implements Admission.
func (q *Queue) Drain() { q.gate.Drain() }

// Load implements Admission.
func (q *Queue) Load(l *peerapi.LoadReport) { q.gate.Load(l) }
