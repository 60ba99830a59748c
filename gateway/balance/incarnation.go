package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// incarnation names one start of a server.
type incarnation struct {
	id      string
	started int64 // Unix milliseconds, 0 if the server does not say.
}

// formerIncarnation is what is remembered of a start of a server that is not listed any more. The list may be restored from an older copy and
// show it once more.
type formerIncarnation struct {
	seq        int64
	leaving    bool
	suspension suspension
	retiredAt  time.Time
}

// formerIncarnationTTL is how long it is remembered.
const formerIncarnationTTL = 10 * time.Minute

func incarnationOf(id string, started time.Time) incarnation {
	key := incarnation{id: id}
	if !started.IsZero() {
		key.started = started.UnixMilli()
	}
	return key
}

// retire ends the use of a server and remembers what the list may not take back.
func (f *Fleet) retire(b *Backend, now time.Time) {
	b.mu.Lock()
	key := incarnationOf(b.server.ID, b.server.Started)
	former := formerIncarnation{seq: b.server.Seq, leaving: b.leaving || b.server.Draining, suspension: b.suspension, retiredAt: now}
	b.removed = true
	b.mu.Unlock()
	b.Pool.Close()
	f.former[key] = former
	for other, p := range f.former {
		if now.Sub(p.retiredAt) > formerIncarnationTTL {
			delete(f.former, other)
		}
	}
}

// staleEntryWindow is how long after a server went from the list an entry may still be that of an older copy of the list.
const staleEntryWindow = 15 * time.Second

// isStale says whether an entry is not newer than that with which its start of the server was listed last, before it went from the
// list. A living server goes on counting.
func (f *Fleet) isStale(s catalog.Server, now time.Time) bool {
	former, ok := f.former[incarnationOf(s.ID, s.Started)]
	return ok && hasSequence(s) && s.Seq <= former.seq && now.Sub(former.retiredAt) < staleEntryWindow
}

// hasSequence says whether the count of an entry tells it from older ones. A server that does not say when it started may have started
// anew, and counts from the begin then.
func hasSequence(s catalog.Server) bool { return !s.Started.IsZero() && s.Seq > 0 }

// addBackend returns the backend of a server that is newly listed. What it has said of itself in the same start still holds.
func (f *Fleet) addBackend(s catalog.Server) *Backend {
	b := newBackend(s, f.dialect)
	key := incarnationOf(s.ID, s.Started)
	if former, ok := f.former[key]; ok && key.started != 0 {
		b.leaving, b.suspension = former.leaving, former.suspension
		delete(f.former, key)
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
