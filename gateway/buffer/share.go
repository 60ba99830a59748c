package buffer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// idleTimeout is the time without progress after which a body loses its bytes, also when no other body waits.
	idleTimeout = 5 * time.Second
	// pressureIdleTimeout is idleTimeout while another body waits. It is above the pause of a lost packet that is sent
	// again twice.
	pressureIdleTimeout = time.Second
	// A body whose mean rate over rateWindow or longer is below minRate loses its bytes while another body waits. At this
	// rate, a body of the maximum size would not arrive within the deadline of any route. The rate is that of a window, so
	// that a body that stalls after a fast start does not live on its mean.
	minRate    = 32 << 10 // Bytes a second.
	rateWindow = 2 * time.Second
	// maxWait is how long a body waits for bytes: a stalled body loses its bytes within that time.
	maxWait = 1500 * time.Millisecond
	// evictInterval is the interval at which a waiting body looks for stalled ones.
	evictInterval = 100 * time.Millisecond
)

// ExhaustedError reports that other bodies hold the memory that a body needs.
type ExhaustedError struct{}

func (*ExhaustedError) Error() string {
	return "the bodies of other requests have used up the memory for them"
}

// Share is the part of a budget that one arriving request body holds. Its methods are used by one goroutine.
type Share struct {
	budget *Budget
	owners []string
	// evict makes the goroutine that reads the body return. It is called at most once, and not after Complete or Close.
	evict func()

	// The mutex of the budget guards the fields below. received counts the bytes since windowStart.
	held, received          int64
	windowStart, progressAt time.Time
	waiting, evicted        bool
}

// NewShare returns a share that holds nothing. The owners are the customer and the address of the caller. evict is called
// when the body must give up its bytes because it has stalled; it must not block.
func (b *Budget) NewShare(evict func(), now time.Time, owners ...string) *Share {
	s := &Share{budget: b, owners: owners, evict: evict, windowStart: now, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Grow takes n more bytes. If there is no room it waits for up to maxWait and keeps what it holds meanwhile; stalled
// bodies lose their bytes by then. It fails with an *ExhaustedError or the error of the context.
func (s *Share) Grow(ctx context.Context, n int64) error {
	started := time.Now()
	for {
		freed, ok := s.tryGrow(n, started)
		if ok {
			return nil
		}
		if s.Evicted() {
			s.stopWaiting(started)
			return merry.Wrap(&ExhaustedError{})
		}
		select {
		case <-ctx.Done():
		case <-freed:
		case <-time.After(evictInterval):
		}
		if ctx.Err() != nil || time.Since(started) > maxWait {
			s.stopWaiting(started)
			if err := ctx.Err(); err != nil {
				return err
			}
			return merry.Wrap(&ExhaustedError{})
		}
	}
}

// tryGrow takes n bytes, or marks the share as waiting and returns the channel that is closed when bytes are released.
func (s *Share) tryGrow(n int64, started time.Time) (freed <-chan struct{}, ok bool) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.evicted && b.fits(s, n) {
		b.add(s, n)
		s.endWait(started)
		return nil, true
	}
	if !s.waiting {
		s.waiting = true
		b.waiting++
	}
	if now := time.Now(); now.Sub(b.evictedAt) >= evictInterval/2 {
		b.evictedAt = now
		b.evictForOthers(now)
	}
	return b.freed, false
}

func (s *Share) stopWaiting(started time.Time) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.endWait(started)
}

// endWait ends a wait that began at started. The time of the wait does not count as a time without progress.
func (s *Share) endWait(started time.Time) {
	if !s.waiting {
		return
	}
	s.waiting = false
	s.budget.waiting--
	now := time.Now()
	s.windowStart, s.progressAt = s.windowStart.Add(now.Sub(started)), now
}

// Shrink returns n bytes.
func (s *Share) Shrink(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.add(s, -n)
}

// Progress records that n bytes of the body have arrived.
func (s *Share) Progress(n int, now time.Time) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if now.Sub(s.windowStart) > rateWindow && !s.isBelowRate(now) {
		s.windowStart, s.received = now, 0
	}
	s.received += int64(n)
	s.progressAt = now
}

// Complete records that the body has arrived whole: it keeps its bytes until Close.
func (s *Share) Complete() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	delete(s.budget.shares, s)
}

// Close returns all bytes of the share.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	delete(s.budget.shares, s)
	s.budget.add(s, -s.held)
}

// Evicted reports whether the body has lost its share because it stalled.
func (s *Share) Evicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// isSlow reports whether the body arrives too slowly to keep its bytes while another one waits for them.
func (s *Share) isSlow(now time.Time) bool {
	return now.Sub(s.progressAt) > pressureIdleTimeout || (now.Sub(s.windowStart) > rateWindow && s.isBelowRate(now))
}

func (s *Share) isBelowRate(now time.Time) bool {
	return float64(s.received) < minRate*now.Sub(s.windowStart).Seconds()
}

// evictLocked makes the reader of the body return, which closes the share.
func (s *Share) evictLocked() {
	if !s.evicted {
		s.evicted = true
		s.evict()
	}
}
