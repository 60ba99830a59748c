package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// trialTime bounds how long one request after a hold keeps others away. A server that shows nothing in it gets another one.
const trialTime = time.Second

// hold is the wish of a server to be left alone for a time. The backend's lock guards it.
type hold struct {
	// until is its end; zero without one.
	until time.Time
	// trial is when the one request was sent that finds out, after the end, whether the server takes work again. Callers that were
	// told to come back at the end arrive together.
	trial time.Time
}

// active says whether the server wants nothing now.
func (h hold) active(now time.Time) bool { return now.Before(h.until) }

// trying says that a trial is in progress.
func (h hold) trying(now time.Time) bool { return !h.trial.IsZero() && now.Sub(h.trial) < trialTime }

// blocks says whether the server gets no request now.
func (h hold) blocks(now time.Time) bool {
	return !h.until.IsZero() && (h.active(now) || h.trying(now))
}

// Hold takes the answer of a server that wants nothing from this process for a time.
func (b *Backend) Hold(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(d); until.After(b.held.until) {
		b.held = hold{until: until}
	}
}

// Accepted takes an answer by which the server shows that it has taken a request, which was sent at a time. It ends the trial
// after a hold.
func (b *Backend) Accepted(sent time.Time) {
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

// Leave takes the word of the server itself that it leaves, and says whether that is news. It holds until the server starts anew.
func (b *Backend) Leave() (news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news = !b.leaves()
	b.leaving = true
	return news
}

// SetLeaving takes the servers of a service that leave, by address with the times of their starts in Unix milliseconds. A server that
// has started anew since is not meant. It returns those of which that is news.
func (f *Fleet) SetLeaving(service string, starts map[string]int64) []catalog.Server {
	var news []catalog.Server
	if len(starts) == 0 {
		return nil
	}
	for _, b := range f.Backends(service) {
		started, ok := starts[b.Pool.Address()]
		if s := b.Server(); ok && started == keyOf(s.ID, s.Started).started && started != 0 && b.Leave() {
			news = append(news, s)
		}
	}
	return news
}

// leaves says whether the server takes no new work any more. The caller holds the lock.
func (b *Backend) leaves() bool { return b.removed || b.leaving || b.server.Draining }

// Leaves says whether the server takes no new work any more, by its own word or that of the list.
func (b *Backend) Leaves() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaves()
}

// heldFor returns for how long the server wants nothing, and whether it takes requests at all by then.
func (b *Backend) heldFor(now time.Time) (left time.Duration, stays bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.held.until.Sub(now), 0), !b.leaves()
}

// HeldFor returns the time until the first server of a service takes requests again, 0 unless all of them want none.
func (f *Fleet) HeldFor(service string, now time.Time) time.Duration {
	first, found := time.Duration(0), false
	for _, b := range f.Backends(service) {
		left, stays := b.heldFor(now)
		if stays && (!found || left < first) {
			first, found = left, true
		}
	}
	return first
}

// Takes says whether a request that was meant for the server may still be sent to it.
func (b *Backend) Takes(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leaves() && !b.held.active(now)
}

// startKey names one start of a server.
type startKey struct {
	id      string
	started int64 // Unix milliseconds, 0 if the server does not say.
}

// pastStart is what is remembered of a start of a server that is not listed any more. The list may be restored from an older copy and
// show it once more.
type pastStart struct {
	seq     int64
	leaving bool
	held    hold
	at      time.Time
}

// pastLife is how long it is remembered.
const pastLife = 10 * time.Minute

func keyOf(id string, started time.Time) startKey {
	key := startKey{id: id}
	if !started.IsZero() {
		key.started = started.UnixMilli()
	}
	return key
}

// retire ends the use of a server and remembers what the list may not take back.
func (f *Fleet) retire(b *Backend, now time.Time) {
	b.mu.Lock()
	key := keyOf(b.server.ID, b.server.Started)
	past := pastStart{seq: b.server.Seq, leaving: b.leaving || b.server.Draining, held: b.held, at: now}
	b.removed = true
	b.mu.Unlock()
	b.Pool.Close()
	f.past[key] = past
	for other, p := range f.past {
		if now.Sub(p.at) > pastLife {
			delete(f.past, other)
		}
	}
}

// outdatedLife is how long after a server went from the list an entry may still be that of an older copy of the list.
const outdatedLife = 15 * time.Second

// outdated says whether an entry is not newer than that with which its start of the server was listed last, before it went from the
// list. A living server goes on counting.
func (f *Fleet) outdated(s catalog.Server, now time.Time) bool {
	past, ok := f.past[keyOf(s.ID, s.Started)]
	return ok && counted(s) && s.Seq <= past.seq && now.Sub(past.at) < outdatedLife
}

// counted says whether the count of an entry tells it from older ones. A server that does not say when it started may have started
// anew, and counts from the begin then.
func counted(s catalog.Server) bool { return !s.Started.IsZero() && s.Seq > 0 }

// enlist returns the backend of a server that is newly listed. What it has said of itself in the same start still holds.
func (f *Fleet) enlist(s catalog.Server) *Backend {
	b := newBackend(s, f.dialect)
	key := keyOf(s.ID, s.Started)
	if past, ok := f.past[key]; ok && key.started != 0 {
		b.leaving, b.held = past.leaving, past.held
		delete(f.past, key)
	}
	return b
}
