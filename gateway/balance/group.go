package balance

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// failureTTL is how long an observed failure of a group overrides reports of the same epoch, since a failed rank is
	// reported with a delay. After that time, the group gets requests again even without a newer report.
	failureTTL = 2 * time.Second
	// epochTTL is the age of the last report after which a report with a lower epoch is accepted, since epochs restart
	// when the platform is reset.
	epochTTL = 5 * time.Second
)

// GroupReport is what the agent of a rank, the part of the rank's sidecar that serves gateways, reports about the rank's
// group.
type GroupReport struct {
	Group   string
	Epoch   int64
	Serving bool
	// Members are the addresses of the group's servers, nil if unknown.
	Members []string
	// RequestedAt is when the report was requested. Its content is not older.
	RequestedAt time.Time
}

// Group is this process's view of a group of ranks. The ranks run each pass together, so the group serves
// nothing while one of them has failed. Its methods are safe for concurrent use.
type Group struct {
	Name string

	mu sync.Mutex
	// epoch and reportedServing are from the last report applied, which was requested at reportedAt.
	epoch           int64
	reportedServing bool
	reportedAt      time.Time
	// failedAt is when a response last showed that the group does not serve, zero if none did. failedEpoch is the epoch
	// at that time.
	failedAt    time.Time
	failedEpoch int64
	// polledAt is when the group was last polled.
	polledAt time.Time
}

// Serving reports whether the group accepts new requests, according to the reports and responses that this process has
// received.
func (g *Group) Serving(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving(now)
}

func (g *Group) serving(now time.Time) bool {
	return g.reportedServing && (g.failedAt.IsZero() || now.Sub(g.failedAt) > failureTTL)
}

// applyReport applies a report and returns whether the group has started or stopped serving. An observed failure
// overrides reports requested before it, and for failureTTL also later ones of the same epoch.
func (g *Group) applyReport(r GroupReport) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.RequestedAt.Before(g.reportedAt) || (r.Epoch < g.epoch && r.RequestedAt.Sub(g.reportedAt) < epochTTL) {
		return false
	}
	wasServing := g.serving(r.RequestedAt)
	g.epoch, g.reportedServing, g.reportedAt = r.Epoch, r.Serving, r.RequestedAt
	if r.Serving && !r.RequestedAt.Before(g.failedAt) && r.Epoch > g.failedEpoch {
		g.failedAt = time.Time{}
	}
	return g.serving(r.RequestedAt) != wasServing
}

// markFailed records a response which shows that the group does not serve. It reports whether the group was serving
// until then.
func (g *Group) markFailed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasServing := g.serving(now)
	g.failedAt, g.failedEpoch = now, g.epoch
	return wasServing
}

// pollDue reports whether the group should be polled for its state. If so, it records the poll.
func (g *Group) pollDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := servingPollInterval
	if !g.serving(now) {
		interval = notServingPollInterval
	}
	if now.Sub(g.polledAt) < interval {
		return false
	}
	g.polledAt = now
	return true
}

const (
	// servingPollInterval and notServingPollInterval are the intervals between polls of a group.
	servingPollInterval    = 350 * time.Millisecond
	notServingPollInterval = 150 * time.Millisecond
	// unknownPollInterval is the interval between polls of a server whose group is unknown.
	unknownPollInterval = time.Second
	// maxPollsPerRound bounds the polls of one round.
	maxPollsPerRound = 8
)

// GroupInfo is the state of one group of a service.
type GroupInfo struct {
	// Name is empty for the servers whose group is unknown.
	Name string
	// Slots is the sum of the slots of the servers that are neither leaving nor in an evacuated failure domain.
	Slots int
	// Serving is false also if all servers that are not leaving are in evacuated failure domains.
	Serving bool
}

// groupCount counts the servers of a group while GroupInfo is built.
type groupCount struct {
	GroupInfo
	evacuated, usable int
}

