package balance

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// evacuations holds the evacuated failure domains of a fleet. The fleet and its backends share it, so that a change
// takes effect at every backend at once. It is safe for concurrent use.
type evacuations struct {
	current atomic.Pointer[evacuationState]
}

// evacuationState is immutable.
type evacuationState struct {
	evacuated map[string]bool
	// returnedAt maps each domain that was evacuated before to the time at which it was taken back.
	returnedAt map[string]time.Time
}

func newEvacuations() *evacuations {
	e := &evacuations{}
	e.current.Store(&evacuationState{returnedAt: map[string]time.Time{}})
	return e
}

func (e *evacuations) covers(domain string) bool { return e.current.Load().evacuated[domain] }

// EvacuationChange reports that a failure domain was evacuated or taken back.
type EvacuationChange struct {
	Domain    string
	Evacuated bool
}

// SetEvacuated sets the evacuated failure domains and returns the changes sorted by domain. A server of an evacuated
// domain gets no requests. Those that it has already received continue.
func (f *Fleet) SetEvacuated(domains []string, now time.Time) []EvacuationChange {
	f.updates.Lock()
	defer f.updates.Unlock()
	old := f.evacuations.current.Load()
	next := &evacuationState{evacuated: map[string]bool{}, returnedAt: maps.Clone(old.returnedAt)}
	var changes []EvacuationChange
	for _, domain := range domains {
		if !old.evacuated[domain] && !next.evacuated[domain] {
			changes = append(changes, EvacuationChange{Domain: domain, Evacuated: true})
		}
		next.evacuated[domain] = true
		delete(next.returnedAt, domain)
	}
	for domain := range old.evacuated {
		if !next.evacuated[domain] {
			next.returnedAt[domain] = now
			changes = append(changes, EvacuationChange{Domain: domain})
		}
	}
	if len(changes) == 0 {
		return nil
	}
	f.evacuations.current.Store(next)
	slices.SortFunc(changes, func(a, b EvacuationChange) int { return strings.Compare(a.Domain, b.Domain) })
	return changes
}

// Evacuated returns the evacuated failure domains, sorted.
func (f *Fleet) Evacuated() []string {
	return slices.Sorted(maps.Keys(f.evacuations.current.Load().evacuated))
}

// IsEvacuated reports whether a service has servers that are not leaving, and all of them are in evacuated failure
// domains.
func (f *Fleet) IsEvacuated(service string) bool {
	evacuated := false
	for _, b := range f.Backends(service) {
		if b.IsUsable() {
			return false
		}
		evacuated = evacuated || !b.IsLeaving()
	}
	return evacuated
}

// isEvacuated reports whether the server's failure domain is evacuated. The caller holds the lock.
func (b *Backend) isEvacuated() bool { return b.evacuations.covers(b.server.Domain) }

// isUsable reports whether the server may get requests when nothing temporary, such as a suspension, prevents it. The
// caller holds the lock.
func (b *Backend) isUsable() bool { return !b.isLeaving() && !b.isEvacuated() }

// IsUsable reports whether the server is neither leaving nor in an evacuated failure domain.
func (b *Backend) IsUsable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isUsable()
}

// HasAlternative reports whether another server of a service in the regions could take a request of the backend b. The
// server of b counts as one of the service until it leaves.
func (f *Fleet) HasAlternative(service string, b *Backend, regions Regions) bool {
	n := 0
	for _, other := range f.Backends(service) {
		if (other.IsUsable() && other.IsIn(regions)) || (other == b && !other.IsLeaving()) {
			n++
		}
	}
	return n > 1
}

// rewriteGrace is how long after a restore of the key-value service from an older copy a missing evacuation record
// counts as present. The operator, who had an acknowledgement of the write, writes the record again in that time.
const rewriteGrace = 3 * time.Second

// EvacuationRecords derives the evacuated failure domains from the records in the key-value service. The zero value has
// none. It is not safe for concurrent use.
type EvacuationRecords struct {
	// era is the era of the records, known is set after the first Update.
	era    int64
	known  bool
	listed []string
	// keptUntil maps the domains whose records a restore has removed to the time until which they count as present.
	keptUntil map[string]time.Time
}

// Update replaces the records. era is the number of times that the service was restored before they were read.
func (r *EvacuationRecords) Update(domains []string, era int64, now time.Time) {
	kept := map[string]time.Time{}
	restored := r.known && era > r.era
	for _, domain := range r.Domains(now) {
		until := r.keptUntil[domain]
		if restored {
			until = now.Add(rewriteGrace)
		}
		if now.Before(until) && !slices.Contains(domains, domain) {
			kept[domain] = until
		}
	}
	r.era, r.known, r.listed, r.keptUntil = era, true, domains, kept
}

// Domains returns the evacuated domains, sorted.
func (r *EvacuationRecords) Domains(now time.Time) []string {
	out := slices.Clone(r.listed)
	for domain, until := range r.keptUntil {
		if now.Before(until) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
