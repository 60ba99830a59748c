package balance

import "time"

// probeTimeout is how long a probe after a suspension excludes other requests. If the server has not responded by then,
// it gets another probe.
const probeTimeout = time.Second

// suspension is the time during which a server accepts no requests, as it stated in a refusal. It is guarded by the
// backend's lock.
type suspension struct {
	// until is the end of the suspension, zero without one.
	until time.Time
	// probeSentAt is when a single request was sent after the end to probe whether the server accepts requests again.
	// Without the probe, all callers whose Retry-After ends with the suspension would reach the server together.
	probeSentAt time.Time
}

// active reports whether the suspension has not ended.
func (s suspension) active(now time.Time) bool { return now.Before(s.until) }

// probing reports whether a probe is in progress.
func (s suspension) probing(now time.Time) bool {
	return !s.probeSentAt.IsZero() && now.Sub(s.probeSentAt) < probeTimeout
}

// blocks reports whether the server must get no request now.
func (s suspension) blocks(now time.Time) bool {
	return !s.until.IsZero() && (s.active(now) || s.probing(now))
}

// Suspend stops requests to the server for the duration that it stated in a refusal. It never shortens a suspension.
func (b *Backend) Suspend(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(d); until.After(b.suspension.until) {
		b.suspension = suspension{until: until}
	}
}

// ObserveAccepted records a response which shows that the server accepted a request sent at the given time. It ends a
// suspension that was over by then.
func (b *Backend) ObserveAccepted(sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !sent.Before(b.suspension.until) {
		b.suspension = suspension{}
	}
}

// tryProbe makes a request the probe if a suspension has ended. It returns false if the server is suspended or another
// probe is in progress.
func (b *Backend) tryProbe(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspension.until.IsZero() {
		return true
	}
	if b.suspension.blocks(now) {
		return false
	}
	b.suspension.probeSentAt = now
	return true
}

// suspendedFor returns the remaining time of the suspension, and whether the server stays in use after it.
func (b *Backend) suspendedFor(now time.Time) (remaining time.Duration, inUse bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.suspension.until.Sub(now), 0), b.isUsable()
}

// SuspendedFor returns the time until the first server of a service accepts requests again, 0 unless all of them are
// suspended.
func (f *Fleet) SuspendedFor(service string, now time.Time) time.Duration {
	return f.shortestWait(service, func(b *Backend) (time.Duration, bool) { return b.suspendedFor(now) })
}

// shortestWait returns the shortest wait of the servers of a service that are in use, 0 if there is none.
func (f *Fleet) shortestWait(service string, waitOf func(b *Backend) (wait time.Duration, inUse bool)) time.Duration {
	shortest, found := time.Duration(0), false
	for _, b := range f.Backends(service) {
		wait, inUse := waitOf(b)
		switch {
		case !inUse:
		case wait == 0: // The usual case: the other servers need not be asked.
			return 0
		case !found || wait < shortest:
			shortest, found = wait, true
		}
	}
	return shortest
}
