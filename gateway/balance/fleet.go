package balance

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
)

// Fleet holds the backends of all services. Its methods are safe for concurrent use.
type Fleet struct {
	dialect exchange.Dialect
	domain  string
	// evacuations, warmups, gateways and regions are shared with the backends.
	evacuations *evacuations
	warmups     *warmups
	gateways    *gatewayTable
	regions     *regionTable
	// updates serializes the changes of the list.
	updates sync.Mutex
	current atomic.Pointer[snapshot]

	// The fields below are guarded by updates. former holds the state of incarnations that were listed until recently.
	former  map[catalog.Incarnation]formerIncarnation
	removed *removedTable
	// services are the services that the configuration names, nil while it is unknown.
	services map[string]bool
	// listed and keepUntil are the arguments of the last UpdateList.
	listed    ServerList
	keepUntil time.Time
	// hasList is set after the first Update.
	hasList bool

	demand demandTable

	// orderStart holds the bits of the fraction set by SetOrderStart, NaN before.
	orderStart atomic.Uint64

	groupsLock sync.Mutex
	groups     map[groupKey]*Group
}

// snapshot is an immutable list of the backends.
type snapshot struct {
	byID      map[string]*Backend
	byService map[string][]*Backend
	// missing maps the ID of each server that is absent from the list to the time until which the server is kept.
	missing map[string]time.Time
}

func newSnapshot() *snapshot {
	return &snapshot{byID: map[string]*Backend{}, byService: map[string][]*Backend{}, missing: map[string]time.Time{}}
}

// NewFleet returns a fleet without backends for a process in the given failure domain.
func NewFleet(dialect exchange.Dialect, domain string) *Fleet {
	f := &Fleet{
		dialect: dialect, domain: domain,
		evacuations: newEvacuations(), warmups: newWarmups(), gateways: newGatewayTable(), regions: newRegionTable(),
		former: map[catalog.Incarnation]formerIncarnation{}, removed: newRemovedTable(), groups: map[groupKey]*Group{},
	}
	f.current.Store(newSnapshot())
	f.SetOrderStart(math.NaN())
	return f
}

// SetPaces sets the paces of a service's slow servers by address; every other server is at its expected speed. It
// returns the servers whose pace changed.
func (f *Fleet) SetPaces(service string, paces map[string]float64) []catalog.Server {
	backends := f.Backends(service)
	hasAlternative := slices.ContainsFunc(backends, func(b *Backend) bool {
		return paces[b.Pool.Address()] < minMovePace && b.IsUsable()
	})
	var changed []catalog.Server
	for _, b := range backends {
		if b.setPace(paces[b.Pool.Address()], hasAlternative) {
			changed = append(changed, b.Server())
		}
	}
	return changed
}

// MoveFromSilent moves requests away from servers that have been silent for moveSilentAfter, except those of the
// excluded groups. It returns the servers from which requests were moved.
func (f *Fleet) MoveFromSilent(service string, excludedGroups []string, now time.Time) []catalog.Server {
	var moved []catalog.Server
	for _, b := range f.Backends(service) {
		if _, group := b.serverAndGroup(); group != nil && slices.Contains(excludedGroups, group.Name) {
			continue
		}
		if b.moveIfSilent(now) {
			moved = append(moved, b.Server())
		}
	}
	return moved
}

// Backends returns the backends of a service. The caller must not modify the slice.
func (f *Fleet) Backends(service string) []*Backend { return f.current.Load().byService[service] }

// IsListed reports whether there is a backend of the server with an ID.
func (f *Fleet) IsListed(id string) bool {
	_, ok := f.current.Load().byID[id]
	return ok
}

// All returns all backends.
func (f *Fleet) All() []*Backend {
	s := f.current.Load()
	out := make([]*Backend, 0, len(s.byID))
	for _, b := range s.byID {
		out = append(out, b)
	}
	return out
}
