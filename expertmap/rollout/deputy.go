package rollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const (
	// firstProbeDelay is the time before the first liveness probe of a planner, probeInterval the time between two
	// probes.
	firstProbeDelay = 100 * time.Millisecond
	probeInterval   = 40 * time.Millisecond
	// probeTimeout plus probeTimeoutPerRank for each rank bounds a probe. It grows with the number of ranks because the
	// planner's CPU is busy sending orders to them. The deputy takes over after maxMissedProbes consecutive failed
	// probes.
	probeTimeout        = 80 * time.Millisecond
	probeTimeoutPerRank = time.Millisecond
	maxMissedProbes     = 2
	// watchTimeout bounds the supervision of a switch when the planner stays alive but does not end the switch.
	watchTimeout = 30 * time.Second
	// takeOverRetryInterval is the time between two attempts to end a switch. After takeOverTimeout the planner's lease
	// has expired, and the next planner ends the switch.
	takeOverRetryInterval = 50 * time.Millisecond
	takeOverTimeout       = 20 * time.Second
)

// DeputyOptions are the dependencies of a Deputy.
type DeputyOptions struct {
	// Group returns the group of an assignment, with orders under the deputy's fencing token.
	Group func(assignment DeputyAssignment) *Group
	// Planner returns direct access to the planner's rank.
	Planner func(assignment DeputyAssignment) Rank
	// Alive probes the planner's sidecar. It fails if the sidecar does not respond.
	Alive func(ctx context.Context, assignment DeputyAssignment) error
	Log   *zap.Logger
}

// Deputy is a backup coordinator that runs in the agent of one rank and ends the switches of unresponsive planners. It
// is safe for concurrent use.
type Deputy struct {
	opts DeputyOptions

	takeOvers atomic.Int64

	mu      sync.Mutex
	current *watchedSwitch
	// latest is the latest assignment that has begun or was revoked. Earlier ones that arrive after it are refused.
	latest assignmentOrder
}

// assignmentOrder is the position of an assignment in the order in which all planners of a group made theirs.
type assignmentOrder struct{ fence, number int64 }

func (a DeputyAssignment) order() assignmentOrder { return assignmentOrder{a.Fence, a.Number} }

// compare returns a negative number if o is before p, 0 if they are equal, and a positive number if o is after p.
func (o assignmentOrder) compare(p assignmentOrder) int {
	return cmp.Or(cmp.Compare(o.fence, p.fence), cmp.Compare(o.number, p.number))
}

// TakeOvers returns the number of switches taken over.
func (d *Deputy) TakeOvers() int64 { return d.takeOvers.Load() }

// watchedSwitch is a switch supervised by a deputy.
type watchedSwitch struct {
	DeputyAssignment

	// orderLock has capacity 1 and is locked while it is full. It guards the fields below and is held during an order
	// to the planner's rank.
	orderLock     chan struct{}
	plannerRecord plannerRankRecord
	// takenOver is set once the deputy has taken over. ended is set once the planner has ended the switch or the
	// supervision has timed out.
	takenOver, ended bool
}

// NewDeputy returns a deputy that supervises no switch.
func NewDeputy(opts DeputyOptions) *Deputy { return &Deputy{opts: opts} }

// NotDeputyError reports that the agent is not, or no longer, the deputy of a switch.
type NotDeputyError struct {
	Fence     int64
	TakenOver bool
}

func (e *NotDeputyError) Error() string {
	if e.TakenOver {
		return "the deputy has taken over"
	}
	return "this process is not the deputy of the switch"
}

// DeputyAssignmentError reports an assignment with an invalid rank, or one in which the planner's rank has a second
// role.
type DeputyAssignmentError struct{ Planner, Deputy, Holder, Ranks int }

func (e *DeputyAssignmentError) Error() string {
	return fmt.Sprintf("planner %d, deputy %d and holder %d are not three ranks of %d", e.Planner, e.Deputy, e.Holder, e.Ranks)
}

