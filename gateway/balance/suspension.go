package balance

import "time"

// probeTimeout bounds how long one request after a hold keeps others away. A server that shows nothing in it gets another one.
const probeTimeout = time.Second

// suspension is the time for which a server takes no requests, as it has said in a refusal. The backend's lock guards it.
type suspension struct {
	// until is its end; zero without one.
	until time.Time
	// probeSentAt is when the one request was sent that finds out, after the end, whether the server takes work again. Callers that were
	// told to come back at the end arrive together.
	probeSentAt time.Time
}

// active says whether the time has not passed.
func (s suspension) active(now time.Time) bool { return now.Before(s.until) }

// probing says that a trial is in progress.
func (s suspension) probing(now time.Time) bool {
	return !s.probeSentAt.IsZero() && now.Sub(s.probeSentAt) < probeTimeout
}

// blocks says whether the server gets no request now.
func (s suspension) blocks(now time.Time) bool {
	return !s.until.IsZero() && (s.active(now) || s.probing(now))
}

// Suspend keeps requests from the server for a time that it has named in a refusal.
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

// ObserveAccepted takes an answer by which the server shows that it has taken a request, which was sent at a time. It ends the trial
// after a hold.
func (b *Backend) ObserveAccepted(sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !sent.Before(b.suspension.until) {
		b.suspension = suspension{}
	}
}

// tryProbe makes a request the trial after a hold. It returns false when another one is that, or the server is held again.
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

// suspendedFor returns for how long the server takes no requests, and whether it takes any after that.
func (b *Backend) suspendedFor(now time.Time) (left time.Duration, remains bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.suspension.until.Sub(now), 0), !b.isLeaving()
}

// SuspendedFor returns the time until the first server of a service takes requests again, 0 unless all of them are held.
func (f *Fleet) SuspendedFor(service string, now time.Time) time.Duration {
	first, found := time.Duration(0), false
	for _, b := range f.Backends(service) {
		left, stays := b.suspendedFor(now)
		if stays && (!found || left < first) {
			first, found = left, true
		}
	}
	return first
}
