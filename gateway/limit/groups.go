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
func (q *Queue) SetGroups(groups []GroupState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	for _, g := range groups {
		listed[g.Name] = true
		l, known := q.groups[g.Name]
		if !known {
			l = &group{name: g.Name, limiter: New(now)}
			q.groups[g.Name] = l
		}
		if g.Unavailable && !l.closed {
			l.closedAt = now
		}
		l.removed, l.closed = false, g.Unavailable
		l.limiter.SetCapacity(g.Slots, g.Share)
		l.limiter.SetEmptyPass(g.EmptyPass)
	}
	for name, l := range q.groups {
		if listed[name] {
			continue
		}
		l.removed = true
		if l.limiter.InFlight() == 0 && name != "" {
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
	best := time.Duration(0)
	for _, l := range q.groups {
		if first := l.limiter.FirstEventLatency(); !l.removed && (best == 0 || first < best) {
			best = first
		}
	}
	return best
}

// StreamDuration returns the mean time that a stream is in flight.
func (q *Queue) StreamDuration() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(0)
	for _, l := range q.groups {
		if !l.removed {
			longest = max(longest, l.limiter.StreamDuration())
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
	for _, l := range q.groups {
		if l.removed && l.limiter.InFlight() == 0 {
			continue
		}
		if l.serves("") {
			d.Limit += l.limiter.Limit()
		}
		d.InFlight += l.limiter.InFlight()
		d.Groups = append(d.Groups, GroupDump{
			Group: l.name, Limit: l.limiter.Limit(), InFlight: l.limiter.InFlight(), GapRatio: l.limiter.GapRatio(),
			FirstMs: float64(l.limiter.FirstEventLatency()) / float64(time.Millisecond), Unavailable: l.closed, Stalled: l.stalled(now), Unresponsive: l.unserving(),
		})
	}
	return d
}

// StalledGroups returns the names of the groups that stand still.
func (q *Queue) StalledGroups() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for _, l := range q.groups {
		if l.stalled(time.Now()) {
			out = append(out, l.name)
		}
	}
	return out
}

// Totals returns the limit and the streams in flight of all groups that serve, and the number of waiting requests.
func (q *Queue) Totals() (limit, inFlight, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.fullError("", 0, 0)
	return e.Limit, e.InFlight, len(q.waiting)
}
