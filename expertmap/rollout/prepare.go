package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// ExpertsInUse returns the experts of the map in use, by layer and rank.
func (g *Group) ExpertsInUse(ctx context.Context) ([][][]uint16, error) {
	experts := make([][][]uint16, len(g.ranks))
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
		defer cancel()
		s, err := g.ranks[i].State(callCtx, StateOptions{Experts: true})
		experts[i], errs[i] = s.Experts, err
	})
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	var layers [][][]uint16
	for layer := range experts[0] {
		row := make([][]uint16, len(g.ranks))
		for r := range experts {
			if layer >= len(experts[r]) {
				return nil, merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Responded: r, Detail: "a rank lists fewer layers"})
			}
			row[r] = experts[r][layer]
		}
		layers = append(layers, row)
	}
	return layers, nil
}

// Prepare orders every rank to load a map and returns the map's version, which no other issuer uses. Prepared reports at
// once whether every rank has confirmed that the map is loaded; otherwise a later poll shows it. Ranks that did not
// respond may load it nevertheless.
func (g *Group) Prepare(ctx context.Context, experts [][][]uint16) (int64, error) {
	fence, err := g.currentFence()
	if err != nil {
		return 0, err
	}
	g.highestVersion = max(g.highestVersion, fence*versionsPerFence) + 1
	version := g.highestVersion
	errs := make([]error, len(g.ranks))
	started := time.Now()
	g.forEachRank(func(i int) {
		out := g.retryOutcome(ctx, i, Order{Operation: Prepare, Version: version, Experts: experts}, armAttempts)
		if out.loaded && i < len(g.states) {
			g.states[i].Prepared = version
		}
		var refused *RefusedError
		if errs[i] = out.err; errors.As(out.err, &refused) && !refused.Fenced {
			// The rank may have executed an earlier attempt without a response, and therefore refused a retry. The next
			// poll shows the result.
			errs[i] = nil
		}
	})
	if g.Prepared(version) {
		// A round of orders to arm takes less time, as these are smaller and executed at once.
		g.timing.expectArmTime(time.Since(started))
	}
	return version, errors.Join(errs...)
}

// Prepared reports whether every rank had loaded a version at the last poll or Prepare.
func (g *Group) Prepared(version int64) bool {
	for _, s := range g.states {
		if s.Prepared != version {
			return false
		}
	}
	return true
}
