package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// holdAttempts bounds the number of passes that are tried when each of them begins before its hold arrives.
const holdAttempts = 3

// SwitchError reports that a switch failed or was not confirmed. If holding or arming failed, the old map stays in use
// once the switch is undone.
type SwitchError struct {
	Version, Pass int64
	Cause         error
}

func (e *SwitchError) Error() string {
	return fmt.Sprintf("switch to version %d at pass %d was given up: %v", e.Version, e.Pass, e.Cause)
}

func (e *SwitchError) Unwrap() error { return e.Cause }

// Switch switches all ranks to a version that every rank has prepared. It fails with a *SwitchError. If the switch
// could be neither finished nor undone, Unfinished reports true after the next poll.
func (g *Group) Switch(ctx context.Context, version int64) error {
	assignment, err := g.appointDeputy(ctx, version)
	if err != nil {
		return merry.Wrap(&SwitchError{Version: version, Cause: err})
	}
	pass, err := g.hold(ctx, assignment)
	if err != nil {
		err = errors.Join(err, g.endDeputy(ctx, assignment))
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: err})
	}
	started := time.Now()
	outcomes, err := g.arm(ctx, assignment, Order{Operation: Arm, Version: version, Pass: pass})
	g.timing.observeArmTime(time.Since(started))
	if err != nil {
		abortErr := g.abort(ctx, assignment, version, pass, outcomes)
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: errors.Join(err, abortErr)})
	}
	err = errors.Join(g.release(ctx, assignment, pass), g.endDeputy(ctx, assignment))
	if err != nil {
		return merry.Wrap(&SwitchError{Version: version, Pass: pass, Cause: err})
	}
	g.switchPass = pass
	return nil
}

// awaitsSwitchPass reports whether the issuer's own rank shows that the pass of the last switch has not begun. The read
// costs the rank nothing.
func (g *Group) awaitsSwitchPass(ctx context.Context) bool {
	s, err := g.ownState(ctx)
	return err == nil && s.Epoch == g.epoch && s.Pass < g.switchPass
}

// arm arms all ranks and returns the outcomes by rank. With a deputy, the planner's own rank is armed last, through the
// deputy. Before this order, the deputy can undo the switch because the rank is certainly not armed. After it, the
// deputy can finish the switch. The state of the rank is unknown only if the planner's instance freezes while this
// order is in flight.
func (g *Group) arm(ctx context.Context, assignment *DeputyAssignment, o Order) ([]outcome, error) {
	outcomes := make([]outcome, len(g.ranks))
	errs := make([]error, len(g.ranks))
	armRank := func(i int) {
		outcomes[i] = g.retryDelivery(ctx, o, armAttempts, g.orderFunc(assignment, i))
		errs[i] = outcomes[i].err
	}
	g.forEachRank(func(i int) {
		if assignment == nil || i != assignment.Planner {
			armRank(i)
		}
	})
	err := errors.Join(errs...)
	if assignment != nil && err == nil {
		armRank(assignment.Planner)
		err = errs[assignment.Planner]
	}
	return outcomes, err
}

// hold holds the group before a pass that has not begun, and returns the pass.
func (g *Group) hold(ctx context.Context, assignment *DeputyAssignment) (int64, error) {
	var err error
	pass := int64(0)
	for attempt := range holdAttempts {
		var s State
		if s, err = g.ownState(ctx); err != nil {
			return pass, err
		}
		g.timing.observePass(s.Pass, time.Now())
		pass = max(s.Pass+g.timing.leadPasses(len(g.ranks), g.unbalanced)+int64(attempt), g.lastHeldPass+1)
		g.lastHeldPass = pass
		o := Order{Operation: Hold, Pass: pass, Report: &OrderReport{}}
		err = g.send(ctx, o, g.holdFunc(assignment))
		var refused *RefusedError
		if err == nil {
			return pass, nil
		}
		if !errors.As(err, &refused) {
			// The hold may have been executed, or may be executed later. Releasing the pass ends it in the first case;
			// the next poll detects it in the second.
			return pass, errors.Join(err, g.release(ctx, assignment, pass))
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
	return g.ranks[g.self].State(callCtx, StateOptions{})
}

func (g *Group) release(ctx context.Context, assignment *DeputyAssignment, pass int64) error {
	return g.retryDelivery(ctx, Order{Operation: Release, Pass: pass}, undoAttempts, g.holdFunc(assignment)).err
}

// abort undoes a switch, given the outcomes of arming by rank, and releases the group.
func (g *Group) abort(
	ctx context.Context, assignment *DeputyAssignment, version, pass int64, outcomes []outcome,
) error {
	g.recordPendingArms(outcomes, version)
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		if outcomes[i].sent && outcomes[i].err == nil {
			errs[i] = g.retryDelivery(ctx, Order{Operation: Disarm, Version: version}, undoAttempts, g.orderFunc(assignment, i)).err
		}
	})
	if err := errors.Join(errs...); err != nil {
		return errors.Join(err, g.endDeputy(ctx, assignment))
	}
	if err := g.endDeputy(ctx, assignment); err != nil {
		return err
	}
	if err := g.supersedePendingArms(ctx); err != nil {
		return err
	}
	return g.release(ctx, assignment, pass)
}

// recordPendingArms records the ranks at which an Arm of a version may still be executed, given the outcomes by rank.
func (g *Group) recordPendingArms(outcomes []outcome, version int64) {
	for i, o := range outcomes {
		if o.pending {
			g.pendingArms[i] = version
		}
	}
}
