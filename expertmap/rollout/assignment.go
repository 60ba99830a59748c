package rollout

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// A switch has to go on when the instance of its planner freezes: nobody reaches that instance's rank meanwhile, so that its
// state must be known to somebody else. A second process, the deputy, therefore gives the orders to the planner's rank between
// hold and release, and ends the switch when the planner falls silent. The planner holds the group at the rank of a third
// instance, by an order from afar.

// DeputyAssignment is what a deputy has to know of a switch.
type DeputyAssignment struct {
	Group string `json:"group"`
	Epoch int64  `json:"epoch"`
	// Fence is the fencing number of the planner. The deputy's own is DeputyFence(Fence).
	Fence   int64 `json:"fence"`
	Version int64 `json:"version"`
	// Planner, Deputy and Holder are the ranks beside which the planner and its deputy run, and the one that holds the group.
	Planner int `json:"planner"`
	Deputy  int `json:"deputy"`
	Holder  int `json:"holder"`
	// Addresses are those of the group's replicas in order of rank.
	Addresses []string `json:"addresses"`
}

// PlannerFence returns the fencing number of the orders of a planner whose lease has a number.
func PlannerFence(lease int64) int64 { return 2 * lease }

// DeputyFence returns the fencing number of the deputy of a planner. It lies below those of later planners.
func DeputyFence(planner int64) int64 { return planner + 1 }

// Peer is the access to a rank, and to the process beside it, that a switch needs besides Rank.
type Peer interface {
	// OrderDirect gives an order to the rank without the process beside it. Errors are those of Rank.Order.
	OrderDirect(ctx context.Context, o Order) error
	// BeginDeputy makes the process beside the rank the deputy of a switch; it returns once that holds.
	BeginDeputy(ctx context.Context, assignment DeputyAssignment) error
	// OrderPlanner has the deputy give an order to the planner's rank. Errors are those of Rank.Order.
	OrderPlanner(ctx context.Context, o Order) error
	// EndDeputy tells the deputy that the switch has ended.
	EndDeputy(ctx context.Context, assignment DeputyAssignment) error
}

// EnableDeputies lets switches survive the freeze of the planner's instance. Remotes and addresses of the replicas are in order of
// rank.
func (g *Group) EnableDeputies(name string, peers []Peer, addresses []string) {
	g.name, g.peers, g.addresses = name, peers, addresses
}

// handover appoints a deputy for a switch, nil if the group has no ranks for it. A switch without deputy is as safe, but the group
// stands still while the planner's instance is frozen.
func (g *Group) appointDeputy(ctx context.Context, version int64) *DeputyAssignment {
	const attempts = 2
	fence, err := g.currentFence()
	if err != nil || g.peers == nil {
		return nil
	}
	candidates := g.responsive()
	for i := range attempts {
		if len(candidates) < i+2 {
			break
		}
		assignment := &DeputyAssignment{
			Group: g.name, Epoch: g.epoch, Fence: fence, Version: version, Planner: g.self, Deputy: candidates[i],
			Holder: candidates[i+1], Addresses: g.addresses,
		}
		callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
		err := g.peers[assignment.Deputy].BeginDeputy(callCtx, *assignment)
		cancel()
		if err == nil {
			return assignment
		}
		g.log.Info("deputy for a switch not appointed", zap.Int("rank", assignment.Deputy), zap.Error(err))
	}
	return nil
}

// responsive returns the other ranks whose processes answered the last poll, those after the planner's own rank first.
func (g *Group) responsive() []int {
	var out []int
	for i := 1; i < len(g.ranks); i++ {
		rank := (g.self + i) % len(g.ranks)
		if rank < len(g.states) && !g.states[rank].Lagging {
			out = append(out, rank)
		}
	}
	return out
}

// endHandover ends the deputy's part in a switch. Until the deputy has confirmed that, it may take over at any time, so that an issuer
// without the confirmation orders nothing more under its number.
func (g *Group) endDeputy(ctx context.Context, assignment *DeputyAssignment) error {
	if assignment == nil || g.superseded.Load() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
	defer cancel()
	err := g.peers[assignment.Deputy].EndDeputy(callCtx, *assignment)
	if err != nil {
		g.superseded.Store(true)
		g.log.Info("deputy of a switch did not confirm its end", zap.Int("rank", assignment.Deputy), zap.Error(err))
	}
	return err
}

