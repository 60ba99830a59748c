package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Times of orders.
const (
	stateTimeout = 300 * time.Millisecond
	orderTimeout = 120 * time.Millisecond
	// The issuer has a fraction of a core, so that each rank adds to the time in which all are asked or ordered.
	statePerRank = 12 * time.Millisecond
	orderPerRank = 5 * time.Millisecond
	// maxCalls bounds the calls in progress, maxCounts the ranks that are asked for their counts.
	maxCalls  = 32
	maxCounts = 16
	// armAttempts and undoAttempts bound the repeats of an order that gets no answer. A group that is held stands still,
	// so arming gives up early, and what undoes it does not.
	armAttempts  = 4
	undoAttempts = 20
)

// Group is a group of ranks under one issuer of orders. It is used by one goroutine.
type Group struct {
	ranks []Rank
	// self is the index of the rank on the issuer's own instance, whose orders travel least.
	self         int
	currentFence func() (int64, error)
	log          *zap.Logger
	// name is that of the group; remotes are the ways by which a switch survives the freeze of one instance, by rank; nil without them.
	name      string
	peers     []Peer
	addresses []string
	// unreachable is the rank of a planner that does not answer, for its deputy; -1 without one.
	unreachable int
	// superseded says that another issuer has used a higher fencing number, so that this one orders nothing more.
	superseded atomic.Bool

	// states are those of the last poll, in order of rank.
	states []State
	epoch  int64
	// fenced is the fencing number that every rank has seen in this epoch.
	fenced int64
	// suspects holds, by rank, the version of an order to arm that got no answer and may be carried out later.
	lateArms map[int]int64
	// highest is the highest version that any rank may have had.
	highestVersion int64
	// lastPass is the last pass that a hold was ordered for. No other hold is for the same pass, so that an order to
	// release it which is carried out late cannot release another.
	lastHeldPass int64
	timing       switchTiming
	// orders guards ordered, the time of the last order, unanswered, that of the last one that got no answer, and answered, the number
	// of answers since.
	ordersMu                      sync.Mutex
	lastOrderAt, lastUnansweredAt time.Time
	answersInARow                 int
}

// NewGroup returns a group of the ranks in order of rank. The fence function returns the fencing number, or an error
// when the lease is not held any more; it is asked before each order.
func NewGroup(ranks []Rank, self int, currentFence func() (int64, error), log *zap.Logger) *Group {
	return &Group{ranks: ranks, self: self, currentFence: currentFence, log: log, lateArms: map[int]int64{}, unreachable: -1}
}

func (g *Group) stateTimeout() time.Duration {
	return stateTimeout + time.Duration(len(g.ranks))*statePerRank
}

func (g *Group) orderTimeout() time.Duration { return groupOrderTimeout(len(g.ranks)) }

// groupOrderTimeout bounds an order in a group of some ranks.
func groupOrderTimeout(ranks int) time.Duration {
	return orderTimeout + time.Duration(ranks)*orderPerRank
}

// States returns the states of the last complete poll, in order of rank.
func (g *Group) States() []State { return g.states }

// IncompleteError says that not every rank of a group answered in the same open epoch, so that no map can change.
type IncompleteError struct {
	Ranks, Answered int
	Detail          string
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%d of %d ranks answered: %s", e.Answered, e.Ranks, e.Detail)
}

// sampled says whether a rank is asked for its counts. The counts of all ranks of a large group are more than an instance's
// link carries; requests are spread evenly over the ranks, so that some of them show the demand. They are always the same,
// because counts that are asked for in turns are late by several polls.
func (g *Group) samplesCounts(rank int) bool {
	n := len(g.ranks)
	return n <= maxCounts || rank*maxCounts/n != (rank+1)*maxCounts/n
}

// Poll asks every rank for its state, and with Want.Counts some of them for their counts. It fails with an
// *IncompleteError.
func (g *Group) Poll(ctx context.Context, opts StateOptions) error {
	states := make([]State, len(g.ranks))
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
		defer cancel()
		rankOpts := opts
		rankOpts.Counts = opts.Counts && g.samplesCounts(i)
		states[i], errs[i] = g.ranks[i].State(callCtx, rankOpts)
	})
	answered := 0
	for _, err := range errs {
		if err == nil {
			answered++
		}
	}
	if err := errors.Join(errs...); err != nil {
		return merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Answered: answered, Detail: err.Error()})
	}
	for i, s := range states {
		if !s.Open || s.Epoch != states[0].Epoch || s.Rank != i || s.Size != len(g.ranks) {
			detail := fmt.Sprintf("rank %d: open %t, epoch %d, rank %d of %d", i, s.Open, s.Epoch, s.Rank, s.Size)
			return merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Answered: answered, Detail: detail})
		}
		g.highestVersion = max(g.highestVersion, s.Version, s.Prepared)
		if s.Armed != nil {
			g.highestVersion = max(g.highestVersion, s.Armed.Version)
		}
	}
	if states[0].Epoch != g.epoch {
		// Orders carry the epoch, so those of the one before are dead.
		g.epoch, g.fenced, g.lastHeldPass, g.timing = states[0].Epoch, 0, 0, switchTiming{}
		clear(g.lateArms)
	}
	g.states = states
	g.timing.observePass(states[0].Pass, time.Now())
	return nil
}

