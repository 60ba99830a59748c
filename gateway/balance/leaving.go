package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// MarkLeaving marks the server as leaving, as it has said in an answer, and says whether that is news. It does so until it starts anew.
func (b *Backend) MarkLeaving() (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = !b.isLeaving()
	b.leaving = true
	return changed
}

// SetLeaving takes the servers of a service that leave, by address with the times of their starts in Unix milliseconds. A server that
// has started anew since is not meant. It returns those of which that is news.
func (f *Fleet) SetLeaving(service string, starts map[string]int64) []catalog.Server {
	var changed []catalog.Server
	if len(starts) == 0 {
		return nil
	}
	for _, b := range f.Backends(service) {
		started, ok := starts[b.Pool.Address()]
		if s := b.Server(); ok && started == incarnationOf(s.ID, s.Started).started && started != 0 && b.MarkLeaving() {
			changed = append(changed, s)
		}
	}
	return changed
}

// isLeaving says whether the server takes no new work any more. The caller holds the lock.
func (b *Backend) isLeaving() bool { return b.removed || b.leaving || b.server.Draining }

// IsLeaving says whether the server takes no new work any more, by its own word or that of the list.
func (b *Backend) IsLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isLeaving()
}

// Accepts says whether a request that was meant for the server may still be sent to it.
func (b *Backend) Accepts(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isLeaving() && !b.suspension.active(now)
}
