package limit

import "time"

// GroupState is the state of one group on which a queue depends.
type GroupState struct {
	Name string
	// Slots is the maximum number of streams in the group, over all processes.
	Slots int
	// Share is this process's share of the slots, 0 to 1. All processes have the same share.
	Share float64
	// EmptyPass is the time of a forward pass of the group without any stream, 0 if unknown.
	EmptyPass time.Duration
	// NotServing is set when the group does not serve. It then gets no new streams.
	NotServing bool
}

// recoveryTime is the time after an outage of all groups in which the callers refused during it are expected to return
// and to be served.
const recoveryTime = 8 * time.Second

// SetGroups replaces the groups of the service. Streams in a group that is no longer listed continue until they end.
func (q *Queue) SetGroups(states []GroupState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	wasOutage := q.noGroupUsable()
	listed := map[string]bool{}
	for _, state := range states {
		listed[state.Name] = true
		g, exists := q.groups[state.Name]
		if !exists {
			g = &group{name: state.Name, limiter: New(now)}
			q.groups[state.Name] = g
		}
		if state.NotServing && !g.notServing {
			g.notServingSince = now
		}
		g.removed, g.notServing = false, state.NotServing
		g.limiter.SetCapacity(state.Slots, state.Share)
		g.limiter.SetEmptyPass(state.EmptyPass)
	}
	for name, g := range q.groups {
		if listed[name] {
			continue
		}
		g.removed = true
		if g.limiter.InFlight() == 0 && name != "" {
			delete(q.groups, name)
		}
	}
	if wasOutage && !q.noGroupUsable() {
		q.recoveryEnds = now.Add(recoveryTime)
	}
	for _, g := range q.groups {
		g.limiter.SetRecoveryEnds(q.recoveryEnds)
	}
	q.refuseWaiting()
	q.admitWaiting(now)
}

// noGroupUsable reports whether no group can serve a stream.
func (q *Queue) noGroupUsable() bool {
	for _, g := range q.groups {
		if g.usable(groupFilter{}) {
			return false
		}
	}
	return true
}

// FirstEventLatency returns the mean time from admission to the first event in the fastest group.
func (q *Queue) FirstEventLatency() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	shortest := time.Duration(0)
	for _, g := range q.groups {
		if latency := g.limiter.FirstEventLatency(); !g.removed && (shortest == 0 || latency < shortest) {
			shortest = latency
		}
	}
	return shortest
}

// StreamDuration returns the mean time that a stream is in flight in the slowest group.
func (q *Queue) StreamDuration() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(0)
	for _, g := range q.groups {
		if !g.removed {
			longest = max(longest, g.limiter.StreamDuration())
		}
	}
	return longest
}

// Dump is the state dump of a queue.
type Dump struct {
	Limit    int         `json:"limit"`
	InFlight int         `json:"in_flight"`
	Waiting  int         `json:"waiting"`
	Groups   []GroupDump `json:"groups"`
}

// GroupDump is the state dump of one group of a queue.
type GroupDump struct {
	Group        string  `json:"group"`
	Limit        int     `json:"limit"`
	InFlight     int     `json:"in_flight"`
	GapRatio     float64 `json:"pause_over_aim"`
	FirstMs      float64 `json:"first_event_ms"`
	NotServing   bool    `json:"closed"`
	Stalled      bool    `json:"stalled"`
	Unresponsive bool    `json:"unserving"`
}

// Dump returns the state dump. Limit is the sum over the usable groups, InFlight that over all groups.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{Waiting: len(q.waiting)}
	now := time.Now()
	for _, g := range q.groups {
		if g.removed && g.limiter.InFlight() == 0 {
			continue
		}
		if g.usable(groupFilter{}) {
			d.Limit += g.limiter.Limit()
		}
		d.InFlight += g.limiter.InFlight()
		d.Groups = append(d.Groups, GroupDump{
			Group: g.name, Limit: g.limiter.Limit(), InFlight: g.limiter.InFlight(), GapRatio: g.limiter.GapRatio(),
			FirstMs: float64(g.limiter.FirstEventLatency()) / float64(time.Millisecond), NotServing: g.notServing, Stalled: g.stalled(now), Unresponsive: g.unresponsive(),
		})
	}
	return d
}

// StalledGroups returns the names of the stalled groups.
func (q *Queue) StalledGroups() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for _, g := range q.groups {
		if g.stalled(time.Now()) {
			out = append(out, g.name)
		}
	}
	return out
}

// Totals returns the limit and the streams in flight of all usable groups, and the number of waiting requests.
func (q *Queue) Totals() (limit, inFlight, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.refusedError(groupFilter{}, 0, 0)
	return e.Limit, e.InFlight, len(q.waiting)
}