// orderFunc returns how an order of a switch is given to a rank: by the deputy to the planner's own, and from afar to the one that
// holds the group.
func (g *Group) orderFunc(assignment *DeputyAssignment, rank int) func(ctx context.Context, o Order) error {
	switch {
	case assignment == nil:
		return g.ranks[rank].Order
	case rank == assignment.Planner:
		return g.peers[assignment.Deputy].OrderPlanner
	}
	return g.ranks[rank].Order
}

// holdFunc returns how orders to hold and to release a pass are given.
func (g *Group) holdFunc(assignment *DeputyAssignment) func(ctx context.Context, o Order) error {
	if assignment == nil {
		return g.ranks[g.self].Order
	}
	return g.peers[assignment.Holder].OrderDirect
}

// known is what a deputy knows of the planner's rank, which nobody else can reach.
type plannerRank struct {
	// armed is what the deputy has armed the rank for, nil for nothing.
	armed *Armed
	// pending says that an order of the deputy to arm it got no answer and may have been carried out.
	pending bool
}

// UnknownArmStateError says that the state of the planner's rank is not known, because its instance froze while an order was on its way.
type UnknownArmStateError struct{ Rank int }

func (e *UnknownArmStateError) Error() string {
	return "it is not known whether the rank of the planner is armed"
}

// takeOver ends the switch of a planner that has fallen silent, once. The group was made with the deputy's fencing number. It
// returns nil when nothing holds the group any more; after any other error it may be called again.
func (g *Group) tryTakeOver(ctx context.Context, assignment DeputyAssignment, planner plannerRank) error {
	if ended, err := g.epochEnded(ctx, assignment); ended || err != nil {
		return err
	}
	g.epoch, g.highestVersion = assignment.Epoch, max(g.highestVersion, assignment.Version)
	if err := g.fenceReachable(ctx, assignment.Planner); err != nil {
		return err
	}
	if err := g.pollReachable(ctx, planner); err != nil {
		return err
	}
	switch {
	case g.states[0].Epoch != assignment.Epoch, !g.Unfinished():
		return nil
	case g.unreachable < 0:
		return g.Resolve(ctx)
	case g.states[assignment.Planner].Armed != nil:
		return g.finishSwitch(ctx, *g.states[assignment.Planner].Armed)
	case planner.pending:
		return merry.Wrap(&UnknownArmStateError{Rank: assignment.Planner})
	}
	return g.Resolve(ctx)
}

// epochOver says whether the group has broken or was formed anew since the handover. Nothing of a switch is left then.
func (g *Group) epochEnded(ctx context.Context, assignment DeputyAssignment) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
	defer cancel()
	own, err := g.ranks[assignment.Deputy].State(callCtx, StateOptions{})
	return err == nil && (own.Epoch != assignment.Epoch || !own.Open), err
}

// fenceReachable makes the deputy's number known to every rank but that of the planner, and to that one if it answers.
func (g *Group) fenceReachable(ctx context.Context, planner int) error {
	fence, err := g.currentFence()
	if err != nil {
		return err
	}
	g.unreachable = -1
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		attempts := armAttempts
		if i == planner {
			attempts = 1
		}
		errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, attempts)
	})
	if errs[planner] != nil {
		var refused *RefusedError
		if errors.As(errs[planner], &refused) {
			return errs[planner]
		}
		g.unreachable, errs[planner] = planner, nil
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	g.fenced = fence
	return nil
}

// pollReachable reads the states of all ranks; that of a planner's rank that does not answer is what the deputy knows.
func (g *Group) pollReachable(ctx context.Context, planner plannerRank) error {
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
		if planner.armed != nil && other.Version != planner.armed.Version {
			states[g.unreachable].Armed = planner.armed
		}
	}
	for _, s := range states {
		if s.Epoch != states[0].Epoch {
			return merry.Wrap(&IncompleteError{Ranks: len(states), Answered: len(states), Detail: "ranks report different epochs"})
		}
	}
	g.states = states
	return nil
}

// finish arms every rank that is not armed yet, and releases the group. The planner's rank is armed and cannot be reached, so that
// this is the only way on.
func (g *Group) finishSwitch(ctx context.Context, armed Armed) error {
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		if s := g.states[i]; s.Armed != nil && *s.Armed == armed {
			return
		}
		errs[i] = g.retry(ctx, i, Order{Operation: Arm, Version: armed.Version, Pass: armed.Pass}, armAttempts)
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return g.releaseAll(ctx)
}
