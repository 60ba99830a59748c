package rollout

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// Fence sends the current fencing token to every rank, so that the ranks refuse the orders of earlier issuers from then
// on. It does nothing if every rank has confirmed the token already.
func (g *Group) Fence(ctx context.Context) error {
	fence, err := g.currentFence()
	if err != nil || fence == g.confirmedFence {
		return err
	}
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, undoAttempts)
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	g.confirmedFence = fence
	return nil
}

// Switching reports whether a switch is in progress that needs no further order: no pass is held, and every rank that
// has not switched is armed for the same pass.
func (g *Group) Switching() bool {
	var armed *Armed
	for _, s := range g.states {
		if s.Held != nil {
			return false
		}
		if s.Armed != nil {
			armed = s.Armed
		}
	}
	if armed == nil || len(g.pendingArms) > 0 {
		return false
	}
	for _, s := range g.states {
		switched := s.Version == armed.Version && s.Pass >= armed.Pass
		if !switched && (s.Armed == nil || *s.Armed != *armed) {
			return false
		}
	}
	return true
}

// Unfinished reports whether a switch has begun and has been neither finished nor undone.
func (g *Group) Unfinished() bool {
	if len(g.pendingArms) > 0 {
		return true
	}
	for _, s := range g.states {
		if s.Armed != nil || s.Held != nil {
			return true
		}
	}
	return false
}

// maxReportAge is the maximum age of a state that is marked as lagging.
const maxReportAge = 600 * time.Millisecond

// statesOutdated reports whether some states may be older than the last order, so that they cannot be used to resolve a
// switch.
func (g *Group) statesOutdated() bool {
	for _, s := range g.states {
		if s.Lagging && time.Since(g.lastOrderAt) < maxReportAge {
			return true
		}
	}
	return false
}

// Resolve finishes a switch for which every rank is armed, and undoes any other. The states must have been polled after
// Fence, so that no other issuer's order can interfere, and must not be outdated.
func (g *Group) Resolve(ctx context.Context) error {
	if g.allArmedForSamePass() {
		return g.releaseAll(ctx)
	}
	g.log.Warn("unfinished switch of an expert map is undone", zap.Int64("epoch", g.epoch), zap.Int64("fence", g.confirmedFence))
	for _, s := range g.states {
		if s.Armed == nil {
			continue
		}
		if begun, err := g.undoSwitch(ctx, *s.Armed); begun || err != nil {
			return err
		}
		break
	}
	if err := g.supersedePendingArms(ctx); err != nil {
		return err
	}
	return g.releaseAll(ctx)
}

func (g *Group) allArmedForSamePass() bool {
	first := g.states[0].Armed
	if first == nil {
		return false
	}
	for _, s := range g.states {
		if s.Armed == nil || *s.Armed != *first {
			return false
		}
	}
	return true
}

// undoSwitch disarms every rank, including those that do not report being armed. It first holds the pass: if the pass
// began while only some ranks are disarmed, the group would have two maps. If the pass can no longer be held, begun is
// true and the next poll shows the state.
func (g *Group) undoSwitch(ctx context.Context, armed Armed) (begun bool, err error) {
	holder := g.holderFor(armed.Pass)
	err = g.retry(ctx, holder, Order{Operation: Hold, Pass: armed.Pass}, undoAttempts)
	var refused *RefusedError
	if errors.As(err, &refused) && !refused.Fenced {
		g.log.Info("switch cannot be undone because its pass has begun", zap.Int64("version", armed.Version),
			zap.Int64("pass", armed.Pass))
		return true, nil
	}
	if err != nil {
		return false, err
	}
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		if i != g.unreachable {
			errs[i] = g.disarm(ctx, i, armed.Version)
		}
	})
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	if g.states[holder].Held == nil {
		g.states[holder].Held = &armed.Pass // releaseAll releases it with the others.
	}
	return false, nil
}

// holderFor returns a rank that can hold a pass. A rank has at most one hold.
func (g *Group) holderFor(pass int64) int {
	for i, s := range g.states {
		if s.Held != nil && *s.Held == pass {
			return i
		}
	}
	for i := range g.states {
		rank := (g.self + i) % len(g.states)
		if g.states[rank].Held == nil && !g.states[rank].Lagging && rank != g.unreachable {
			return rank
		}
	}
	return g.self
}

func (g *Group) disarm(ctx context.Context, rank int, version int64) error {
	return g.retry(ctx, rank, Order{Operation: Disarm, Version: version}, undoAttempts)
}

// supersedePendingArms prepares the map in use under a higher version at each rank that may still execute a pending
// Arm. A rank has a single prepared version, so it then refuses the Arm.
func (g *Group) supersedePendingArms(ctx context.Context) error {
	if len(g.pendingArms) == 0 {
		return nil
	}
	experts, err := g.ExpertsInUse(ctx)
	if err != nil {
		return err
	}
	g.highestVersion++
	o := Order{Operation: Prepare, Version: g.highestVersion, Experts: experts, superseding: true}
	for rank, version := range g.pendingArms {
		if err := g.disarm(ctx, rank, version); err != nil {
			return err
		}
		if err := g.supersede(ctx, rank, o); err != nil {
			return err
		}
		delete(g.pendingArms, rank)
	}
	return nil
}

// supersede sends a superseding Prepare to one rank. It returns nil if the rank reports that the map is prepared, even
// if the last attempt failed.
func (g *Group) supersede(ctx context.Context, rank int, o Order) error {
	err := g.retry(ctx, rank, o, undoAttempts)
	if err == nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
	defer cancel()
	s, stateErr := g.ranks[rank].State(callCtx, StateOptions{})
	if stateErr == nil && s.Epoch == g.epoch && s.Prepared == o.Version && s.Armed == nil {
		return nil
	}
	return errors.Join(err, stateErr)
}

// releaseAll releases every held pass.
func (g *Group) releaseAll(ctx context.Context) error {
	for i, s := range g.states {
		if s.Held == nil {
			continue
		}
		if err := g.retry(ctx, i, Order{Operation: Release, Pass: *s.Held}, undoAttempts); err != nil {
			return err
		}
	}
	return nil
}
