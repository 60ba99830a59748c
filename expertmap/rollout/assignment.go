package rollout

import (
	"context"
	"errors"
	"maps"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// A switch must be able to complete while the planner's instance is frozen. The planner's rank is unreachable then, so
// another sidecar must have a record of its state. During a switch, the agent of a rank on a second instance is
// therefore the planner's deputy: it forwards the planner's orders to the planner's rank, and ends the switch if the
// planner stops responding. The hold is placed on the rank of a third instance, to which the planner sends orders
// directly.

// DeputyAssignment describes a switch to the agent that becomes its deputy.
type DeputyAssignment struct {
	Group string `json:"group"`
	Epoch int64  `json:"epoch"`
	// Fence is the fencing token of the planner. The deputy's own token is DeputyFence(Fence).
	Fence int64 `json:"fence"`
	// Number orders the assignments that one planner has made under its fencing token. It begins at 1.
	Number  int64 `json:"number"`
	Version int64 `json:"version"`
	// Planner and Deputy are the ranks on the instances of the planner and the deputy. Holder is the rank that holds
	// the group before the pass of the switch.
	Planner int `json:"planner"`
	Deputy  int `json:"deputy"`
	Holder  int `json:"holder"`
	// Addresses are the addresses of the group's replicas, in order of rank.
	Addresses []string `json:"addresses"`
}

// PlannerFence returns the fencing token of the planner that holds the lease with the given number. The fencing tokens
// of planners are even, which leaves the odd ones to their deputies.
func PlannerFence(lease int64) int64 { return 2 * lease }

// DeputyFence returns the fencing token of the deputy of a planner. It is below that of any later planner.
func DeputyFence(planner int64) int64 { return planner + 1 }

// Peer provides the calls to another rank and its agent that only a switch with a deputy needs.
type Peer interface {
	// OrderDirect sends an order to the rank without using its agent. Errors are those of Rank.Order.
	OrderDirect(ctx context.Context, o Order) error
	// BeginDeputy makes the agent the deputy of a switch. The deputy is active when BeginDeputy returns without an
	// error. After an error it may be active, or may still become active, until the assignment is revoked.
	BeginDeputy(ctx context.Context, assignment DeputyAssignment) error
	// RevokeDeputy cancels an assignment that was not confirmed. When it returns without an error, the agent neither
	// acts on the assignment nor accepts it later.
	RevokeDeputy(ctx context.Context, assignment DeputyAssignment) error
	// OrderPlanner sends an order to the planner's rank through the deputy. Errors are those of Rank.Order.
	OrderPlanner(ctx context.Context, o Order) error
	// EndDeputy ends the deputy's role in the switch. The role has ended when EndDeputy returns without an error.
	EndDeputy(ctx context.Context, assignment DeputyAssignment) error
}

// EnableDeputies makes switches use deputies, so that they complete while the planner's instance is frozen. Peers and
// addresses are in order of rank.
func (g *Group) EnableDeputies(name string, peers []Peer, addresses []string) {
	g.name, g.peers, g.addresses = name, peers, addresses
}

// appointDeputy appoints a deputy for a switch. It returns nil if no suitable rank accepts. A switch without a deputy
// is equally safe, but the group stays held while the planner's instance is frozen. It fails if an assignment was
// neither confirmed nor revoked: its deputy may act at any time, so the planner must not begin a switch under its
// fencing token.
func (g *Group) appointDeputy(ctx context.Context, version int64) (*DeputyAssignment, error) {
	const attempts = 2
	fence, err := g.currentFence()
	if err != nil || g.peers == nil {
		return nil, nil //nolint:nilerr // Without a lease, the first order of the switch fails.
	}
	candidates := g.responsiveRanks()
	for i := range attempts {
		if len(candidates) < i+2 {
			break
		}
		g.lastAssignment++
		assignment := &DeputyAssignment{
			Group: g.name, Epoch: g.epoch, Fence: fence, Number: g.lastAssignment, Version: version, Planner: g.self,
			Deputy: candidates[i], Holder: candidates[i+1], Addresses: g.addresses,
		}
		callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
		err := g.peers[assignment.Deputy].BeginDeputy(callCtx, *assignment)
		cancel()
		if err == nil {
			return assignment, nil
		}
		g.log.Info("rank could not be appointed as the deputy for a switch", zap.Int("rank", assignment.Deputy),
			zap.Int64("assignment", assignment.Number), zap.Error(err))
		if err := g.confirmEnd(ctx, assignment, g.peers[assignment.Deputy].RevokeDeputy); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// confirmEnd calls a method of the deputy that ends or revokes an assignment. Until the deputy confirms, it may take
// over at any time. Without the confirmation, the planner therefore sends no further orders under its token.
func (g *Group) confirmEnd(
	ctx context.Context, assignment *DeputyAssignment, end func(ctx context.Context, assignment DeputyAssignment) error,
) error {
	callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
	defer cancel()
	err := end(callCtx, *assignment)
	if err != nil {
		g.fencedOff.Store(true)
		g.log.Info("deputy did not confirm that its role in a switch has ended", zap.Int("rank", assignment.Deputy),
			zap.Int64("assignment", assignment.Number), zap.Error(err))
	}
	return err
}

// responsiveRanks returns the other ranks whose agents responded to the last poll, beginning after the planner's rank.
func (g *Group) responsiveRanks() []int {
	var out []int
	for i := 1; i < len(g.ranks); i++ {
		rank := (g.self + i) % len(g.ranks)
		if rank < len(g.states) && !g.states[rank].Lagging {
			out = append(out, rank)
		}
	}
	return out
}

// endDeputy ends the deputy's role in a switch.
func (g *Group) endDeputy(ctx context.Context, assignment *DeputyAssignment) error {
	if assignment == nil || g.fencedOff.Load() {
		return nil
	}
	return g.confirmEnd(ctx, assignment, g.peers[assignment.Deputy].EndDeputy)
}

// orderFunc returns the function that delivers an order of a switch to a rank. Orders to the planner's own rank go
// through the deputy.
func (g *Group) orderFunc(assignment *DeputyAssignment, rank int) func(ctx context.Context, o Order) error {
	switch {
	case assignment == nil:
		return g.ranks[rank].Order
	case rank == assignment.Planner:
		return g.peers[assignment.Deputy].OrderPlanner
	}
	return g.ranks[rank].Order
}

// holdFunc returns the function that delivers orders to hold and release a pass.
func (g *Group) holdFunc(assignment *DeputyAssignment) func(ctx context.Context, o Order) error {
	if assignment == nil {
		return g.ranks[g.self].Order
	}
	return repeatedly(g.peers[assignment.Holder].OrderDirect)
}

// plannerRankRecord is the deputy's record of the state of the planner's rank, which is unreachable while the planner's
// instance is frozen.
type plannerRankRecord struct {
	// armed is the version and pass for which the deputy has armed the rank, nil if it has not.
	armed *Armed
	// pending is set if an order from the deputy got no response and may have been, or may still be, executed.
	pending bool
}

// UnknownArmStateError reports that it is unknown whether the planner's rank is armed, because its instance froze while
// an order was in flight.
type UnknownArmStateError struct{ Rank int }

func (e *UnknownArmStateError) Error() string {
	return "it is not known whether the rank of the planner is armed"
}

// tryTakeOver makes one attempt to end the switch of an unresponsive planner. The group must use the deputy's fencing
// token. It returns nil when the group is no longer held; after any error but a fenced *RefusedError it may be called
// again.
func (g *Group) tryTakeOver(ctx context.Context, assignment DeputyAssignment, record plannerRankRecord) error {
	if ended, err := g.epochEnded(ctx, assignment); ended || err != nil {
		return err
	}
	g.epoch, g.highestVersion = assignment.Epoch, max(g.highestVersion, assignment.Version)
	if err := g.fenceReachable(ctx, assignment.Planner); err != nil {
		return err
	}
	if err := g.pollReachable(ctx, record); err != nil {
		return err
	}
	switch {
	case g.states[0].Epoch != assignment.Epoch, !g.Unfinished():
		return nil
	case g.unreachable < 0:
		return g.Resolve(ctx)
	case g.states[assignment.Planner].Armed != nil:
		return g.finishSwitch(ctx, *g.states[assignment.Planner].Armed)
	case record.pending:
		return merry.Wrap(&UnknownArmStateError{Rank: assignment.Planner})
	}
	return g.Resolve(ctx)
}

// epochEnded reports whether the group has stopped serving or formed again since the assignment. The ranks have then
// discarded the switch.
func (g *Group) epochEnded(ctx context.Context, assignment DeputyAssignment) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
	defer cancel()
	own, err := g.ranks[assignment.Deputy].State(callCtx, StateOptions{})
	return err == nil && (own.Epoch != assignment.Epoch || !own.Serving), err
}

// fenceReachable sends the deputy's fencing token to every rank, so that they refuse the planner's orders from then on.
// It succeeds even if the planner's rank does not respond.
func (g *Group) fenceReachable(ctx context.Context, plannerRank int) error {
	fence, err := g.currentFence()
	if err != nil {
		return err
	}
	g.unreachable = -1
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		attempts := armAttempts
		if i == plannerRank {
			attempts = 1
		}
		errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, attempts)
	})
	if errs[plannerRank] != nil {
		var refused *RefusedError
		if errors.As(errs[plannerRank], &refused) {
			return errs[plannerRank]
		}
		g.unreachable, errs[plannerRank] = plannerRank, nil
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	g.confirmedFence = fence
	return nil
}

