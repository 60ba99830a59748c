package balance

import "time"

// minMovePace is the pace from which requests in flight are moved to other servers. All ranks of a group wait for the
// slowest one in each pass, so streams that stay there slow down every stream of the group.
const minMovePace = 2.5

// OnDegraded registers a function that moves a request in flight to another server. The function is called from another
// goroutine when the server becomes slow or silent, until unregister is called.
func (b *Backend) OnDegraded(move func()) (unregister func()) {
	key := &move
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moveFuncs == nil {
		b.moveFuncs = map[*func()]struct{}{}
	}
	b.moveFuncs[key] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.moveFuncs, key)
	}
}

// setPace sets the pace and reports whether it changed. If the pace has reached minMovePace and there is a faster
// server, it moves the requests in flight.
func (b *Backend) setPace(pace float64, hasAlternative bool) bool {
	b.mu.Lock()
	changed := b.pace != pace
	var moves []func()
	if hasAlternative && pace >= minMovePace && b.pace < minMovePace {
		moves = b.listMoveFuncs()
	}
	b.pace = pace
	b.mu.Unlock()
	for _, move := range moves {
		move()
	}
	return changed
}

// IsDegraded reports whether the server is slow, or has been silent since its requests were to be moved.
func (b *Backend) IsDegraded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent || b.pace >= minMovePace
}

const (
	// silentAfter is the time without activity after which a server with requests in flight gets new requests only if
	// there is no other server. Its instance may be frozen, and would read the requests when it resumes.
	silentAfter = 600 * time.Millisecond
	// moveSilentAfter is the time without activity after which the requests in flight are moved to other servers.
	moveSilentAfter = 900 * time.Millisecond
)

// isSilent reports whether requests are in flight and the server has shown no activity for longer than the given time.
// The caller holds the lock.
func (b *Backend) isSilent(now time.Time, after time.Duration) bool {
	return b.inFlight > 0 && now.Sub(b.lastActivity) > after
}

// moveIfSilent moves the requests in flight once if the server has been silent for moveSilentAfter. It reports whether
// any was moved.
func (b *Backend) moveIfSilent(now time.Time) bool {
	b.mu.Lock()
	if b.silent || !b.isSilent(now, moveSilentAfter) {
		b.mu.Unlock()
		return false
	}
	b.silent = true
	moves := b.listMoveFuncs()
	b.mu.Unlock()
	for _, move := range moves {
		move()
	}
	return len(moves) > 0
}

// listMoveFuncs returns the functions that move the requests in flight. The caller holds the lock.
func (b *Backend) listMoveFuncs() []func() {
	moves := make([]func(), 0, len(b.moveFuncs))
	for move := range b.moveFuncs {
		moves = append(moves, *move)
	}
	return moves
}
