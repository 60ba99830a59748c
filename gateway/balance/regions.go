package balance

import (
	"slices"
	"sync/atomic"
)

// Regions restricts a request to servers in some regions. Nil allows every server, an empty list none.
type Regions []string

// IntersectRegions returns the restriction of a request by two lists of allowed regions. An empty list does not restrict.
func IntersectRegions(a, b []string) Regions {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	both := make(Regions, 0, len(a))
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// regionTable maps failure domains to regions. The fleet and its backends share it, so that a change takes effect at
// every backend at once. It is safe for concurrent use.
type regionTable struct {
	// current points to a map that is not modified.
	current atomic.Pointer[map[string]string]
}

func newRegionTable() *regionTable {
	t := &regionTable{}
	t.current.Store(&map[string]string{})
	return t
}

// SetRegions sets the region of each failure domain. The caller must not modify the map afterwards.
func (f *Fleet) SetRegions(byDomain map[string]string) { f.regions.current.Store(&byDomain) }

// IsIn reports whether the server is in one of the regions. A server of unknown region is in none.
func (b *Backend) IsIn(regions Regions) bool {
	if regions == nil {
		return true
	}
	region := (*b.regions.current.Load())[b.Server().Domain]
	return region != "" && slices.Contains(regions, region)
}

// HasServerIn reports whether a usable server of a service is in one of the regions. It is true for nil regions.
func (f *Fleet) HasServerIn(service string, regions Regions) bool {
	return regions == nil || slices.ContainsFunc(f.Backends(service), func(b *Backend) bool {
		return b.IsUsable() && b.IsIn(regions)
	})
}

// GroupsIn returns the names of the groups of a service that have a usable server in one of the regions, nil for nil
// regions. The name of an unknown group is empty.
func (f *Fleet) GroupsIn(service string, regions Regions) map[string]bool {
	if regions == nil {
		return nil
	}
	names := map[string]bool{}
	for _, b := range f.Backends(service) {
		if !b.IsUsable() || !b.IsIn(regions) {
			continue
		}
		name := ""
		if _, group := b.serverAndGroup(); group != nil {
			name = group.Name
		}
		names[name] = true
	}
	return names
}
