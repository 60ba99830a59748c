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
)

const (
	// firstLook is how long a deputy leaves a planner alone, and lookEvery the time between two questions whether it lives.
	firstLook = 100 * time.Millisecond
	lookEvery = 40 * time.Millisecond
	// lookTimeout bounds such a question, and lookPerRank is what each rank adds, because the planner's processor is busy with
	// the orders to them. After maxMissed questions in a row without an answer the deputy takes over.
	lookTimeout = 80 * time.Millisecond
	lookPerRank = time.Millisecond
	maxMissed   = 2
	// watchTime bounds a switch whose planner lives and does not end it.
	watchTime = 30 * time.Second
	// takeOverPause is the time between two attempts to end a switch, takeOverTime that after which its planner's lease has
	// ended and the next planner does it.
	takeOverPause = 50 * time.Millisecond
	takeOverTime  = 20 * time.Second
)

// DeputyOptions are the parts of a Deputy.
type DeputyOptions struct {
	// Group returns the access to the ranks of a handover's group under the deputy's fencing number.
	Group func(h Handover) *Group
	// Planner returns the direct access to the planner's rank.
	Planner func(h Handover) Rank
	// Alive asks whether the planner's process lives; it fails when that does not answer.
	Alive func(ctx context.Context, h Handover) error
	Log   *zap.Logger
}

// Deputy ends the switches of planners that fall silent, beside one rank. Its methods may be called from any goroutine.
type Deputy struct {
	opts DeputyOptions

	takeOvers atomic.Int64

	mu      sync.Mutex
	current *watch
}

// TakeOvers returns the number of switches that were taken over.
func (d *Deputy) TakeOvers() int64 { return d.takeOvers.Load() }

// watch is a switch that is watched over.
type watch struct {
	Handover

	// orders holds a token while an order to the planner's rank is in progress. It guards what follows.
	orders chan struct{}
	known  known
	// taken says that the deputy has taken over, ended that the planner has ended the switch.
	taken, ended bool
}

// NewDeputy returns a deputy without a switch.
func NewDeputy(opts DeputyOptions) *Deputy { return &Deputy{opts: opts} }

// NotDeputyError says that the process is not the deputy of a switch, or not any more.
type NotDeputyError struct {
	Fence int64
	// Taken says that the deputy has taken over.
	Taken bool
}

func (e *NotDeputyError) Error() string {
	if e.Taken {
		return "the deputy has taken over"
	}
	return "this process is not the deputy of the switch"
}

// HandoverError says that a handover does not name three ranks of a group.
type HandoverError struct{ Planner, Deputy, Holder, Ranks int }

func (e *HandoverError) Error() string {
	return fmt.Sprintf("planner %d, deputy %d and holder %d are not three ranks of %d", e.Planner, e.Deputy, e.Holder, e.Ranks)
}

func (h Handover) validate() error {
	n := len(h.Addresses)
	for _, rank := range []int{h.Planner, h.Deputy, h.Holder} {
		if rank < 0 || rank >= n {
			return merry.Wrap(&HandoverError{h.Planner, h.Deputy, h.Holder, n})
		}
	}
	if h.Planner == h.Deputy || h.Planner == h.Holder {
		return merry.Wrap(&HandoverError{h.Planner, h.Deputy, h.Holder, n})
	}
	return nil
}

