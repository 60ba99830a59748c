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

// Timeouts and limits of the calls to ranks.
const (
	stateTimeout = 300 * time.Millisecond
	orderTimeout = 120 * time.Millisecond
	// The timeouts grow with the number of ranks because the issuer calls all ranks on a fraction of a core.
	stateTimeoutPerRank = 12 * time.Millisecond
	orderTimeoutPerRank = 5 * time.Millisecond
	maxConcurrentCalls  = 32
	// maxSampledRanks bounds the number of ranks whose counts are polled.
	maxSampledRanks = 16
	// armAttempts and undoAttempts bound the attempts to send an order that gets no response. Arming fails early
	// because a held group serves nothing; orders that undo a switch are retried longer.
	armAttempts  = 4
	undoAttempts = 20
)

// Group controls the ranks of a group on behalf of one issuer of orders, a planner or a deputy. It must be used by a
// single goroutine.
type Group struct {
	ranks []Rank
	// self is the rank on the issuer's own instance, which is the fastest to reach.
	self         int
	currentFence func() (int64, error)
	log          *zap.Logger
	// name, peers and addresses are used by switches with a deputy. peers and addresses are in order of rank; peers is
	// nil if deputies are not enabled.
	name      string
	peers     []Peer
	addresses []string
	// lastAssignment is the number of the last assignment of a deputy.
	lastAssignment int64
	// unreachable is the unresponsive planner's rank while a deputy takes over, -1 if there is none.
	unreachable int
	// fencedOff is set once another issuer has used, or may use, a higher fencing token. No orders are sent from then
	// on.
	fencedOff atomic.Bool

	// states are the results of the last poll, in order of rank.
	states []State
	epoch  int64
	// confirmedFence is the fencing token that every rank has confirmed in this epoch, 0 if there is none.
	confirmedFence int64
	// pendingArms holds, by rank, the version of an Arm that got no response and may still be executed.
	pendingArms map[int]int64
	// highestVersion is the highest version that any rank may have received.
	highestVersion int64
	// lastHeldPass is the last pass for which a hold was ordered. Each pass is held at most once, so that a delayed
	// Release cannot end the hold of another switch.
	lastHeldPass int64
	// switchPass is the pass of the last completed switch.
	switchPass int64
	timing     switchTiming
	// unbalanced is set by the planner while the map in use does not suit the demand.
	unbalanced bool
	// ordersMu guards the times of the last order and of the last order without a response, and the number of responses
	// since the latter. Orders may be sent to several ranks concurrently.
	ordersMu                      sync.Mutex
	lastOrderAt, lastNoResponseAt time.Time
	consecutiveResponses          int
}

// NewGroup returns a group of the given ranks, in order of rank. currentFence returns the fencing token, or an error
// when the lease is no longer held; it is called before each order.
func NewGroup(ranks []Rank, self int, currentFence func() (int64, error), log *zap.Logger) *Group {
	return &Group{
		ranks: ranks, self: self, currentFence: currentFence, log: log, pendingArms: map[int]int64{}, unreachable: -1,
	}
}

// ContinueFrom makes g remember what the orders of an earlier Group for the same ranks may still cause. Both have the same
// fencing token, so the ranks do not refuse late orders of the earlier one. It must be called before the first Poll.
func (g *Group) ContinueFrom(earlier *Group) {
	g.epoch, g.pendingArms, g.highestVersion = earlier.epoch, earlier.pendingArms, earlier.highestVersion
	g.lastHeldPass, g.lastAssignment = earlier.lastHeldPass, earlier.lastAssignment
	g.fencedOff.Store(earlier.fencedOff.Load())
	earlier.ordersMu.Lock()
	defer earlier.ordersMu.Unlock()
	g.lastOrderAt, g.lastNoResponseAt = earlier.lastOrderAt, earlier.lastNoResponseAt
	g.consecutiveResponses = earlier.consecutiveResponses
}

// versionsPerFence is the number of versions that belong to one fencing token. A rank reports a version only once it is
// loaded, so an issuer does not know all versions that earlier ones have ordered. A version that is ordered again with
// another content could leave two ranks with different maps of the same version.
const versionsPerFence = 1 << 16

