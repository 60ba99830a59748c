package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

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

// latestStarts returns, by address, when the server that started last there did so.
func latestStarts(servers []catalog.Server) map[string]time.Time {
	out := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if s.Started.After(out[s.Address]) {
			out[s.Address] = s.Started
		}
	}
	return out
}

// superseded says whether another server has started later at the address. Its entry may be listed for some seconds more, and it would
// get requests that the other one refuses.
func superseded(s catalog.Server, latest map[string]time.Time) bool {
	return !s.Started.IsZero() && latest[s.Address].After(s.Started)
}
