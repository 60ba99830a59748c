package limit

import "time"

// GroupState is what a queue needs to know of one group.
type GroupState struct {
	Name string
	// Slots bound the streams of all processes at the group.
	Slots int
	// Share is the part of the slots that is this process's own when all processes have the same.
	Share float64
	// Empty is the time of a pass of the group without any stream, 0 if it is not known.
	Empty time.Duration
	// Closed groups get no new stream.
	Closed bool
}

// SetGroups takes the groups of the service. Streams in a group that is not listed any more go on until they end.
func (q *Queue) SetGroups(groups []GroupState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	for _, g := range groups {
		listed[g.Name] = true
		l, known := q.lanes[g.Name]
		if !known {
			l = &lane{group: g.Name, limiter: New(now)}
			q.lanes[g.Name] = l
		}
		if g.Closed && !l.closed {
			l.closedAt = now
		}
		l.removed, l.closed = false, g.Closed
		l.limiter.SetMost(g.Slots, g.Share)
		l.limiter.SetEmpty(g.Empty)
	}
	for name, l := range q.lanes {
		if listed[name] {
			continue
		}
		l.removed = true
		if l.limiter.InFlight() == 0 && name != "" {
			delete(q.lanes, name)
		}
	}
	q.refuseWaiting()
	q.admitWaiting(now)
}

// FirstEvent returns the mean time from admission to the first event in the group that is quickest.
func (q *Queue) FirstEvent() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := time.Duration(0)
	for _, l := range q.lanes {
		if first := l.limiter.First(); !l.removed && (best == 0 || first < best) {
			best = first
		}
	}
	return best
}

// Hold returns the mean time that a stream is in flight.
func (q *Queue) Hold() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(0)
	for _, l := range q.lanes {
		if !l.removed {
			longest = max(longest, l.limiter.Hold())
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
	Group     string  `json:"group"`
	Limit     int     `json:"limit"`
	InFlight  int     `json:"in_flight"`
	Pause     float64 `json:"pause_over_aim"`
	FirstMs   float64 `json:"first_event_ms"`
	Closed    bool    `json:"closed"`
	Stalled   bool    `json:"stalled"`
	Unserving bool    `json:"unserving"`
}

// Dump returns the state dump. Limit and InFlight are the sums over the groups that serve.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{Waiting: len(q.waiting)}
	now := time.Now()
	for _, l := range q.lanes {
		if l.removed && l.limiter.InFlight() == 0 {
			continue
		}
		if l.serves("") {
			d.Limit += l.limiter.Limit()
		}
		d.InFlight += l.limiter.InFlight()
		d.Groups = append(d.Groups, GroupDump{
			Group: l.group, Limit: l.limiter.Limit(), InFlight: l.limiter.InFlight(), Pause: l.limiter.Pause(),
			FirstMs: float64(l.limiter.First()) / float64(time.Millisecond), Closed: l.closed, Stalled: l.stalled(now), Unserving: l.unserving(),
		})
	}
	return d
}

// Stalled returns the names of the groups that stand still.
func (q *Queue) Stalled() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for _, l := range q.lanes {
		if l.stalled(time.Now()) {
			out = append(out, l.group)
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
