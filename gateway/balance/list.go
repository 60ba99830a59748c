package balance

import (
	"maps"
	"time"

	"lavendermoor.example/gateway/catalog"
)

// Change is one difference between two lists of servers.
type Change struct {
	Server catalog.Server
	// Kind is "added", "removed", "draining", "ready" if later entries show that the server does not drain, "moved" to another
	// address in the same incarnation, or "disputed" if an entry names another address, service or failure domain of the same
	// incarnation for the first time.
	Kind string
	// Former is the address of the former incarnation of an added server, of a server before it moved, or of a disputed one,
	// empty if there is none.
	Former string
}

// ServerList is the list of servers.
type ServerList struct {
	Servers []catalog.Server
	// Era increases when the list is restored from an older copy. In the first list of an era, an entry may be older than the
	// last one of the list before.
	Era int64
	// Invalid holds the IDs below which an entry is listed that is not one of a server. Another writer has replaced the
	// entry of the server with that ID, if there is one, until the server's next heartbeat.
	Invalid []string
}

// Update is UpdateList for a list without invalid entries.
func (f *Fleet) Update(servers []catalog.Server, keepUntil, now time.Time) []Change {
	return f.UpdateList(ServerList{Servers: servers}, keepUntil, now)
}

// UpdateList replaces the list of servers and returns the changes. Entries older than the current entry of the same
// incarnation are ignored. A server that is newly missing is kept until keepUntil, because its entry may have expired
// during an outage although it is alive. Until then it gets requests only if its service has no other server. With a
// zero keepUntil it is removed immediately. An invalid entry changes nothing.
func (f *Fleet) UpdateList(list ServerList, keepUntil, now time.Time) []Change {
	f.updates.Lock()
	defer f.updates.Unlock()
	if list.Era != f.listed.Era {
		f.removed.restore(list.Servers)
	}
	f.listed, f.keepUntil = list, keepUntil
	defer func() { f.hasList = true }()
	return f.applyList(now)
}

// SetServices sets the names of the services that the configuration names, and returns the changes. An entry of another
// service has no effect on the servers of these, and counts as invalid below the ID of one of them. Before the first call,
// all services count as named.
func (f *Fleet) SetServices(names []string, now time.Time) []Change {
	f.updates.Lock()
	defer f.updates.Unlock()
	f.services = map[string]bool{}
	for _, name := range names {
		f.services[name] = true
	}
	return f.applyList(now)
}

// isNamed reports whether the configuration names a service.
func (f *Fleet) isNamed(service string) bool { return f.services == nil || f.services[service] }

// applyList makes the servers listed last the current ones. The caller holds updates.
func (f *Fleet) applyList(now time.Time) []Change {
	old, next := f.forgetForeign(f.current.Load(), now), newSnapshot()
	held := f.heldServers(old)
	entries, changes := f.keepPlaces(old, held, now)
	latest := f.latestStarts(entries)
	for _, s := range entries {
		if held[s.ID] || f.removed.includes(s) || superseded(s, latest) {
			continue
		}
		b, change := f.applyEntry(s, old.byID[s.ID], now)
		if change != nil {
			changes = append(changes, *change)
		}
		next.add(s.ID, b)
	}
	for id, b := range old.byID {
		if _, listed := next.byID[id]; listed {
			continue
		}
		until, missing := old.missing[id]
		switch {
		case superseded(b.Server(), latest):
			until = now
		case held[id] && !missing:
			next.add(id, b)
			continue
		case !missing:
			until = f.keepUntil
		}
		changes = f.keepMissing(next, b, until, now, changes)
	}
	f.publish(next)
	return changes
}