func (g *Group) stateTimeout() time.Duration {
	return stateTimeout + time.Duration(len(g.ranks))*stateTimeoutPerRank
}

func (g *Group) orderTimeout() time.Duration { return groupOrderTimeout(len(g.ranks)) }

// groupOrderTimeout returns the timeout of an order in a group with the given number of ranks.
func groupOrderTimeout(ranks int) time.Duration {
	return orderTimeout + time.Duration(ranks)*orderTimeoutPerRank
}

// States returns the states of the last complete poll, in order of rank.
func (g *Group) States() []State { return g.states }

// IncompleteError reports that not every rank responded, or that the ranks are not all in the same epoch of a serving
// group. The map of a group in this state cannot be changed.
type IncompleteError struct {
	Ranks, Responded int
	Detail           string
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%d of %d ranks answered: %s", e.Responded, e.Ranks, e.Detail)
}

// samplesCounts reports whether the counts of a rank are polled. The counts of all ranks of a large group exceed the
// network bandwidth of an instance. Requests are spread evenly over the ranks, so a sample of ranks is representative
// of the demand. The sample is fixed because counts that are polled in rotation are several polls old.
func (g *Group) samplesCounts(rank int) bool {
	n := len(g.ranks)
	return n <= maxSampledRanks || rank*maxSampledRanks/n != (rank+1)*maxSampledRanks/n
}

// Poll requests the state of every rank and, with StateOptions.Counts, the counts of a sample of ranks. It fails with
// an *IncompleteError.
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
	responded := 0
	for _, err := range errs {
		if err == nil {
			responded++
		}
	}
	if err := errors.Join(errs...); err != nil {
		return merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Responded: responded, Detail: err.Error()})
	}
	for i, s := range states {
		if !s.Serving || s.Epoch != states[0].Epoch || s.Rank != i || s.Size != len(g.ranks) {
			detail := fmt.Sprintf("rank %d: open %t, epoch %d, rank %d of %d", i, s.Serving, s.Epoch, s.Rank, s.Size)
			return merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Responded: responded, Detail: detail})
		}
		g.highestVersion = max(g.highestVersion, s.Version, s.Prepared)
		if s.Armed != nil {
			g.highestVersion = max(g.highestVersion, s.Armed.Version)
		}
	}
	if states[0].Epoch != g.epoch {
		// Orders carry the epoch, so orders of an earlier epoch have no effect.
		g.epoch, g.confirmedFence, g.lastHeldPass, g.timing = states[0].Epoch, 0, 0, switchTiming{}
		clear(g.pendingArms)
	}
	g.states = states
	g.timing.observePass(states[0].Pass, time.Now())
	return nil
}

// PollCounts requests the states and counts of the sampled ranks only, after a complete Poll. It reports whether all of
// them responded in the epoch of that poll; the next Poll shows the reason otherwise.
func (g *Group) PollCounts(ctx context.Context) bool {
	states := make([]State, len(g.ranks))
	errs := make([]error, len(g.ranks))
	g.forEachRank(func(i int) {
		if !g.samplesCounts(i) {
			states[i] = g.states[i]
			states[i].Counts = nil
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, g.stateTimeout())
		defer cancel()
		states[i], errs[i] = g.ranks[i].State(callCtx, StateOptions{Counts: true})
		if errs[i] == nil && (states[i].Epoch != g.epoch || !states[i].Serving) {
			errs[i] = merry.Wrap(&IncompleteError{Ranks: len(g.ranks), Detail: "a rank has left the epoch"})
		}
	})
	if errors.Join(errs...) != nil {
		return false
	}
	g.states = states
	return true
}

// forEachRank calls fn for all ranks concurrently.
func (g *Group) forEachRank(fn func(i int)) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for i := range g.ranks {
		calls.Go(func() error { fn(i); return nil })
	}
	_ = calls.Wait() // fn stores its own errors.
}

