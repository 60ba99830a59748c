package balance

import (
	"slices"
	"sync"
	"time"
)

const (
	// faultLife is how long an own outcome that shows a broken group counts against reports of the same epoch: a rank that
	// has gone is reported with a delay. Without any report the group is tried again after it.
	faultLife = 2 * time.Second
	// epochLife is the age of a report from which one of a lower epoch is taken, since a platform that was reset counts anew.
	epochLife = 5 * time.Second
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

	mu       sync.Mutex
	epoch    int64
	open     bool
	reported time.Time
	// fault is when an own outcome has shown that the group does not serve, zero without one; faultEpoch is the epoch then.
	fault      time.Time
	faultEpoch int64
	// asked is when a question was sent last.
	asked time.Time
}

// Serving says whether the group takes new work, as far as this process knows.
func (g *Group) Serving(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serves(now)
}

func (g *Group) serves(now time.Time) bool {
	return g.open && (g.fault.IsZero() || now.Sub(g.fault) > faultLife)
}

// take takes a report and says whether the group serves now and did not before, or the other way round. Own outcomes go
// before a report that was asked for earlier, and before one of the same epoch for a while.
func (g *Group) take(r GroupReport) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.RequestedAt.Before(g.reported) || (r.Epoch < g.epoch && r.RequestedAt.Sub(g.reported) < epochLife) {
		return false
	}
	served := g.serves(r.RequestedAt)
	g.epoch, g.open, g.reported = r.Epoch, r.Serving, r.RequestedAt
	if r.Serving && !r.RequestedAt.Before(g.fault) && r.Epoch > g.faultEpoch {
		g.fault = time.Time{}
	}
	return g.serves(r.RequestedAt) != served
}

// fail takes an own outcome which shows that the group does not serve, and says whether that is news.
func (g *Group) fail(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.serves(now)
	g.fault, g.faultEpoch = now, g.epoch
	return news
}

// due says whether the group should be asked for its state, and counts it as asked if so.
func (g *Group) due(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	every := askOpen
	if !g.serves(now) {
		every = askBroken
	}
	if now.Sub(g.asked) < every {
		return false
	}
	g.asked = now
	return true
}

const (
	// askOpen and askBroken are the times between two questions for the state of a group.
	askOpen   = 350 * time.Millisecond
	askBroken = 150 * time.Millisecond
	// askUnknown is the time between two questions to a server whose group is not known.
	askUnknown = time.Second
	// maxQuestions bounds the questions of one round.
	maxQuestions = 8
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
		s, group := b.listing()
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
		c.ServingChanged = group.take(r)
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
		_, group := b.listing()
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
func (f *Fleet) MarkGroupFailed(b *Backend, now time.Time) (name string, news bool) {
	_, group := b.listing()
	if group == nil {
		return "", false
	}
	return group.Name, group.fail(now)
}

// PollTargets returns servers beside which a process is to be asked for its group now: one of each group that is due, preferably
// in the own failure domain, and some of those whose group is not known. The random function returns a number in [0, 1).
func (f *Fleet) PollTargets(service string, random func() float64, now time.Time) []*Backend {
	members := map[*Group][]*Backend{}
	var out []*Backend
	for _, b := range f.Backends(service) {
		_, group := b.listing()
		if group != nil {
			members[group] = append(members[group], b)
		} else if len(out) < maxQuestions && b.askDue(now) {
			out = append(out, b)
		}
	}
	for group, all := range members {
		if len(out) < maxQuestions && group.due(now) {
			out = append(out, f.respondent(all, random))
		}
	}
	return out
}

// nearShare is the share of the questions that go to the own failure domain; the others find out what is not seen there.
const nearShare = 0.8

func (f *Fleet) respondent(all []*Backend, random func() float64) *Backend {
	var near []*Backend
	for _, b := range all {
		if b.Server().Domain == f.domain {
			near = append(near, b)
		}
	}
	if len(near) > 0 && random() < nearShare {
		all = near
	}
	return all[int(random()*float64(len(all)))]
}
