package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// MarkLeaving records that the server reported that it is leaving, and reports whether that is new. The server accepts
// no requests until it restarts.
func (b *Backend) MarkLeaving() (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = !b.isLeaving()
	b.leaving = true
	return changed
}

// SetLeaving marks servers of a service as leaving and returns those that were not leaving before. starts maps the
// address of each leaving server to the start time of its incarnation in Unix milliseconds. A server that has restarted
// since then is not affected.
func (f *Fleet) SetLeaving(service string, starts map[string]int64) []catalog.Server {
	var changed []catalog.Server
	if len(starts) == 0 {
		return nil
	}
	for _, b := range f.Backends(service) {
		started, ok := starts[b.Pool.Address()]
		if s := b.Server(); ok && started == s.Incarnation().StartedMs && started != 0 && b.MarkLeaving() {
			changed = append(changed, s)
		}
	}
	return changed
}

// isLeaving reports whether the server accepts no new requests until it restarts. The caller holds the lock.
func (b *Backend) isLeaving() bool { return b.removed || b.leaving || b.server.Draining }

// IsLeaving reports whether the server accepts no new requests until it restarts: it has reported that it is leaving,
// is listed as draining, or was removed from the list.
func (b *Backend) IsLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isLeaving()
}

// Accepts reports whether a request for which the server was chosen may still be sent to it.
func (b *Backend) Accepts(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepts(now)
}

// accepts is Accepts for callers that hold the lock.
func (b *Backend) accepts(now time.Time) bool {
	return b.isUsable() && !b.suspension.active(now) && !b.isShareUsed(0, now)
}
