package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
)

// Fleet holds the backends of all services. Its methods may be called from any goroutine.
type Fleet struct {
	dialect exchange.Dialect
	domain  string
	// updates is held by the one change in progress.
	updates sync.Mutex
	current atomic.Pointer[snapshot]

	// former holds the starts of servers that went from the list. The lock of updates guards it.
	former map[incarnation]formerIncarnation

	groupsLock sync.Mutex
	groups     map[groupKey]*Group
}

// snapshot is an immutable list of the backends.
type snapshot struct {
	byID      map[string]*Backend
	byService map[string][]*Backend
	// missing holds until when servers are kept that the list lacks.
	missing map[string]time.Time
}

func newSnapshot() *snapshot {
	return &snapshot{byID: map[string]*Backend{}, byService: map[string][]*Backend{}, missing: map[string]time.Time{}}
}

// NewFleet returns a fleet without backends for a process in a failure domain.
func NewFleet(dialect exchange.Dialect, domain string) *Fleet {
	f := &Fleet{dialect: dialect, domain: domain, former: map[incarnation]formerIncarnation{}, groups: map[groupKey]*Group{}}
	f.current.Store(newSnapshot())
	return f
}

// Change is one difference that a list makes.
type Change struct {
	Server catalog.Server
	// What is "added", "removed" or "draining".
	What string
}

// Update takes the servers listed. A server that is newly missing is kept until a time, zero for not at all, and gets
// requests only when no other server of its service can; its entry may have run out in an outage although it lives. Entries
// that are older than what is known of the same start of their server change nothing. It returns what has changed.
func (f *Fleet) Update(servers []catalog.Server, keepUntil, now time.Time) []Change {
	f.updates.Lock()
	defer f.updates.Unlock()
	old, next := f.current.Load(), newSnapshot()
	var changes []Change
	latest := latestStarts(servers)
	for _, s := range servers {
		if f.isStale(s, now) || superseded(s, latest) {
			continue
		}
		b, known := old.byID[s.ID]
		if known && (b.Pool.Address() != s.Address || b.restarted(s)) {
			// Nothing that was learnt of the earlier process holds for the new one.
			f.retire(b, now)
			known = false
		}
		if !known {
			b = f.addBackend(s)
			changes = append(changes, Change{Server: s, What: "added"})
		} else if b.updateEntry(s) {
			changes = append(changes, Change{Server: s, What: "draining"})
		}
		next.add(s.ID, b)
	}
	for id, b := range old.byID {
		if _, listed := next.byID[id]; listed {
			continue
		}
		until, missing := old.missing[id]
		if !missing {
			until = keepUntil
		}
		if superseded(b.Server(), latest) {
			until = now
		}
		changes = f.keepMissing(next, b, until, now, changes)
	}
	f.current.Store(next)
	return changes
}

// keepMissing keeps a server that the list lacks in the view until a time, and removes it from then on. It returns the changes with that.
func (f *Fleet) keepMissing(next *snapshot, b *Backend, until, now time.Time, changes []Change) []Change {
	s := b.Server()
	if !now.Before(until) {
		f.retire(b, now)
		return append(changes, Change{Server: s, What: "removed"})
	}
	b.setMissing(true)
	next.missing[s.ID] = until
	next.add(s.ID, b)
	return changes
}

// RemoveExpired removes the servers that the list lacks and whose time has passed. It returns what has changed.
func (f *Fleet) RemoveExpired(now time.Time) []Change {
	f.updates.Lock()
	defer f.updates.Unlock()
	old, next := f.current.Load(), newSnapshot()
	if len(old.missing) == 0 {
		return nil
	}
	var changes []Change
	for id, b := range old.byID {
		if until, missing := old.missing[id]; missing {
			changes = f.keepMissing(next, b, until, now, changes)
			continue
		}
		next.add(id, b)
	}
	if len(changes) > 0 {
		f.current.Store(next)
	}
	return changes
}

func (v *snapshot) add(id string, b *Backend) {
	service := b.Server().Service
	v.byID[id] = b
	v.byService[service] = append(v.byService[service], b)
}

func (b *Backend) setMissing(missing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = missing
}

// restarted says whether the entry is that of a later start of the server.
func (b *Backend) restarted(s catalog.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !s.Started.IsZero() && !b.server.Started.IsZero() && !s.Started.Equal(b.server.Started)
}

// updateEntry takes the server's new entry and says whether it has begun to drain. An entry with a lower count is from an older copy
// of the list, and a server that has begun to drain does so until it starts anew.
func (b *Backend) updateEntry(s catalog.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = false
	if hasSequence(s) && s.Started.Equal(b.server.Started) && s.Seq < b.server.Seq {
		return false
	}
	began := s.Draining && !b.server.Draining
	s.Draining = s.Draining || (b.server.Draining && !s.Started.IsZero())
	b.server = s
	return began
}

// SetPaces takes the paces of the slow servers of a service, by address; every other one is well. It returns the servers
// whose pace has changed.
func (f *Fleet) SetPaces(service string, paces map[string]float64) []catalog.Server {
	backends := f.Backends(service)
	hasAlternative := slices.ContainsFunc(backends, func(b *Backend) bool {
		return paces[b.Pool.Address()] < minMovePace && !b.IsLeaving()
	})
	var changed []catalog.Server
	for _, b := range backends {
		if b.setPace(paces[b.Pool.Address()], hasAlternative) {
			changed = append(changed, b.Server())
		}
	}
	return changed
}

// MoveFromSilent moves requests away from servers that have been silent for long, but for those of some groups, and returns those
// servers.
func (f *Fleet) MoveFromSilent(service string, excludedGroups []string, now time.Time) []catalog.Server {
	var moved []catalog.Server
	for _, b := range f.Backends(service) {
		if _, group := b.entry(); group != nil && slices.Contains(excludedGroups, group.Name) {
			continue
		}
		if b.moveIfSilent(now) {
			moved = append(moved, b.Server())
		}
	}
	return moved
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
		if !b.IsLeaving() {
			n++
		}
	}
	return n
}
