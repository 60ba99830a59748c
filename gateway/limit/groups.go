package limit

import "time"

// GroupState is what a queue needs to know of one group.
type GroupState struct {
	Name string
	// Slots bound the streams of all processes at the group.
	Slots int
	// Share is the part of the slots that is this process's own when all processes have the same.
	Share float64
	// EmptyPass is the time of a pass of the group without any stream, 0 if it is not known.
	EmptyPass time.Duration
	// Unavailable groups get no new stream.
	Unavailable bool
}

// SetGroups takes the groups of the service. Streams in a group that is not listed any more go on until they end.
func (q *Queue) SetGroups(states []GroupState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	for _, state := range states {
		listed[state.Name] = true
		g, known := q.groups[state.Name]
		if !known {
			g = &group{name: state.Name, limiter: New(now)}
			q.groups[state.Name] = g
		}
		if state.Unavailable && !g.unavailable {
			g.unavailableSince = now
		}
		g.removed, g.unavailable = false, state.Unavailable
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
	q.refuseWaiting()
	q.admitWaiting(now)
}

// FirstEventLatency returns the mean time from admission to the first event in the group that is quickest.
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

// StreamDuration returns the mean time that a stream is in flight.
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
	Unavailable  bool    `json:"closed"`
	Stalled      bool    `json:"stalled"`
	Unresponsive bool    `json:"unserving"`
}

// Dump returns the state dump. Limit and InFlight are the sums over the groups that serve.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{Waiting: len(q.waiting)}
	now := time.Now()
	for _, g := range q.groups {
		if g.removed && g.limiter.InFlight() == 0 {
			continue
		}
		if g.usable("") {
			d.Limit += g.limiter.Limit()
		}
		d.InFlight += g.limiter.InFlight()
		d.Groups = append(d.Groups, GroupDump{
			Group: g.name, Limit: g.limiter.Limit(), InFlight: g.limiter.InFlight(), GapRatio: g.limiter.GapRatio(),
			FirstMs: float64(g.limiter.FirstEventLatency()) / float64(time.Millisecond), Unavailable: g.unavailable, Stalled: g.stalled(now), Unresponsive: g.unresponsive(),
		})
	}
	return d
}

// StalledGroups returns the names of the groups that stand still.
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

// Totals returns the limit and the streams in flight of all groups that serve, and the number of waiting requests.
func (q *Queue) Totals() (limit, inFlight, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.refusedError("", 0, 0)
	return e.Limit, e.InFlight, len(q.waiting)
}
