package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lavendermoor.example/expertmap/rollout"
)

// agentTimeoutFraction is the fraction of the time until the deadline for which State waits for the agent. The rest is
// left for a direct call.
const agentTimeoutFraction = 0.6

// Fallback calls a rank through its agent, and directly while the agent does not respond. Direct calls from other
// instances cost the rank more, so a state that is read directly has no counts. It is safe for concurrent use.
type Fallback struct {
	agent, direct rollout.Rank
	// failing is set if the last call of State through the agent failed, or a later order got no response.
	failing atomic.Bool
}

// NewFallback returns a Fallback that calls a rank through agent and, while that fails, through direct.
func NewFallback(agent, direct rollout.Rank) *Fallback {
	return &Fallback{agent: agent, direct: direct}
}

// State implements rollout.Rank.
func (f *Fallback) State(ctx context.Context, opts rollout.StateOptions) (rollout.State, error) {
	agentCtx, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		agentCtx, cancel = context.WithTimeout(ctx, time.Duration(agentTimeoutFraction*float64(time.Until(deadline))))
	}
	s, err := f.agent.State(agentCtx, opts)
	cancel()
	f.failing.Store(err != nil)
	if err == nil {
		return s, nil
	}
	opts.Counts = false
	s, err = f.direct.State(ctx, opts)
	s.Lagging = true // The states that ranks report to other instances are a few hundred milliseconds old.
	return s, err
}

// Order implements rollout.Rank.
func (f *Fallback) Order(ctx context.Context, o rollout.Order) error {
	if f.failing.Load() {
		return f.direct.Order(ctx, o)
	}
	err := f.agent.Order(ctx, o)
	var refused *rollout.RefusedError
	if err != nil && !errors.As(err, &refused) {
		f.failing.Store(true)
	}
	return err
}