// each calls a function for all ranks at once.
func (g *Group) forEachRank(fn func(i int)) {
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i := range g.ranks {
		calls.Go(func() error { fn(i); return nil })
	}
	_ = calls.Wait() // The functions keep their own errors.
}

// send completes an order and gives it once by a function. Errors are those of Rank.Order and of the fence function.
func (g *Group) send(ctx context.Context, o Order, deliver func(ctx context.Context, o Order) error) error {
	fence, err := g.fenceFor(o)
	if err != nil {
		return err
	}
	o.Fence, o.Epoch = fence, g.epoch
	g.recordOrder(time.Now())
	callCtx, cancel := context.WithTimeout(ctx, g.orderTimeout())
	defer cancel()
	return g.recordOutcome(deliver(callCtx, o))
}

const (
	// probeTime is how long after an order without an answer the next switch is preceded by probes.
	lossMemory = 10 * time.Second
	// calmOrders is the number of answers in a row after which orders count as answered again. Where half of them get lost, the ranks
	// of a small group may well all answer once.
	minAnswersAfterLoss = 12
)

// answers says whether orders get answers at present. A group is held while its ranks are armed, so that a switch is not begun while
// orders get lost. If some were lost lately, each rank is given some that change nothing.
func (g *Group) probeOrders(ctx context.Context) bool {
	for g.suspectsLoss() {
		errs := make([]error, len(g.ranks))
		g.forEachRank(func(i int) { errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, 1) })
		if errors.Join(errs...) != nil {
			return false
		}
	}
	return true
}

func (g *Group) suspectsLoss() bool {
	g.ordersMu.Lock()
	defer g.ordersMu.Unlock()
	return time.Since(g.lastUnansweredAt) < lossMemory && g.answersInARow < minAnswersAfterLoss
}

// noteOutcome remembers an order that got no answer, and a refusal which says that another issuer has taken over.
func (g *Group) recordOutcome(err error) error {
	var refused *RefusedError
	switch {
	case err == nil:
		g.ordersMu.Lock()
		g.answersInARow++
		g.ordersMu.Unlock()
	case !errors.As(err, &refused):
		g.ordersMu.Lock()
		g.lastUnansweredAt, g.answersInARow = time.Now(), 0
		g.ordersMu.Unlock()
	case refused.Fenced:
		g.superseded.Store(true)
	}
	return err
}

// note takes the time of an order. Orders are given to several ranks at once.
func (g *Group) recordOrder(now time.Time) {
	g.ordersMu.Lock()
	defer g.ordersMu.Unlock()
	g.lastOrderAt = now
}

// number returns the fencing number for an order. What ends a switch may be ordered after the lease has ended as well, since
// a rank that knows the fencing number of another issuer refuses it, and the group stands still until someone ends the switch.
func (g *Group) fenceFor(o Order) (int64, error) {
	if g.superseded.Load() {
		return 0, merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: true, Detail: "another issuer has taken over"})
	}
	fence, err := g.currentFence()
	if err != nil && g.endsSwitch(o) {
		return g.fenced, nil
	}
	return fence, err
}

func (g *Group) endsSwitch(o Order) bool {
	return g.fenced != 0 && (o.Operation == Disarm || (o.Operation == Release && o.Pass > 0) || o.superseding)
}

// persist repeats an order until it is answered, and returns the last error.
func (g *Group) retry(ctx context.Context, rank int, o Order, attempts int) error {
	return g.retryOutcome(ctx, rank, o, attempts).err
}

// outcome is what became of an order that was repeated.
type outcome struct {
	err error
	// given says that the order was given at all.
	sent bool
	// pending says that an attempt got no answer and may be carried out later, whatever the last one got.
	pending bool
}

func (g *Group) retryOutcome(ctx context.Context, rank int, o Order, attempts int) outcome {
	return g.retryBy(ctx, o, attempts, g.ranks[rank].Order)
}

func (g *Group) retryBy(
	ctx context.Context, o Order, attempts int, deliver func(ctx context.Context, o Order) error,
) (out outcome) {
	out.sent = true
	for range attempts {
		out.err = g.send(ctx, o, deliver)
		var refused *RefusedError
		if out.err == nil || errors.As(out.err, &refused) {
			return out
		}
		out.pending = true
		if _, fenceErr := g.fenceFor(o); fenceErr != nil {
			out.err = fenceErr
			return out
		}
		if ctx.Err() != nil {
			return out
		}
	}
	return out
}

// ExpertsInUse returns the map in use, by layer and rank.
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
				return nil, merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Answered: r, Detail: "a rank lists fewer layers"})
			}
			row[r] = experts[r][layer]
		}
		layers = append(layers, row)
	}
	return layers, nil
}

// Prepare makes every rank load a map and returns its version. Ranks that did not answer may load it all the same.
func (g *Group) Prepare(ctx context.Context, experts [][][]uint16) (int64, error) {
	g.highestVersion++
	version := g.highestVersion
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		errs[i] = g.retry(ctx, i, Order{Operation: Prepare, Version: version, Experts: experts}, armAttempts)
		var refused *RefusedError
		if errors.As(errs[i], &refused) && !refused.Fenced {
			// An attempt that got no answer may have been carried out; the next poll tells.
			errs[i] = nil
		}
	})
	return version, errors.Join(errs...)
}

// Prepared says whether every rank has loaded a version, by the last poll.
func (g *Group) Prepared(version int64) bool {
	for _, s := range g.states {
		if s.Prepared != version {
			return false
		}
	}
	return true
}
