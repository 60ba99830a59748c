package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// holdAttempts bounds the passes that are tried when each has begun before the hold arrived.
const holdAttempts = 3

// SwitchError says that a switch was given up; the old map stays in use.
type SwitchError struct {
	Version, Pass int64
	Cause         error
}

func (e *SwitchError) Error() string {
	return fmt.Sprintf("switch to version %d at pass %d was given up: %v", e.Version, e.Pass, e.Cause)
}

// Unwrap returns the cause.
func (e *SwitchError) Unwrap() error { return e.Cause }

// Switch brings a version that every rank has prepared into force. It fails with a *SwitchError; when the switch could
// neither be finished nor undone, Unfinished says so after the next poll.
func (g *Group) Switch(ctx context.Context, version int64) error {
	h := g.handover(ctx, version)
	pass, err := g.hold(ctx, h)
	if err != nil {
		err = errors.Join(err, g.endHandover(ctx, h))
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: err})
	}
	started := time.Now()
	armed, err := g.arm(ctx, h, Order{Operation: Arm, Version: version, Pass: pass})
	g.timing.observeArming(time.Since(started))
	if err != nil {
		undone := g.abort(ctx, h, version, pass, armed)
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: errors.Join(err, undone)})
	}
	err = errors.Join(g.release(ctx, h, pass), g.endHandover(ctx, h))
	if err != nil {
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: err})
	}
	return nil
}

// arm arms all ranks and returns the outcomes by rank. Where a deputy orders the planner's own rank, that one is the last: until
// then the deputy knows that it is not armed and can undo the switch, and afterwards it can finish it. Only while this one order is
// on its way, a frozen planner leaves the deputy without knowledge.
func (g *Group) arm(ctx context.Context, h *Handover, o Order) ([]outcome, error) {
	armed := make([]outcome, len(g.ranks))
	errs := make([]error, len(g.ranks))
	give := func(i int) {
		armed[i] = g.repeatBy(ctx, o, armAttempts, g.orderFunc(h, i))
		errs[i] = armed[i].err
	}
	g.each(func(i int) {
		if h == nil || i != h.Planner {
			give(i)
		}
	})
	err := errors.Join(errs...)
	if h != nil && err == nil {
		give(h.Planner)
		err = errs[h.Planner]
	}
	return armed, err
}

// hold holds the group before a pass that has not begun, and returns the pass.
func (g *Group) hold(ctx context.Context, h *Handover) (int64, error) {
	var err error
	pass := int64(0)
	for attempt := range holdAttempts {
		var s State
		if s, err = g.ownState(ctx); err != nil {
			return pass, err
		}
		g.timing.observePass(s.Pass, time.Now())
		pass = max(s.Pass+g.timing.ahead(len(g.ranks))+int64(attempt), g.lastPass+1)
		g.lastPass = pass
		err = g.send(ctx, Order{Operation: Hold, Pass: pass}, g.holdFunc(h))
		var refused *RefusedError
		if err == nil {
			return pass, nil
		}
		if !errors.As(err, &refused) {
			// The hold may be in force, or come later; releasing it now ends the first case, and a poll finds the second.
			return pass, errors.Join(err, g.release(ctx, h, pass))
		}
		if refused.Fenced {
			return pass, err
		}
	}
	return pass, err
}

func (g *Group) ownState(ctx context.Context) (State, error) {
	callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
	defer cancel()
	return g.ranks[g.self].State(callCtx, Want{})
}

func (g *Group) release(ctx context.Context, h *Handover, pass int64) error {
	return g.repeatBy(ctx, Order{Operation: Release, Pass: pass}, undoAttempts, g.holdFunc(h)).err
}

// abort undoes a switch that was armed with the outcomes given by rank, and lets the group go on.
func (g *Group) abort(ctx context.Context, h *Handover, version, pass int64, armed []outcome) error {
	for i, o := range armed {
		if o.pending {
			g.suspects[i] = version
		}
	}
	failed := make([]error, len(g.ranks))
	g.each(func(i int) {
		if armed[i].given && armed[i].err == nil {
			failed[i] = g.repeatBy(ctx, Order{Operation: Disarm, Version: version}, undoAttempts, g.orderFunc(h, i)).err
		}
	})
	if err := errors.Join(failed...); err != nil {
		return errors.Join(err, g.endHandover(ctx, h))
	}
	if err := g.endHandover(ctx, h); err != nil {
		return err
	}
	if err := g.clearSuspects(ctx); err != nil {
		return err
	}
	return g.release(ctx, h, pass)
}
