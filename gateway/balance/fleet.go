package balance

import (
	"sync/atomic"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
)

// removalDelay is how long a server that is missing after an outage of the list is kept, because its entry may have
// run out although it lives.
const removalDelay = 2200 * time.Millisecond

// Fleet holds the backends of all services. Update is called by one goroutine; the other methods by any.
type Fleet struct {
	dialect exchange.Dialect
	domain  string
	current atomic.Pointer[view]
}

// view is an immutable list of the backends.
type view struct {
	byID      map[string]*Backend
	byService map[string][]*Backend
	// missing holds since when a listed server is missing in unsettled lists.
	missing map[string]time.Time
}

// NewFleet returns a fleet without backends for a process in a failure domain.
func NewFleet(dialect exchange.Dialect, domain string) *Fleet {
	f := &Fleet{dialect: dialect, domain: domain}
	f.current.Store(&view{byID: map[string]*Backend{}, byService: map[string][]*Backend{}})
	return f
}

// Change is one difference that a list makes.
type Change struct {
	Server catalog.Server
	// What is "added", "removed" or "draining".
	What string
}

// Update takes the servers listed. While the list is not settled, a server that is missing is kept for a while. It
// returns what has changed.
func (f *Fleet) Update(servers []catalog.Server, settled bool, now time.Time) []Change {
	old := f.current.Load()
	next := &view{byID: map[string]*Backend{}, byService: map[string][]*Backend{}, missing: map[string]time.Time{}}
	var changes []Change
	for _, s := range servers {
		b, known := old.byID[s.ID]
		if known && b.Pool.Address() != s.Address {
			b.remove()
			known = false
		}
		if !known {
			b = newBackend(s, f.dialect, now)
			changes = append(changes, Change{Server: s, What: "added"})
		} else if b.relist(s) {
			changes = append(changes, Change{Server: s, What: "draining"})
		}
		next.add(s.ID, b)
	}
	for id, b := range old.byID {
		if _, listed := next.byID[id]; listed {
			continue
		}
		if since, keep := old.mayReturn(id, settled, now); keep {
			next.missing[id] = since
			next.add(id, b)
			continue
		}
		b.remove()
		changes = append(changes, Change{Server: b.Server(), What: "removed"})
	}
	f.current.Store(next)
	return changes
}

// mayReturn says whether a missing server is kept, and since when it is missing.
func (v *view) mayReturn(id string, settled bool, now time.Time) (time.Time, bool) {
	since, missing := v.missing[id]
	if !missing {
		return now, !settled
	}
	return since, now.Sub(since) < removalDelay
}

// Unsettled says that servers are kept which the list lacks, so that Update has to be called again.
func (f *Fleet) Unsettled() bool { return len(f.current.Load().missing) > 0 }

func (v *view) add(id string, b *Backend) {
	service := b.Server().Service
	v.byID[id] = b
	v.byService[service] = append(v.byService[service], b)
}

func (b *Backend) remove() {
	b.mu.Lock()
	b.removed = true
	b.mu.Unlock()
	b.Pool.Close()
}

// relist takes the server's new entry and says whether it has begun to drain.
func (b *Backend) relist(s catalog.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := s.Draining && !b.server.Draining
	b.server = s
	return began
}

// Backends returns the backends of a service. The caller must not change the slice.
func (f *Fleet) Backends(service string) []*Backend { return f.current.Load().byService[service] }

// All returns all backends.
func (f *Fleet) All() []*Backend {
	v := f.current.Load()
	out := make([]*Backend, 0, len(v.byID))
	for _, b := range v.byID {
		out = append(out, b)
	}
	return out
}

// Usable counts the servers of a service that may get new requests.
func (f *Fleet) Usable(service string) int {
	n := 0
	for _, b := range f.Backends(service) {
		if s := b.Server(); !s.Draining {
			n++
		}
	}
	return n
}
