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

// Handover is what a deputy has to know of a switch.
type Handover struct {
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

// Remote is the access to a rank, and to the process beside it, that a switch needs besides Rank.
type Remote interface {
	// Direct gives an order to the rank without the process beside it. Errors are those of Rank.Order.
	Direct(ctx context.Context, o Order) error
	// Begin makes the process beside the rank the deputy of a switch; it returns once that holds.
	Begin(ctx context.Context, h Handover) error
	// OrderPlanner has the deputy give an order to the planner's rank. Errors are those of Rank.Order.
	OrderPlanner(ctx context.Context, o Order) error
	// End tells the deputy that the switch has ended.
	End(ctx context.Context, h Handover) error
}

// UseDeputies lets switches survive the freeze of the planner's instance. Remotes and addresses of the replicas are in order of
// rank.
func (g *Group) UseDeputies(name string, remotes []Remote, addresses []string) {
	g.name, g.remotes, g.addresses = name, remotes, addresses
}

// handover appoints a deputy for a switch, nil if the group has no ranks for it. A switch without deputy is as safe, but the group
// stands still while the planner's instance is frozen.
func (g *Group) handover(ctx context.Context, version int64) *Handover {
	const attempts = 2
	fence, err := g.fence()
	if err != nil || g.remotes == nil {
		return nil
	}
	candidates := g.responsive()
	for i := range attempts {
		if len(candidates) < i+2 {
			break
		}
		h := &Handover{
			Group: g.name, Epoch: g.epoch, Fence: fence, Version: version, Planner: g.self, Deputy: candidates[i],
			Holder: candidates[i+1], Addresses: g.addresses,
		}
		callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
		err := g.remotes[h.Deputy].Begin(callCtx, *h)
		cancel()
		if err == nil {
			return h
		}
		g.log.Info("deputy for a switch not appointed", zap.Int("rank", h.Deputy), zap.Error(err))
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
func (g *Group) endHandover(ctx context.Context, h *Handover) error {
	if h == nil || g.superseded.Load() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
	defer cancel()
	err := g.remotes[h.Deputy].End(callCtx, *h)
	if err != nil {
		g.superseded.Store(true)
		g.log.Info("deputy of a switch did not confirm its end", zap.Int("rank", h.Deputy), zap.Error(err))
	}
	return err
}

// orderFunc returns how an order of a switch is given to a rank: by the deputy to the planner's own, and from afar to the one that
// holds the group.
func (g *Group) orderFunc(h *Handover, rank int) func(ctx context.Context, o Order) error {
	switch {
	case h == nil:
		return g.ranks[rank].Order
	case rank == h.Planner:
		return g.remotes[h.Deputy].OrderPlanner
	}
	return g.ranks[rank].Order
}

// holdFunc returns how orders to hold and to release a pass are given.
func (g *Group) holdFunc(h *Handover) func(ctx context.Context, o Order) error {
	if h == nil {
		return g.ranks[g.self].Order
	}
	return g.remotes[h.Holder].Direct
}

// known is what a deputy knows of the planner's rank, which nobody else can reach.
type known struct {
	// armed is what the deputy has armed the rank for, nil for nothing.
	armed *Armed
	// pending says that an order of the deputy to arm it got no answer and may have been carried out.
	pending bool
}

// PendingError says that the state of the planner's rank is not known, because its instance froze while an order was on its way.
type PendingError struct{ Rank int }

func (e *PendingError) Error() string {
	return "it is not known whether the rank of the planner is armed"
}

// takeOver ends the switch of a planner that has fallen silent, once. The group was made with the deputy's fencing number. It
// returns nil when nothing holds the group any more; after any other error it may be called again.
func (g *Group) takeOver(ctx context.Context, h Handover, k known) error {
	if over, err := g.epochOver(ctx, h); over || err != nil {
		return err
	}
	g.epoch, g.highest = h.Epoch, max(g.highest, h.Version)
	if err := g.fenceReachable(ctx, h.Planner); err != nil {
		return err
	}
	if err := g.pollReachable(ctx, k); err != nil {
		return err
	}
	switch {
	case g.states[0].Epoch != h.Epoch, !g.Unfinished():
		return nil
	case g.unreachable < 0:
		return g.Resolve(ctx)
	case g.states[h.Planner].Armed != nil:
		return g.finish(ctx, *g.states[h.Planner].Armed)
	case k.pending:
		return merry.Wrap(&PendingError{Rank: h.Planner})
	}
	return g.Resolve(ctx)
}

// epochOver says whether the group has broken or was formed anew since the handover. Nothing of a switch is left then.
func (g *Group) epochOver(ctx context.Context, h Handover) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
	defer cancel()
	own, err := g.ranks[h.Deputy].State(callCtx, Want{})
	return err == nil && (own.Epoch != h.Epoch || !own.Open), err
}

// fenceReachable makes the deputy's number known to every rank but that of the planner, and to that one if it answers.
func (g *Group) fenceReachable(ctx context.Context, planner int) error {
	fence, err := g.fence()
	if err != nil {
		return err
	}
	g.unreachable = -1
	errs := make([]error, len(g.ranks))
	g.each(func(i int) {
		attempts := armAttempts
		if i == planner {
			attempts = 1
		}
		errs[i] = g.persist(ctx, i, Order{Operation: Release, Pass: 0}, attempts)
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
func (g *Group) pollReachable(ctx context.Context, k known) error {
	states := make([]State, len(g.ranks))
	errs := make([]error, len(g.ranks))
	g.each(func(i int) {
		if i == g.unreachable {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
		defer cancel()
		states[i], errs[i] = g.ranks[i].State(callCtx, Want{})
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if g.unreachable >= 0 {
		other := states[(g.unreachable+1)%len(states)]
		states[g.unreachable] = State{Epoch: other.Epoch, Rank: g.unreachable, Pass: other.Pass, Version: other.Version}
		if k.armed != nil && other.Version != k.armed.Version {
			states[g.unreachable].Armed = k.armed
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
func (g *Group) finish(ctx context.Context, armed Armed) error {
	errs := make([]error, len(g.ranks))
	g.each(func(i int) {
		if s := g.states[i]; s.Armed != nil && *s.Armed == armed {
			return
		}
		errs[i] = g.persist(ctx, i, Order{Operation: Arm, Version: armed.Version, Pass: armed.Pass}, armAttempts)
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return g.releaseAll(ctx)
}