func (a DeputyAssignment) validate() error {
	ranks := len(a.Addresses)
	for _, rank := range []int{a.Planner, a.Deputy, a.Holder} {
		if rank < 0 || rank >= ranks {
			return merry.Wrap(&DeputyAssignmentError{a.Planner, a.Deputy, a.Holder, ranks})
		}
	}
	if a.Planner == a.Deputy || a.Planner == a.Holder {
		return merry.Wrap(&DeputyAssignmentError{a.Planner, a.Deputy, a.Holder, ranks})
	}
	return nil
}

// Begin makes the agent the deputy of a switch until the switch ends, another one begins or watchTimeout has passed. It
// fails with a *DeputyAssignmentError, or with a *NotDeputyError if the assignment was revoked, if the agent has a later
// one, or if it has taken over from this planner.
func (d *Deputy) Begin(ctx context.Context, assignment DeputyAssignment) error {
	if err := assignment.validate(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if assignment.order().compare(d.latest) <= 0 {
		return merry.Wrap(&NotDeputyError{Fence: assignment.Fence})
	}
	// A planner assigns another switch only after the present one has ended for it.
	if err := d.endCurrent(assignment); err != nil {
		return err
	}
	d.opts.Log.Info("deputy of a switch", zap.String("group", assignment.Group), zap.Int64("fence", assignment.Fence),
		zap.Int64("assignment", assignment.Number), zap.Int64("version", assignment.Version),
		zap.Int("planner", assignment.Planner), zap.Int("holder", assignment.Holder))
	w := &watchedSwitch{DeputyAssignment: assignment, orderLock: make(chan struct{}, 1)}
	d.current = w
	go d.watch(context.WithoutCancel(ctx), w)
	return nil
}

func (w *watchedSwitch) lock()   { w.orderLock <- struct{}{} }
func (w *watchedSwitch) unlock() { <-w.orderLock }

// end ends the supervision unless the deputy has taken over, which it reports.
func (w *watchedSwitch) end() (takenOver bool) {
	w.lock()
	defer w.unlock()
	w.ended = w.ended || !w.takenOver
	return w.takenOver
}

// watched returns the supervised switch of the planner with the given fencing token.
func (d *Deputy) watched(fence int64) (*watchedSwitch, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || d.current.Fence != fence {
		return nil, merry.Wrap(&NotDeputyError{Fence: fence})
	}
	return d.current, nil
}

// Order forwards an order of the planner to the planner's rank. Errors are those of Rank.Order; the order is refused if
// the agent is no longer the deputy, or if it arrives late and belongs to an earlier switch.
func (d *Deputy) Order(ctx context.Context, o Order) error {
	w, err := d.watched(o.Fence)
	if err != nil {
		return merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: true, Detail: err.Error()})
	}
	if o.Version != w.Version {
		return merry.Wrap(&RefusedError{Operation: o.Operation, Detail: "the order belongs to another switch"})
	}
	w.lock()
	defer w.unlock()
	if w.takenOver || w.ended {
		return merry.Wrap(&RefusedError{
			Operation: o.Operation, Fenced: true, Detail: (&NotDeputyError{TakenOver: w.takenOver}).Error(),
		})
	}
	// The planner cancels the call after its timeout, but not while its instance is frozen.
	ctx, cancel := context.WithTimeout(ctx, groupOrderTimeout(len(w.Addresses)))
	defer cancel()
	planner := d.opts.Planner(w.DeputyAssignment)
	return repeatedly(func(ctx context.Context, o Order) error {
		err := planner.Order(ctx, o)
		w.recordOutcome(o, err)
		return err
	})(ctx, o)
}