// send adds the fencing token and epoch to an order and delivers it once. Errors are those of Rank.Order and of
// currentFence.
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
	// lossWindow is the time after an order without a response during which probe orders are sent before a switch.
	lossWindow = 10 * time.Second
	// minResponsesAfterLoss is the number of consecutive responses after which the loss counts as over. One round of
	// orders is not enough: when half of the orders are lost, all ranks of a small group may still respond to it.
	minResponsesAfterLoss = 12
)

// probeOrders reports whether the ranks currently respond to orders. A group is held while its ranks are armed, so no
// switch should begin while orders are lost. After a recent loss, probeOrders sends orders that change nothing to all
// ranks, in any case once, until it has received enough responses.
func (g *Group) probeOrders(ctx context.Context) bool {
	for round := 0; g.suspectsLoss(round); round++ {
		errs := make([]error, len(g.ranks))
		g.forEachRank(func(i int) { errs[i] = g.retry(ctx, i, Order{Operation: Release, Pass: 0}, 1) })
		if errors.Join(errs...) != nil {
			return false
		}
	}
	return true
}

// suspectsLoss reports whether orders may still be lost after the given number of complete rounds of probes. Responses
// to earlier orders alone do not end the suspicion: a large group sends enough of them with a single map.
func (g *Group) suspectsLoss(rounds int) bool {
	g.ordersMu.Lock()
	defer g.ordersMu.Unlock()
	return time.Since(g.lastNoResponseAt) < lossWindow && (rounds == 0 || g.consecutiveResponses < minResponsesAfterLoss)
}

// recordOutcome records whether an order got a response, and whether another issuer has taken over.
func (g *Group) recordOutcome(err error) error {
	var refused *RefusedError
	switch {
	case err == nil:
		g.ordersMu.Lock()
		g.consecutiveResponses++
		g.ordersMu.Unlock()
	case !errors.As(err, &refused):
		g.ordersMu.Lock()
		g.lastNoResponseAt, g.consecutiveResponses = time.Now(), 0
		g.ordersMu.Unlock()
	case refused.Fenced:
		g.fencedOff.Store(true)
	}
	return err
}

// recordOrder records the time of an order.
func (g *Group) recordOrder(now time.Time) {
	g.ordersMu.Lock()
	defer g.ordersMu.Unlock()
	g.lastOrderAt = now
}

// fenceFor returns the fencing token for an order. Orders that end a switch are allowed after the lease has expired,
// because the group stays held until an issuer ends the switch. Ranks that have received the token of a newer issuer
// refuse them.
func (g *Group) fenceFor(o Order) (int64, error) {
	if g.fencedOff.Load() {
		return 0, merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: true, Detail: "another issuer has taken over"})
	}
	fence, err := g.currentFence()
	if err != nil && g.endsSwitch(o) {
		return g.confirmedFence, nil
	}
	return fence, err
}

func (g *Group) endsSwitch(o Order) bool {
	return g.confirmedFence != 0 && (o.Operation == Disarm || (o.Operation == Release && o.Pass > 0) || o.superseding)
}

// retry sends an order until it gets a response, and returns the last error.
func (g *Group) retry(ctx context.Context, rank int, o Order, attempts int) error {
	return g.retryOutcome(ctx, rank, o, attempts).err
}

// outcome is the result of sending an order with retries.
type outcome struct {
	err error
	// sent is false if no attempt was made.
	sent bool
	// pending is set if an attempt got no response and may still be executed, whatever the result of the last attempt.
	pending bool
	// loaded is set if the rank has loaded the map of a Prepare.
	loaded bool
}

func (g *Group) retryOutcome(ctx context.Context, rank int, o Order, attempts int) outcome {
	return g.retryDelivery(ctx, o, attempts, g.ranks[rank].Order)
}

func (g *Group) retryDelivery(
	ctx context.Context, o Order, attempts int, deliver func(ctx context.Context, o Order) error,
) (out outcome) {
	out.sent = true
	for range attempts {
		o.Report = &OrderReport{}
		out.err = g.send(ctx, o, deliver)
		out.pending = out.pending || o.Report.Unanswered
		out.loaded = out.loaded || o.Report.Loaded
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
