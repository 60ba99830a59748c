package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// FullError says that a request cannot be served in the time that it may wait.
type FullError struct {
	// Limit and InFlight are those of the group, Ahead counts the requests that waited before this one.
	Limit, InFlight, Ahead int
	// Wait is the estimated time until a place is free.
	Wait time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d of %d streams are in flight and %d wait; a place is free in %v",
		e.InFlight, e.Limit, e.Ahead, e.Wait)
}

// Queue admits requests to a group within a Limiter, first in, first out. Its methods may be called from any goroutine.
type Queue struct {
	mu      sync.Mutex
	limiter *Limiter
	waiting []*waiter
}

type waiter struct {
	admitted chan struct{}
	done     bool
}

// NewQueue returns an empty queue.
func NewQueue(now time.Time) *Queue { return &Queue{limiter: New(now)} }

// Acquire takes a place, waiting for at most patience. A request that would wait longer is refused at once. It fails
// with a *FullError or the error of the context. A place taken is given back by Release.
func (q *Queue) Acquire(ctx context.Context, patience time.Duration) error {
	q.mu.Lock()
	if len(q.waiting) == 0 && q.limiter.Admit() {
		q.mu.Unlock()
		return nil
	}
	if q.limiter.Wait(len(q.waiting)) > patience {
		err := q.fullError(len(q.waiting), 0)
		q.mu.Unlock()
		return merry.Wrap(err)
	}
	w := &waiter{admitted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	ahead := len(q.waiting) - 1
	q.mu.Unlock()
	return q.wait(ctx, w, ahead, patience)
}

func (q *Queue) wait(ctx context.Context, w *waiter, ahead int, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		if ctx.Err() == nil {
			return nil
		}
		q.limiter.inFlight--
		q.admitWaiting()
		return merry.Wrap(context.Cause(ctx))
	}
	w.done = true
	q.forget(w)
	if ctx.Err() != nil {
		return merry.Wrap(context.Cause(ctx))
	}
	return merry.Wrap(q.fullError(ahead, patience))
}

func (q *Queue) forget(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

func (q *Queue) fullError(ahead int, waited time.Duration) *FullError {
	return &FullError{
		Limit: q.limiter.Limit(), InFlight: q.limiter.InFlight(), Ahead: ahead, Wait: q.limiter.Wait(ahead),
		Waited: waited,
	}
}

// Release gives a place back.
func (q *Queue) Release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.End(held)
	q.admitWaiting()
}

func (q *Queue) admitWaiting() {
	for len(q.waiting) > 0 && q.limiter.Admit() {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		w.done = true
		close(w.admitted)
	}
}

// ObserveFirst takes the time from admission to a stream's first event.
func (q *Queue) ObserveFirst(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ObserveFirst(d)
}

// ObservePause takes a pause between two events of a stream and the aim for it.
func (q *Queue) ObservePause(pause, aim time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ObservePause(pause, aim, now)
	q.admitWaiting()
}

// SetMost bounds the limit by the slots of the group.
func (q *Queue) SetMost(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetMost(slots)
}

// Patience returns how long a request may wait for a place if its first event is to come within the time left.
func (q *Queue) Patience(left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(left-q.limiter.First(), 0)
}

// Dump is the state dump of a queue.
type Dump struct {
	Limit    int     `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
	Pause    float64 `json:"pause_over_aim"`
	FirstMs  float64 `json:"first_event_ms"`
}

// Dump returns the state dump.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Dump{
		Limit: q.limiter.Limit(), InFlight: q.limiter.InFlight(), Waiting: len(q.waiting),
		Pause: q.limiter.Pause(), FirstMs: float64(q.limiter.First()) / float64(time.Millisecond),
	}
}
