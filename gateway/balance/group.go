package balance

import (
	"slices"
	"sync"
	"time"
)

const (
	// failureTTL is how long an own outcome that shows a broken group counts against reports of the same epoch: a rank that
	// has gone is reported with a delay. Without any report the group is tried again after it.
	failureTTL = 2 * time.Second
	// epochTTL is the age of a report from which one of a lower epoch is taken, since a platform that was reset counts anew.
	epochTTL = 5 * time.Second
)

// GroupReport is what a process beside a rank says of the rank's group.
type GroupReport struct {
	Group string
	Epoch int64
	// Serving says that the group serves.
	Serving bool
	// Members are the addresses of the group's servers; nil when they are not known.
	Members []string
	// RequestedAt is when the question was sent, so that the report is not older.
	RequestedAt time.Time
}

// Group is what this process knows of a group of ranks, which make every pass together: while one of them is gone, none
// serves. Its methods may be called from any goroutine.
type Group struct {
	Name string

	mu              sync.Mutex
	epoch           int64
	reportedServing bool
	reportedAt      time.Time
	// failedAt is when an own outcome has shown that the group does not serve, zero without one; faultEpoch is the epoch then.
	failedAt    time.Time
	failedEpoch int64
	// polledAt is when a question was sent last.
	polledAt time.Time
}

// Serving says whether the group takes new work, as far as this process knows.
func (g *Group) Serving(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving(now)
}

func (g *Group) serving(now time.Time) bool {
	return g.reportedServing && (g.failedAt.IsZero() || now.Sub(g.failedAt) > failureTTL)
}

// applyReport takes a report and says whether the group serves now and did not before, or the other way round. Own outcomes go
// before a report that was asked for earlier, and before one of the same epoch for a while.
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

// markFailed takes an own outcome which shows that the group does not serve, and says whether that is news.
func (g *Group) markFailed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasServing := g.serving(now)
	g.failedAt, g.failedEpoch = now, g.epoch
	return wasServing
}

// pollDue says whether the group should be asked for its state, and counts it as asked if so.
func (g *Group) pollDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := servingPollInterval
	if !g.serving(now) {
		interval = failedPollInterval
	}
	if now.Sub(g.polledAt) < interval {
		return false
	}
	g.polledAt = now
	return true
}

const (
	// servingPollInterval and askBroken are the times between two questions for the state of a group.
	servingPollInterval = 350 * time.Millisecond
	failedPollInterval  = 150 * time.Millisecond
	// unknownPollInterval is the time between two questions to a server whose group is not known.
	unknownPollInterval = time.Second
	// maxPollsPerRound bounds the questions of one round.
	maxPollsPerRound = 8
)

// GroupInfo is the state of one group of a service.
type GroupInfo struct {
	// Name is empty for the servers whose group is not known.
	Name string
	// Slots are those of the servers that may get new requests.
	Slots   int
	Serving bool
}

// Groups returns the groups of a service in order of name.
func (f *Fleet) Groups(service string, now time.Time) []GroupInfo {
	byName := map[string]*GroupInfo{}
	for _, b := range f.Backends(service) {
		s, group := b.entry()
		info := GroupInfo{Serving: true}
		if group != nil {
			info = GroupInfo{Name: group.Name, Serving: group.Serving(now)}
		}
		if byName[info.Name] == nil {
			byName[info.Name] = &info
		}
		if !b.IsLeaving() {
			byName[info.Name].Slots += s.Slots
		}
	}
	out := make([]GroupInfo, 0, len(byName))
	for _, info := range byName {
		out = append(out, *info)
	}
	slices.SortFunc(out, func(a, b GroupInfo) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// GroupChange says what a report has changed.
type GroupChange struct {
	// ServingChanged says that the group serves now and did not before, or the other way round.
	ServingChanged bool
	// MembersChanged counts the servers whose group is another one now.
	MembersChanged int
}

// ApplyGroupReport takes the report that the process beside a server gave, and says what it has changed. What the process beside a
// server says of its own group goes before the lists of members that others give.
func (f *Fleet) ApplyGroupReport(service, address string, r GroupReport) (c GroupChange) {
	group := f.group(service, r.Group)
	if group != nil {
		c.ServingChanged = group.applyReport(r)
	}
	for _, b := range f.Backends(service) {
		own := b.Pool.Address() == address
		if !own && (group == nil || !slices.Contains(r.Members, b.Pool.Address())) {
			continue
		}
		if b.setGroup(group, own) {
			c.MembersChanged++
		}
	}
	return c
}

// HasUnknownGroup says whether the group of some server of the service is not known.
func (f *Fleet) HasUnknownGroup(service string) bool {
	return slices.ContainsFunc(f.Backends(service), func(b *Backend) bool {
		_, group := b.entry()
		return group == nil
	})
}

// group returns the group with a name, nil for none. It is made when it is not known yet.
func (f *Fleet) group(service, name string) *Group {
	if name == "" {
		return nil
	}
	f.groupsLock.Lock()
	defer f.groupsLock.Unlock()
	key := groupKey{service, name}
	g, ok := f.groups[key]
	if !ok {
		g = &Group{Name: name}
		f.groups[key] = g
	}
	return g
}

type groupKey struct{ service, name string }

// MarkGroupFailed takes an answer of a server which shows that its group does not serve. It returns the group's name, and
// whether that is news.
func (f *Fleet) MarkGroupFailed(b *Backend, now time.Time) (name string, changed bool) {
	_, group := b.entry()
	if group == nil {
		return "", false
	}
	return group.Name, group.markFailed(now)
}

// PollTargets returns servers beside which a process is to be asked for its group now: one of each group that is due, preferably
// in the own failure domain, and some of those whose group is not known. The random function returns a number in [0, 1).
func (f *Fleet) PollTargets(service string, random func() float64, now time.Time) []*Backend {
	members := map[*Group][]*Backend{}
	var out []*Backend
	for _, b := range f.Backends(service) {
		_, group := b.entry()
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

// localPollShare is the share of the questions that go to the own failure domain; the others find out what is not seen there.
const localPollShare = 0.8

func (f *Fleet) pollTarget(members []*Backend, random func() float64) *Backend {
	var local []*Backend
	for _, b := range members {
		if b.Server().Domain == f.domain {
			local = append(local, b)
		}
	}
	if len(local) > 0 && random() < localPollShare {
		members = local
	}
	return members[int(random()*float64(len(members)))]
}