// pollReachable polls all ranks. If the planner's rank is unreachable, its state is derived from the deputy's record of
// it and the state of another rank.
func (g *Group) pollReachable(ctx context.Context, record plannerRankRecord) error {
	states := make([]State, len(g.ranks))
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		if i == g.unreachable {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
		defer cancel()
		states[i], errs[i] = g.ranks[i].State(callCtx, StateOptions{})
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if g.unreachable >= 0 {
		other := states[(g.unreachable+1)%len(states)]
		states[g.unreachable] = State{Epoch: other.Epoch, Rank: g.unreachable, Pass: other.Pass, Version: other.Version}
		if record.armed != nil && other.Version != record.armed.Version {
			states[g.unreachable].Armed = record.armed
		}
	}
	for _, s := range states {
		if s.Epoch != states[0].Epoch {
			return merry.Wrap(&IncompleteError{Ranks: len(states), Responded: len(states), Detail: "ranks report different epochs"})
		}
	}
	g.states = states
	return nil
}

// finishSwitch arms every rank that is not armed yet and releases the group. The planner's rank is armed and cannot be
// reached to disarm it, so the switch cannot be undone.
func (g *Group) finishSwitch(ctx context.Context, armed Armed) error {
	errs := make([]error, len(g.ranks))
	outcomes := make([]outcome, len(g.ranks))
	g.forEachRank(func(i int) {
		if s := g.states[i]; s.Armed != nil && *s.Armed == armed {
			return
		}
		outcomes[i] = g.retryOutcome(ctx, i, Order{Operation: Arm, Version: armed.Version, Pass: armed.Pass}, armAttempts)
		errs[i] = outcomes[i].err
	})
	if err := errors.Join(errs...); err != nil {
		// If the switch is undone after all, an order without a response may arrive after the undo.
		g.recordPendingArms(outcomes, armed.Version)
		return err
	}
	// Every rank is armed, so that a late order changes nothing.
	maps.DeleteFunc(g.pendingArms, func(_ int, version int64) bool { return version == armed.Version })
	return g.releaseAll(ctx)
}
