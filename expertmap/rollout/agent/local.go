package agent

import (
	"context"
	"errors"
	"time"

	"lavendermoor.example/expertmap/rollout"
)

const (
	// localAttemptTimeout bounds the first attempt to send an order to the agent's own rank, which responds within about a
	// millisecond; the timeout grows with each attempt, and the last one has none. An attempt too many does no harm. With a
	// quarter of the orders lost, one order in 16,000 stays without a response after maxLocalAttempts.
	localAttemptTimeout = 5 * time.Millisecond
	maxLocalAttempts    = 7
	// maxLoadWait bounds how long the response to a Prepare is delayed until the rank has loaded the map. The issuer's
	// timeout leaves room for it and for all local attempts. Loading a few experts takes 5 to 20 ms.
	maxLoadWait = 80 * time.Millisecond
	// loadPollInterval is the time between two reads of the rank's state in this time. Reads from its own instance cost
	// the rank nothing.
	loadPollInterval = 4 * time.Millisecond
)

// orderOwnRank sends an order to the agent's rank, repeatedly if the order has a Report. For a Prepare with a Report it
// then waits until the rank has loaded the map.
func (a *Agent) orderOwnRank(ctx context.Context, o rollout.Order) error {
	err := rollout.SendRepeatedly(ctx, o, localAttemptTimeout, maxLocalAttempts, a.deliverUnlessFenced)
	if o.Report == nil || o.Operation != rollout.Prepare {
		return err
	}
	// A rank that has executed an attempt without a response may refuse the next one.
	var refused *rollout.RefusedError
	if err == nil || (errors.As(err, &refused) && !refused.Fenced && o.Report.Unanswered) {
		o.Report.Loaded = a.awaitLoaded(ctx, o)
	}
	return err
}

// deliverUnlessFenced sends an order to the rank unless the agent has received an order of a later issuer, which can
// happen between two attempts.
func (a *Agent) deliverUnlessFenced(ctx context.Context, o rollout.Order) error {
	if err := a.checkFence(o); err != nil {
		return err
	}
	return a.rank.Order(ctx, o)
}

// awaitLoaded waits until the rank has loaded the map of a Prepare, and reports whether it has.
func (a *Agent) awaitLoaded(ctx context.Context, o rollout.Order) bool {
	ctx, cancel := context.WithTimeout(ctx, maxLoadWait)
	defer cancel()
	for ctx.Err() == nil {
		s, err := a.rank.State(ctx, rollout.StateOptions{})
		if err == nil && (s.Epoch != o.Epoch || s.Prepared > o.Version || s.Armed != nil) {
			return false
		}
		if err == nil && s.Prepared == o.Version {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(loadPollInterval):
		}
	}
	return false
}
