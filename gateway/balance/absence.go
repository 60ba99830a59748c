package balance

import (
	"maps"
	"time"

	"lavendermoor.example/gateway/catalog"
)

// Absence is how surely the server is not at its address.
type Absence uint8

// The degrees of absence.
const (
	// NotAbsent: nothing shows that the server is elsewhere.
	NotAbsent Absence = iota
	// NoAnswer: nothing that could be the server answered. A server that has answered there before is still there.
	NoAnswer
	// OtherAnswers: something that is not the server answered.
	OtherAnswers
)

// ReportAbsence records that a request found a server absent from its address. The server moves to another address that
// entries of the same incarnation name, if there is one. It returns the change, nil if there is none.
func (f *Fleet) ReportAbsence(b *Backend, absence Absence, now time.Time) *Change {
	if len(b.claimsToTry(absence, now)) == 0 { // The usual case, without the lock of the fleet.
		return nil
	}
	f.updates.Lock()
	defer f.updates.Unlock()
	current := f.current.Load()
	if current.byID[b.Server().ID] != b {
		return nil
	}
	confirmed := current.confirmedAddresses()
	for _, c := range b.claimsToTry(absence, now) {
		if isOccupied(confirmed, c.entry) {
			continue
		}
		change := additionOf(c.entry, b)
		next := f.moveBackend(b, c.entry, now)
		next.refuteClaim(change.Former, now)
		f.replace(current, b, next)
		return &change
	}
	return nil
}

// claimsToTry returns the entries with other addresses at which the server may be, in order, if it is to move now.
func (b *Backend) claimsToTry(absence Absence, now time.Time) claims {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.place
	absent := absence == OtherAnswers || (absence == NoAnswer && !p.confirmed)
	if !absent || len(p.claims) == 0 || b.missing || b.isLeaving() || !p.mayMove(now) {
		return nil
	}
	found := p.claims.inOrder()
	for i := range found {
		found[i].entry = b.keepService(found[i].entry, now)
	}
	return found
}

// refuteClaim records that the server was shown not to be at an address which it has left.
func (b *Backend) refuteClaim(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place.claims.refute(address, now)
}

// moveBackend returns the backend of a server at another address, and takes the present one out of use.
func (f *Fleet) moveBackend(b *Backend, to catalog.Server, now time.Time) *Backend {
	former := b.Server()
	f.retire(b, now)
	if !hasSequence(to) {
		return f.addBackend(to, now)
	}
	key := to.Incarnation()
	state := f.former[key]
	state.draining = false // That was said by entries with the wrong address.
	f.former[key] = state
	next := f.addBackend(to, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	next.place = b.place.movedTo(to.Address, former, now)
	return next
}

// replace publishes a snapshot with another backend of a server.
func (f *Fleet) replace(current *snapshot, former, b *Backend) {
	next := newSnapshot()
	next.missing = maps.Clone(current.missing)
	for id, other := range current.byID {
		if other == former {
			other = b
		}
		next.add(id, other)
	}
	f.publish(next)
}