// applyEntry returns the backend of a listed server, and the change if there is one. known is the current backend below the
// ID of the server, nil if there is none.
func (f *Fleet) applyEntry(s catalog.Server, known *Backend, now time.Time) (*Backend, *Change) {
	if known != nil && known.Pool.Address() == s.Address && !known.restarted(s) {
		if kind := known.updateEntry(s, now); kind != "" {
			return known, &Change{Server: s, Kind: kind}
		}
		return known, nil
	}
	change := additionOf(s, known)
	switch {
	case known == nil:
	case !known.restarted(s):
		return f.moveBackend(known, s, now), &change
	default:
		// No state of the former incarnation applies to the new one.
		f.retire(known, now)
	}
	return f.addBackend(s, now), &change
}

// additionOf returns the change by which a server is added. former is the backend that it replaces, nil if there is none.
func additionOf(s catalog.Server, former *Backend) Change {
	if former == nil {
		return Change{Server: s, Kind: "added"}
	}
	c := Change{Server: s, Kind: "moved", Former: former.Pool.Address()}
	if former.restarted(s) {
		c.Kind = "added"
	}
	return c
}

// forgetForeign returns the current snapshot without the servers of services that the configuration does not name whose listed
// entry is now one of a named service. An incarnation never changes its service, so another writer wrote the entries before, and
// nothing that they said applies.
func (f *Fleet) forgetForeign(current *snapshot, now time.Time) *snapshot {
	out := &snapshot{byID: maps.Clone(current.byID), missing: current.missing}
	for _, s := range f.listed.Servers {
		if b, known := out.byID[s.ID]; known && f.isNamed(s.Service) && !f.isNamed(b.Server().Service) {
			f.retire(b, now)
			delete(out.byID, s.ID)
		}
	}
	return out
}

// heldServers returns the IDs of the current servers whose entry has been replaced by an invalid one, or by one of a service
// that the configuration does not name. They stay as they are.
func (f *Fleet) heldServers(current *snapshot) map[string]bool {
	held := map[string]bool{}
	for _, id := range f.listed.Invalid {
		held[id] = true
	}
	for _, s := range f.listed.Servers {
		if f.isNamed(s.Service) {
			continue
		}
		if b, known := current.byID[s.ID]; known && f.isNamed(b.Server().Service) {
			held[s.ID] = true
		}
	}
	return held
}

// keepMissing adds a missing server to the next snapshot, or removes the server if the given time has passed. It
// returns the changes, with the removal appended.
func (f *Fleet) keepMissing(next *snapshot, b *Backend, until, now time.Time, changes []Change) []Change {
	s := b.Server()
	if !now.Before(until) {
		f.retire(b, now)
		return append(changes, Change{Server: s, Kind: "removed"})
	}
	b.setMissing(true)
	next.missing[s.ID] = until
	next.add(s.ID, b)
	return changes
}

// RemoveExpired removes the missing servers that need not be kept any longer. It returns the changes.
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
		f.publish(next)
	}
	return changes
}

func (s *snapshot) add(id string, b *Backend) {
	service := b.Server().Service
	s.byID[id] = b
	s.byService[service] = append(s.byService[service], b)
}

func (b *Backend) setMissing(missing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = missing
}

// restarted reports whether the entry is of another incarnation of the server.
func (b *Backend) restarted(s catalog.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !s.Started.IsZero() && !b.server.Started.IsZero() && !s.Started.Equal(b.server.Started)
}

// updateEntry replaces the server's entry. It returns the kind of the change if the server started to drain, or is shown not
// to have started, and empty otherwise. An entry with a lower sequence number is from an older copy of the list and is ignored.
// While the server is listed as draining, the sequence number that counts is that of the draining entry.
func (b *Backend) updateEntry(s catalog.Server, now time.Time) (changed string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing = false
	if hasSequence(s) && s.Started.Equal(b.server.Started) && s.Seq < b.server.Seq {
		return ""
	}
	if b.server.Draining && !b.refutation.add(s, b.server.Seq) && !s.Draining {
		return ""
	}
	// The same entry is applied again at each change of the list.
	if s.Seq != b.server.Seq || s.WarmupLeft != b.server.WarmupLeft {
		b.warm.applyEntry(s, now)
	}
	wasDraining := b.server.Draining
	b.server = s
	return b.changeOfDraining(wasDraining, now)
}
