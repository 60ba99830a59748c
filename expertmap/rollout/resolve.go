package rollout

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// Fence makes the present fencing number known to every rank, after which no order of an earlier issuer is carried
// out. It does nothing when they know it.
func (g *Group) Fence(ctx context.Context) error {
	fence, err := g.currentFence()
	if err != nil || fence == g.fenced {
		return err
	}
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, undoAttempts)
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	g.fenced = fence
	return nil
}

// Switching says whether a switch is under way that needs no further order: every rank that has not switched yet is armed
// for the same pass, and nothing holds it.
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
	if armed == nil || len(g.lateArms) > 0 {
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

// Unfinished says whether a switch was begun and neither finished nor undone.
func (g *Group) Unfinished() bool {
	if len(g.lateArms) > 0 {
		return true
	}
	for _, s := range g.states {
		if s.Armed != nil || s.Held != nil {
			return true
		}
	}
	return false
}

// reportLag is the age that a lagging report may have.
const maxReportAge = 600 * time.Millisecond

// unclear says that some states may be older than the last order, so that they tell nothing of an unfinished switch yet.
func (g *Group) statesOutdated() bool {
	for _, s := range g.states {
		if s.Lagging && time.Since(g.lastOrderAt) < maxReportAge {
			return true
		}
	}
	return false
}

// Resolve finishes a switch for which every rank is armed, and undoes any other. It needs states that were polled after
// Fence and are not unclear, so that no order of another issuer can interfere.
func (g *Group) Resolve(ctx context.Context) error {
	if g.allArmedForSamePass() {
		return g.releaseAll(ctx)
	}
	g.log.Warn("unfinished switch of an expert map is undone", zap.Int64("epoch", g.epoch), zap.Int64("fence", g.fenced))
	for _, s := range g.states {
		if s.Armed == nil {
			continue
		}
		if begun, err := g.undoSwitch(ctx, *s.Armed); begun || err != nil {
			return err
		}
		break
	}
	if err := g.supersedeLateArms(ctx); err != nil {
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

// undo disarms every rank, also those that do not report to be armed. A rank that switches meanwhile would leave two maps
// in the group, so that the pass is held first; begun says that it could not be, and that the next poll tells more.
func (g *Group) undoSwitch(ctx context.Context, armed Armed) (begun bool, err error) {
	holder := g.holderFor(armed.Pass)
	err = g.retry(ctx, holder, Order{Operation: Hold, Pass: armed.Pass}, undoAttempts)
	var refused *RefusedError
	if errors.As(err, &refused) && !refused.Fenced {
		g.log.Info("the pass of a switch has begun", zap.Int64("version", armed.Version), zap.Int64("pass", armed.Pass))
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
		g.states[holder].Held = &armed.Pass // It is released with the others.
	}
	return false, nil
}

// holderFor returns a rank that can hold a pass: a rank has one hold at a time.
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

// clearSuspects prepares the map in use once more under a higher version at each suspect. A rank has one prepared
// version, so that a late order to arm an older one is refused.
func (g *Group) supersedeLateArms(ctx context.Context) error {
	if len(g.lateArms) == 0 {
		return nil
	}
	content, err := g.ExpertsInUse(ctx)
	if err != nil {
		return err
	}
	g.highestVersion++
	o := Order{Operation: Prepare, Version: g.highestVersion, Experts: content, superseding: true}
	for rank, version := range g.lateArms {
		if err := g.disarm(ctx, rank, version); err != nil {
			return err
		}
		if err := g.supersede(ctx, rank, o); err != nil {
			return err
		}
		delete(g.lateArms, rank)
	}
	return nil
}

// supersede prepares a map at one rank. A refusal is fine when an earlier attempt was carried out after all.
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

// releaseAll releases every pass that is held.
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
