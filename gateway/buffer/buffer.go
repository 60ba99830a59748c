// Package buffer bounds the memory that the request bodies and the long responses of a process hold together. A faulty
// caller or server may send a body or an event without end, on many connections at once.
package buffer

import (
	"sync"
	"time"
)

// Free is the number of bytes that each request body and each response may hold beside the budget. Most bodies and
// events fit, so that short ones are served also while the budget is used up.
const Free = 16 << 10

// Parts of the budget.
const (
	// bodiesFraction is the part of the budget that all request bodies may hold. The rest is for responses: a stream with
	// a long event is cut if there is no room for it.
	bodiesFraction = 0.75
	// longBodiesFraction is the part up to which bodies that hold bytes already may grow further. Above it there is room
	// only for the first step of others, which is enough for bodies of growthFactor x Free.
	longBodiesFraction = 0.5
	// ownerFraction is the part of the budget that the bodies of one customer, or of one address, may hold.
	// It is below longBodiesFraction, so that others can still send long bodies.
	ownerFraction = 0.375
)

// Budget is the number of bytes that bodies and responses may still hold in all, beyond Free each. It is safe for
// concurrent use.
type Budget struct {
	size int64

	mu sync.Mutex
	// held is the number of bytes that bodies and responses hold, bodies the part of bodies.
	held, bodies int64
	byOwner      map[string]int64
	shares       map[*Share]struct{}
	// waiting is the number of shares that wait for bytes. freed is closed and replaced when bytes are released.
	waiting int
	freed   chan struct{}
	// evictedAt is when a waiting share last looked for stalled ones. A look visits all shares, and many may wait.
	evictedAt time.Time
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{size: bytes, byOwner: map[string]int64{}, shares: map[*Share]struct{}{}, freed: make(chan struct{})}
}

// TryAcquire takes n bytes for a response and reports whether there was room for them.
func (b *Budget) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.size {
		return false
	}
	b.held += n
	return true
}

// Release returns n bytes of a response.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	b.notify()
}

// Held returns the number of bytes that bodies and responses hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// notify wakes the shares that wait. b.mu must be held.
func (b *Budget) notify() {
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// fits reports whether a share may hold n bytes more. A share may always grow while no other body holds anything, so that
// one body of the maximum size is accepted however small the budget is. b.mu must be held.
func (b *Budget) fits(s *Share, n int64) bool {
	if b.bodies == s.held {
		return true
	}
	fraction := bodiesFraction
	if s.held > 0 {
		fraction = longBodiesFraction
	}
	if b.held+n > b.size || b.bodies+n > int64(fraction*float64(b.size)) {
		return false
	}
	for _, owner := range s.owners {
		if b.byOwner[owner]+n > int64(ownerFraction*float64(b.size)) && b.byOwner[owner] > s.held {
			return false
		}
	}
	return true
}

// add changes the bytes of a share by n. b.mu must be held.
func (b *Budget) add(s *Share, n int64) {
	s.held += n
	b.held += n
	b.bodies += n
	for _, owner := range s.owners {
		b.byOwner[owner] += n
		if b.byOwner[owner] == 0 {
			delete(b.byOwner, owner)
		}
	}
	if n < 0 {
		b.notify()
	}
}

// EvictStalled ends the bodies that hold bytes of the budget and have made no progress for idleTimeout.
func (b *Budget) EvictStalled(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.shares {
		if s.held > 0 && !s.waiting && now.Sub(s.progressAt) > idleTimeout {
			s.evictLocked()
		}
	}
}

// evictForOthers ends the bodies that arrive too slowly while another one waits for bytes. b.mu must be held.
func (b *Budget) evictForOthers(now time.Time) {
	for s := range b.shares {
		if s.held > 0 && !s.waiting && s.isSlow(now) {
			s.evictLocked()
		}
	}
}
