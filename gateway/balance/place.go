package balance

import (
	"slices"
	"sync"
	"time"

	"lavendermoor.example/gateway/catalog"
)

// An incarnation never changes its place. An entry that names another one than the entries before is therefore from another
// writer, or those before are. The place that was believed first stays until it is shown to be wrong.

// place is what an incarnation of a server never changes.
type place struct{ address, service, domain string }

func placeOf(s catalog.Server) place { return place{s.Address, s.Service, s.Domain} }

const (
	// minMoveInterval is the shortest time between two moves of an incarnation.
	minMoveInterval = 500 * time.Millisecond
	// minAgreement is the number of different sequence numbers with which entries must name the same other place, and none
	// the present one in between, before they are believed without further evidence.
	minAgreement = 3
	// minContradiction is how long entries must name the same other place, and none the present one, before they change the
	// service or failure domain of a server that has answered. The server writes an entry many times within it.
	minContradiction = 30 * time.Second
)

// agreement counts the entries in a row that name the same other place and agree on whether the server drains there.
type agreement struct {
	place    place
	draining bool
	seq      int64
	count    int
	since    time.Time
}

// add counts an entry and reports whether there are enough of them.
func (a *agreement) add(s catalog.Server, now time.Time) bool {
	switch named := placeOf(s); {
	case named != a.place || s.Draining != a.draining || a.count == 0:
		*a = agreement{place: named, draining: s.Draining, seq: s.Seq, count: 1, since: now}
	case s.Seq > a.seq:
		a.seq, a.count = s.Seq, a.count+1
	}
	return a.count >= minAgreement
}

// contradicts reports whether the entries have agreed for long enough to be believed against the server's own answers.
func (a *agreement) contradicts(now time.Time) bool {
	return a.count >= minAgreement && now.Sub(a.since) >= minContradiction
}

// placeState is what is known of the place of an incarnation. It is guarded by the backend's lock.
type placeState struct {
	claims claims
	// elsewhere holds the last entries in a row that name another place.
	elsewhere agreement
	// confirmed is set when the server has answered at its present address, answered when it has at any. It has then run
	// requests as one of its service.
	confirmed, answered bool
	// movedAt is when the server last moved, zero if it did not.
	movedAt time.Time
	// reported is set once a conflict of entries was reported.
	reported bool
}

// mayMove reports whether it is long enough since the last move.
func (p *placeState) mayMove(now time.Time) bool { return now.Sub(p.movedAt) >= minMoveInterval }

// movedTo returns the state after a move to another address. former is the last entry with the present one, which is a claim now.
func (p *placeState) movedTo(address string, former catalog.Server, now time.Time) placeState {
	next := placeState{claims: p.claims.without(address), movedAt: now, reported: p.reported, answered: p.answered}
	next.claims.add(former)
	return next
}

// isOtherPlace reports whether an entry names another place for the incarnation of the server.
func (b *Backend) isOtherPlace(s catalog.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return hasSequence(s) && s.Started.Equal(b.server.Started) && placeOf(s) != placeOf(b.server)
}

// keepPlaces returns the listed servers as they are to be applied: entries that name another place for a known incarnation
// are replaced by what still holds. The changes are the conflicts that were not reported before.
func (f *Fleet) keepPlaces(current *snapshot, held map[string]bool, now time.Time) (entries []catalog.Server, changes []Change) {
	entries = slices.Clone(f.listed.Servers)
	confirmed := sync.OnceValue(current.confirmedAddresses)
	for i, s := range entries {
		known := current.byID[s.ID]
		if known == nil || held[s.ID] {
			continue
		}
		if !known.isOtherPlace(s) {
			known.observePresentPlace()
			continue
		}
		if known.observeConflict() {
			changes = append(changes, Change{Server: s, Kind: "disputed", Former: known.Pool.Address()})
		}
		entries[i] = known.settlePlace(s, isOccupied(confirmed(), s), now)
	}
	return entries, changes
}

// confirmedAddresses maps the addresses at which servers have answered to their IDs.
func (s *snapshot) confirmedAddresses() map[string]string {
	out := map[string]string{}
	for id, b := range s.byID {
		if b.IsConfirmed() {
			out[b.Pool.Address()] = id
		}
	}
	return out
}

// isOccupied reports whether another server has answered at the address of an entry.
func isOccupied(confirmed map[string]string, s catalog.Server) bool {
	id, ok := confirmed[s.Address]
	return ok && id != s.ID
}

// observePresentPlace records an entry that names the present place.
func (b *Backend) observePresentPlace() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place.elsewhere = agreement{}
}

// observeConflict records that entries of the incarnation name different places, and reports whether that is new.
func (b *Backend) observeConflict() (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isNew = !b.place.reported
	b.place.reported = true
	return isNew
}

// settlePlace records an entry that names another place, and returns the one to apply instead: that entry if its place is
// believed, also with the service and the failure domain that the server keeps, else the present one. occupied is set if another
// server is at the address.
func (b *Backend) settlePlace(s catalog.Server, occupied bool, now time.Time) catalog.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.place
	agreed := p.elsewhere.add(s, now)
	s = b.keepService(s, now)
	if s.Address == b.server.Address {
		if !agreed {
			s.Service, s.Domain = b.server.Service, b.server.Domain
		}
		return s
	}
	p.claims.add(s)
	if agreed && !p.confirmed && !occupied && p.mayMove(now) {
		return s
	}
	return b.server
}

// keepService returns an entry of the incarnation with the service and the failure domain that the server has if it has answered,
// unless entries have contradicted these for long. The caller holds the lock.
func (b *Backend) keepService(s catalog.Server, now time.Time) catalog.Server {
	if b.place.answered && !b.place.elsewhere.contradicts(now) {
		s.Service, s.Domain = b.server.Service, b.server.Domain
	}
	return s
}

// ConfirmAddress records that the server has answered a request at its address.
func (b *Backend) ConfirmAddress() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place.confirmed, b.place.answered = true, true
}

// IsConfirmed reports whether the server has answered at its present address.
func (b *Backend) IsConfirmed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place.confirmed
}

// IsDisputed reports whether entries of the incarnation name another address at which the server may be.
func (b *Backend) IsDisputed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.place.claims) > 0
}