// Groups returns the groups of a service sorted by name.
func (f *Fleet) Groups(service string, now time.Time) []GroupInfo {
	byName := map[string]*groupCount{}
	for _, b := range f.Backends(service) {
		s, group := b.serverAndGroup()
		info := groupCount{GroupInfo: GroupInfo{Serving: true}}
		if group != nil {
			info.GroupInfo = GroupInfo{Name: group.Name, Serving: group.Serving(now)}
		}
		if byName[info.Name] == nil {
			byName[info.Name] = &info
		}
		byName[info.Name].count(b, s.Slots)
	}
	out := make([]GroupInfo, 0, len(byName))
	for _, info := range byName {
		info.Serving = info.Serving && (info.usable > 0 || info.evacuated == 0)
		out = append(out, info.GroupInfo)
	}
	slices.SortFunc(out, func(a, b GroupInfo) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// count adds a server to the group.
func (i *groupCount) count(b *Backend, slots int) {
	switch {
	case b.IsUsable():
		i.usable++
		i.Slots += slots
	case !b.IsLeaving():
		i.evacuated++
	}
}

// GroupChange is the effect of a report.
type GroupChange struct {
	// ServingChanged is set when the group has started or stopped serving.
	ServingChanged bool
	// MembersChanged counts the servers that are now in a different group.
	MembersChanged int
}

// ApplyGroupReport applies a report from the agent of the server at the address, and returns its effect. What an agent
// reports about its own server takes precedence over the members listed in other reports.
func (f *Fleet) ApplyGroupReport(service, address string, r GroupReport) (c GroupChange) {
	group := f.group(service, r.Group)
	if group != nil {
		c.ServingChanged = group.applyReport(r)
	}
	for _, b := range f.Backends(service) {
		selfReported := b.Pool.Address() == address
		if !selfReported && (group == nil || !slices.Contains(r.Members, b.Pool.Address())) {
			continue
		}
		if b.setGroup(group, selfReported) {
			c.MembersChanged++
		}
	}
	return c
}

// HasUnknownGroup reports whether the group of any server of the service is unknown.
func (f *Fleet) HasUnknownGroup(service string) bool {
	return slices.ContainsFunc(f.Backends(service), func(b *Backend) bool {
		_, group := b.serverAndGroup()
		return group == nil
	})
}

// group returns the group with the name and creates it if needed. It returns nil for an empty name.
func (f *Fleet) group(service, name string) *Group {
	if name == "" {
		return nil
	}
	f.groupsLock.Lock()
	defer f.groupsLock.Unlock()
	key := groupKey{service, name}
	g, ok := f.groups[key]
	if !ok {
		if len(f.groups) >= maxEmptyGroups {
			f.removeEmptyGroups()
		}
		g = &Group{Name: name}
		f.groups[key] = g
	}
	return g
}

// maxEmptyGroups bounds the groups without servers that are kept. A group may be without servers while they restart.
const maxEmptyGroups = 256

// removeEmptyGroups removes the groups that no server is in. The caller holds groupsLock.
func (f *Fleet) removeEmptyGroups() {
	used := map[*Group]bool{}
	for _, b := range f.All() {
		_, group := b.serverAndGroup()
		used[group] = true
	}
	maps.DeleteFunc(f.groups, func(_ groupKey, g *Group) bool { return !used[g] })
}

type groupKey struct{ service, name string }

// MarkGroupFailed records a response which shows that the server's group does not serve. It returns the group's name
// and whether the group was serving until then.
func (f *Fleet) MarkGroupFailed(b *Backend, now time.Time) (name string, changed bool) {
	_, group := b.serverAndGroup()
	if group == nil {
		return "", false
	}
	return group.Name, group.markFailed(now)
}

// PollTargets returns the servers whose agents are to be polled now: one of each group that is due, preferably in the
// local failure domain, and some servers whose group is unknown. random returns a number in [0, 1).
func (f *Fleet) PollTargets(service string, random func() float64, now time.Time) []*Backend {
	members := map[*Group][]*Backend{}
	var out []*Backend
	for _, b := range f.Backends(service) {
		_, group := b.serverAndGroup()
		if group != nil {
			members[group] = append(members[group], b)
		} else if len(out) < maxPollsPerRound && b.pollDue(now) {
			out = append(out, b)
		}
	}
	for group, servers := range members {
		if len(out) < maxPollsPerRound && group.pollDue(now) {
			out = append(out, f.pollTarget(servers, random))
		}
	}
	return out
}

// localPollFraction is the fraction of the polls of a group that go to a server in the local failure domain. The others
// go to any server of the group, to detect what servers in the local failure domain cannot observe.
const localPollFraction = 0.8

func (f *Fleet) pollTarget(members []*Backend, random func() float64) *Backend {
	var local []*Backend
	for _, b := range members {
		if b.Server().Domain == f.domain {
			local = append(local, b)
		}
	}
	if len(local) > 0 && random() < localPollFraction {
		members = local
	}
	return members[int(random()*float64(len(members)))]
}
