package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// formerIncarnation is the remembered state of an incarnation that is no longer listed. It applies again if an entry shows
// that the incarnation still runs.
type formerIncarnation struct {
	leaving bool
	// draining is set if its last entry said so, which has the sequence number seq.
	draining   bool
	seq        int64
	suspension suspension
	warm       warmState
	rate       rateState
	retiredAt  time.Time
}

// formerIncarnationTTL is how long a former incarnation is remembered.
const formerIncarnationTTL = 10 * time.Minute

// retire takes a server out of use and remembers the state that a list restored from an older copy must not revert. Nothing is
// remembered of a server of a service that the configuration does not name, as its entries may be another writer's.
func (f *Fleet) retire(b *Backend, now time.Time) {
	b.mu.Lock()
	key := b.server.Incarnation()
	seq := b.server.Seq
	former := formerIncarnation{
		leaving: b.leaving, draining: b.server.Draining, seq: seq, suspension: b.suspension,
		warm: b.warm, rate: b.rate.clone(), retiredAt: now,
	}
	isNamed := f.isNamed(b.server.Service)
	b.removed = true
	b.mu.Unlock()
	b.Pool.Close()
	if !isNamed {
		return
	}
	f.removed.add(key, seq)
	f.former[key] = former
	for other, state := range f.former {
		if now.Sub(state.retiredAt) > formerIncarnationTTL {
			delete(f.former, other)
		}
	}
}

// hasSequence reports whether an entry can be ordered by its sequence number among entries of the same incarnation. A
// server that does not report its start time may have restarted, and then counts from the beginning.
func hasSequence(s catalog.Server) bool { return !s.Started.IsZero() }

// addBackend returns the backend of a newly listed server. What the server reported about itself in the same
// incarnation still applies.
func (f *Fleet) addBackend(s catalog.Server, now time.Time) *Backend {
	b := f.newBackend(s)
	if f.hasList {
		b.warm.startedAt = now
	}
	key := s.Incarnation()
	f.removed.confirm(key)
	if former, ok := f.former[key]; ok && key.StartedMs != 0 {
		b.leaving, b.suspension, b.warm, b.rate = former.leaving, former.suspension, former.warm, former.rate
		if former.draining {
			b.keepDraining(former.seq)
		}
		delete(f.former, key)
	}
	b.warm.applyEntry(s, now)
	return b
}

// latestStarts returns the latest start time of the servers of named services at each address. An entry of another writer
// may have any address, which does not show that the server there has gone.
func (f *Fleet) latestStarts(servers []catalog.Server) map[string]time.Time {
	out := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if f.isNamed(s.Service) && s.Started.After(out[s.Address]) {
			out[s.Address] = s.Started
		}
	}
	return out
}

// superseded reports whether another server has started later at the same address. The entry of the former one may be
// listed for some seconds more, but its requests would reach the new server, which refuses them.
func superseded(s catalog.Server, latest map[string]time.Time) bool {
	return !s.Started.IsZero() && latest[s.Address].After(s.Started)
}
