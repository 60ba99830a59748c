package balance

import "time"

// trialTime bounds how long one request after a hold keeps others away. A server that shows nothing in it gets another one.
const trialTime = time.Second

// hold is the time for which a server takes no requests, as it has said in a refusal. The backend's lock guards it.
type hold struct {
	// until is its end; zero without one.
	until time.Time
	// trial is when the one request was sent that finds out, after the end, whether the server takes work again. Callers that were
	// told to come back at the end arrive together.
	trial time.Time
}

// active says whether the time has not passed.
func (h hold) active(now time.Time) bool { return now.Before(h.until) }

// trying says that a trial is in progress.
func (h hold) trying(now time.Time) bool { return !h.trial.IsZero() && now.Sub(h.trial) < trialTime }

// blocks says whether the server gets no request now.
func (h hold) blocks(now time.Time) bool {
	return !h.until.IsZero() && (h.active(now) || h.trying(now))
}

// Suspend keeps requests from the server for a time that it has named in a refusal.
func (b *Backend) Suspend(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(d); until.After(b.held.until) {
		b.held = hold{until: until}
	}
}

// ObserveAccepted takes an answer by which the server shows that it has taken a request, which was sent at a time. It ends the trial
// after a hold.
func (b *Backend) ObserveAccepted(sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !sent.Before(b.held.until) {
		b.held = hold{}
	}
}

// claim makes a request the trial after a hold. It returns false when another one is that, or the server is held again.
func (b *Backend) claim(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held.until.IsZero() {
		return true
	}
	if b.held.blocks(now) {
		return false
	}
	b.held.trial = now
	return true
}

// heldFor returns for how long the server takes no requests, and whether it takes any after that.
func (b *Backend) heldFor(now time.Time) (left time.Duration, stays bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.held.until.Sub(now), 0), !b.leaves()
}

// SuspendedFor returns the time until the first server of a service takes requests again, 0 unless all of them are held.
func (f *Fleet) SuspendedFor(service string, now time.Time) time.Duration {
	first, found := time.Duration(0), false
	for _, b := range f.Backends(service) {
		left, stays := b.heldFor(now)
		if stays && (!found || left < first) {
			first, found = left, true
		}
	}
	return first
}