// recordOutcome records the outcome of an order to the planner's rank.
func (w *watchedSwitch) recordOutcome(o Order, err error) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
	case o.Operation == Arm && err == nil:
		w.plannerRecord.armed = &Armed{Version: o.Version, Pass: o.Pass}
	case o.Operation == Disarm && err == nil:
		w.plannerRecord.armed = nil
	default:
		// After a Disarm without a response, which may still be executed, the state of the rank is unknown too.
		w.plannerRecord.pending = true
		if o.Operation == Disarm {
			w.plannerRecord.armed = nil
		}
	}
}

// End ends the supervision of a switch. It fails with a *NotDeputyError if the deputy has taken over.
func (d *Deputy) End(fence int64) error {
	w, err := d.watched(fence)
	if err != nil {
		return err
	}
	if w.end() {
		return merry.Wrap(&NotDeputyError{Fence: fence, TakenOver: true})
	}
	return nil
}

// Revoke cancels an assignment whose planner does not know whether it has begun, and refuses it from then on. It fails
// with a *NotDeputyError if the agent has a later assignment, or has taken over from this planner.
func (d *Deputy) Revoke(assignment DeputyAssignment) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if assignment.order().compare(d.latest) < 0 {
		return merry.Wrap(&NotDeputyError{Fence: assignment.Fence})
	}
	return d.endCurrent(assignment)
}

// endCurrent ends the present supervision and makes the assignment the latest one. It fails with a *NotDeputyError if
// the deputy has taken over from the planner of the assignment. The caller holds mu.
func (d *Deputy) endCurrent(assignment DeputyAssignment) error {
	if w := d.current; w != nil && w.end() && w.Fence == assignment.Fence {
		return merry.Wrap(&NotDeputyError{Fence: assignment.Fence, TakenOver: true})
	}
	d.latest = assignment.order()
	return nil
}

// watch probes the planner until the switch has ended, and takes over if the planner does not respond.
func (d *Deputy) watch(ctx context.Context, w *watchedSwitch) {
	deadline := time.Now().Add(watchTimeout)
	time.Sleep(firstProbeDelay)
	for missed := 0; time.Now().Before(deadline); {
		if w.isEnded() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout+time.Duration(len(w.Addresses))*probeTimeoutPerRank)
		err := d.opts.Alive(callCtx, w.DeputyAssignment)
		cancel()
		if err == nil {
			missed = 0
		} else if missed++; missed >= maxMissedProbes {
			d.takeOver(ctx, w)
			return
		}
		time.Sleep(probeInterval)
	}
	w.end()
}

func (w *watchedSwitch) isEnded() bool {
	w.lock()
	defer w.unlock()
	return w.ended
}

// takeOver ends the switch of an unresponsive planner.
func (d *Deputy) takeOver(ctx context.Context, w *watchedSwitch) {
	w.lock()
	ended := w.ended
	w.takenOver = !ended
	record := w.plannerRecord
	w.unlock()
	if ended {
		return
	}
	d.takeOvers.Add(1)
	d.opts.Log.Warn("planner is silent in the middle of a switch; its deputy ends it", zap.String("group", w.Group),
		zap.Int64("fence", w.Fence), zap.Int64("version", w.Version), zap.Int("planner", w.Planner),
		zap.Bool("planner_armed", record.armed != nil), zap.Bool("planner_pending", record.pending))
	g := d.opts.Group(w.DeputyAssignment)
	var lastErr error
	for deadline := time.Now().Add(takeOverTimeout); time.Now().Before(deadline); time.Sleep(takeOverRetryInterval) {
		err := g.tryTakeOver(ctx, w.DeputyAssignment, record)
		var refused *RefusedError
		if err == nil || (errors.As(err, &refused) && refused.Fenced) {
			d.opts.Log.Info("switch ended by the deputy", zap.String("group", w.Group), zap.Int64("version", w.Version),
				zap.Error(err))
			return
		}
		if lastErr == nil || lastErr.Error() != err.Error() {
			d.opts.Log.Info("switch not ended yet", zap.String("group", w.Group), zap.Error(err))
		}
		lastErr = err
	}
}