// Begin makes the process the deputy of a switch, until its end or for watchTime. It fails with a *HandoverError, or with a
// *NotDeputyError when there is a later planner or the deputy has taken over from this one.
func (d *Deputy) Begin(ctx context.Context, h Handover) error {
	if err := h.validate(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.current; w != nil && (w.Fence > h.Fence || (w.Fence == h.Fence && w.isTaken())) {
		return merry.Wrap(&NotDeputyError{Fence: h.Fence, Taken: w.isTaken()})
	}
	d.opts.Log.Info("deputy of a switch", zap.String("group", h.Group), zap.Int64("fence", h.Fence),
		zap.Int64("version", h.Version), zap.Int("planner", h.Planner), zap.Int("holder", h.Holder))
	w := &watch{Handover: h, orders: make(chan struct{}, 1)}
	d.current = w
	go d.watch(context.WithoutCancel(ctx), w)
	return nil
}

func (w *watch) lock()   { w.orders <- struct{}{} }
func (w *watch) unlock() { <-w.orders }

func (w *watch) isTaken() bool {
	w.lock()
	defer w.unlock()
	return w.taken
}

// find returns the watch of a planner's switch.
func (d *Deputy) find(fence int64) (*watch, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || d.current.Fence != fence {
		return nil, merry.Wrap(&NotDeputyError{Fence: fence})
	}
	return d.current, nil
}

// Order gives an order of the planner to the planner's rank. Errors are those of Rank.Order; the order is refused when the process
// is not the deputy any more.
func (d *Deputy) Order(ctx context.Context, o Order) error {
	w, err := d.find(o.Fence)
	if err != nil {
		return merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: true, Detail: err.Error()})
	}
	w.lock()
	defer w.unlock()
	if w.taken || w.ended {
		return merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: true, Detail: (&NotDeputyError{Taken: w.taken}).Error()})
	}
	// The planner's instance may freeze while the order is on its way, and with it the one that waits for the answer.
	ctx, cancel := context.WithTimeout(ctx, groupOrderTimeout(len(w.Addresses)))
	defer cancel()
	err = d.opts.Planner(w.Handover).Order(ctx, o)
	w.note(o, err)
	return err
}

// note takes the outcome of an order to the planner's rank.
func (w *watch) note(o Order, err error) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
	case o.Operation == Arm && err == nil:
		w.known.armed = &Armed{Version: o.Version, Pass: o.Pass}
	case o.Operation == Disarm && err == nil:
		w.known.armed = nil
	default:
		// An order to disarm that may come later leaves the rank in an unknown state too.
		w.known.pending = true
		if o.Operation == Disarm {
			w.known.armed = nil
		}
	}
}

// End ends the watch over a switch. It fails with a *NotDeputyError when the deputy has taken over.
func (d *Deputy) End(fence int64) error {
	w, err := d.find(fence)
	if err != nil {
		return err
	}
	w.lock()
	defer w.unlock()
	if w.taken {
		return merry.Wrap(&NotDeputyError{Fence: fence, Taken: true})
	}
	w.ended = true
	return nil
}

// watch looks whether the planner lives until the switch has ended, and takes over if it does not.
func (d *Deputy) watch(ctx context.Context, w *watch) {
	end := time.Now().Add(watchTime)
	time.Sleep(firstLook)
	for missed := 0; time.Now().Before(end); {
		if w.isEnded() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, lookTimeout+time.Duration(len(w.Addresses))*lookPerRank)
		err := d.opts.Alive(callCtx, w.Handover)
		cancel()
		if err == nil {
			missed = 0
		} else if missed++; missed >= maxMissed {
			d.takeOver(ctx, w)
			return
		}
		time.Sleep(lookEvery)
	}
	w.lock()
	defer w.unlock()
	w.ended = true
}

func (w *watch) isEnded() bool {
	w.lock()
	defer w.unlock()
	return w.ended
}

// takeOver ends the switch of a planner that does not answer.
func (d *Deputy) takeOver(ctx context.Context, w *watch) {
	w.lock()
	ended := w.ended
	w.taken = !ended
	k := w.known
	w.unlock()
	if ended {
		return
	}
	d.takeOvers.Add(1)
	d.opts.Log.Warn("planner is silent in the middle of a switch; its deputy ends it", zap.String("group", w.Group),
		zap.Int64("fence", w.Fence), zap.Int64("version", w.Version), zap.Int("planner", w.Planner),
		zap.Bool("planner_armed", k.armed != nil), zap.Bool("planner_pending", k.pending))
	g := d.opts.Group(w.Handover)
	var last error
	for end := time.Now().Add(takeOverTime); time.Now().Before(end); time.Sleep(takeOverPause) {
		err := g.takeOver(ctx, w.Handover, k)
		var refused *RefusedError
		if err == nil || (errors.As(err, &refused) && refused.Fenced) {
			d.opts.Log.Info("switch ended by the deputy", zap.String("group", w.Group), zap.Int64("version", w.Version),
				zap.Error(err))
			return
		}
		if last == nil || last.Error() != err.Error() {
			d.opts.Log.Info("switch not ended yet", zap.String("group", w.Group), zap.Error(err))
		}
		last = err
	}
}
