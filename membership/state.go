package membership

import (
	"time"

	"lavendermoor.example/clients/instances"
)

// Bounds of the rules.
const (
	// DownAfterFailures is the number of consecutive failed connections after which a server is down.
	DownAfterFailures = 2
	// SilenceIsDown is the time without a byte of the work sent to a server after which the server is down.
	SilenceIsDown = 3 * time.Second
	// ConnectionSilence is the time without a byte after which a connection is reported as silent.
	ConnectionSilence = time.Second
	// SlowFor is how long a report of a slow rank counts. A group that is excluded gets no requests and thus
	// sends no reports, so without an end it would stay excluded for good.
	SlowFor = 15 * time.Second

	minProbePause = 500 * time.Millisecond
	maxProbePause = 30 * time.Second
	// listResetAfter is the time after which a lower version of the list is taken as a restart of its service.
	listResetAfter = time.Minute
	// leavingOverruledAfter is the time after which a server that still reports that it is not draining
	// outweighs a list that shows it as leaving. A server reads the same list, within a few seconds.
	leavingOverruledAfter = 30 * time.Second
	// The attempt numbers whose probePause is taken for a server that drains or leaves: about 2 s before the first
	// probe for its next incarnation and about 8 s before each further one.
	firstDrainedProbe = 2
	laterDrainedProbe = 4
	// partitionServers is how many servers of a domain must fail without a success in between before the whole
	// domain is held to be cut off; all of them in a smaller domain, and never a single one.
	partitionServers = 3
	// partitionWindow is the longest pause between two failures that count together.
	partitionWindow = 10 * time.Second
	// partitionProbes is the number of servers of a cut-off domain that are probed at a time.
	partitionProbes = 2
	// maxPartitionPause is the longest pause between two rounds of these probes.
	maxPartitionPause = 5 * time.Second
)

// Server is a server of the accepted configuration.
type Server struct{ Name, Domain string }

// Report is what a server says of itself.
type Report struct {
	Server      string
	Incarnation int64
	Draining    bool
	Slow        bool
}

// State combines the evidence. It is owned by one goroutine; it does no I/O and takes the time as an argument,
// which must not go back.
type State struct {
	start   time.Time
	seed    uint64
	records map[string]*record
	domains []domain
	// domainIndex is the position in domains by the name of the failure domain.
	domainIndex map[string]uint16

	// lastList is what the last list shows of side processes; servers configured later start from it.
	lastList    map[string]listState
	listVersion int64
	listRead    time.Time
	entries     int
	version     uint64
	// dirty says that a view taken now would differ from the last one.
	dirty bool
	// settled is false until the first servers are known; servers known from the start do not ramp up.
	settled bool
}

// NewState returns a state without servers. The seed spreads the probes of processes.
func NewState(now time.Time, seed uint64) *State {
	return &State{
		start: now, seed: seed, records: map[string]*record{}, domainIndex: map[string]uint16{}, entries: 1,
	}
}

// stampOf is never 0, so that a time can be told from never. A time before the start counts as the start.
func (s *State) stampOf(t time.Time) stamp { return stamp(max(t.Sub(s.start), 0)/stampUnit) + 1 }

func (s *State) timeOf(t stamp) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return s.start.Add(time.Duration(t-1) * stampUnit)
}

func (s *State) since(t stamp, now time.Time) time.Duration { return now.Sub(s.timeOf(t)) }

// SetServers takes the servers of the accepted configuration. Evidence about servers that stay is kept.
func (s *State) SetServers(now time.Time, servers []Server) {
	next := make(map[string]*record, len(servers))
	for i := range s.domains {
		s.domains[i].servers = s.domains[i].servers[:0]
	}
	for _, v := range servers {
		r := s.records[v.Name]
		known := r != nil
		if !known {
			r = &record{}
			if s.settled {
				r.upSince = s.stampOf(now)
			}
		}
		r.domain = s.domainOf(v.Domain)
		if state := s.lastList[v.Name]; !known && state != listAbsent {
			s.listed(now, r, state)
		}
		d := &s.domains[r.domain]
		d.servers = append(d.servers, v.Name)
		next[v.Name] = r
	}
	s.records = next
	s.forgetFailures()
	s.settled, s.dirty = true, true
	s.version++
}

// forgetFailures removes servers that have left a failure domain from its failing ones, so that they do not count
// towards a partition.
func (s *State) forgetFailures() {
	for i := range s.domains {
		for name := range s.domains[i].failing {
			if r := s.records[name]; r == nil || int(r.domain) != i {
				delete(s.domains[i].failing, name)
			}
		}
	}
}

// ApplyList takes an answer of the instance list. A version older than the last one is ignored. The list can
// take a server out; it never brings back one that drains or that does not answer.
func (s *State) ApplyList(now time.Time, l instances.List) {
	if l.Version < s.listVersion && now.Sub(s.listRead) < listResetAfter {
		return
	}
	s.listVersion, s.listRead, s.dirty = l.Version, now, true
	seen := make(map[string]listState, len(l.Instances))
	s.entries = 0
	for _, in := range l.Instances {
		state := listLive
		if in.State == instances.Leaving {
			state = listLeaving
		}
		switch {
		case in.Program == instances.ProgramSide:
			seen[in.Name] = state
		case in.Program == instances.ProgramEntry && state == listLive:
			s.entries++
		}
	}
	s.entries, s.lastList = max(s.entries, 1), seen
	for name, r := range s.records {
		if seen[name] != r.list {
			s.listed(now, r, seen[name])
		}
	}
}

func (s *State) listed(now time.Time, r *record, next listState) {
	before := s.reason(r)
	wasLeaving := r.leaving()
	r.list, r.overruled, r.leavingOf, r.leavingSince = next, false, 0, 0
	if next == listLeaving {
		r.leavingOf, r.leavingSince = r.incarnation, s.stampOf(now)
	}
	if next == listAbsent && wasLeaving {
		// The instance has gone; its entry disappears at the end.
		r.down = true
		r.probeAt = s.stampOf(now.Add(maxProbePause))
	}
	if next == listLive && (r.down || r.draining()) {
		// The list may know of a new incarnation, which only the server itself can confirm.
		r.probeAt = s.stampOf(now)
	}
	s.changed(now, r, before)
}

// Report takes a self report. A report of an older incarnation than known arrived late and is ignored, and so
// is the end of a drain within one incarnation.
func (s *State) Report(now time.Time, rep Report) {
	r := s.records[rep.Server]
	if r == nil || rep.Incarnation < r.incarnation {
		return
	}
	before := s.reason(r)
	if rep.Incarnation > r.incarnation {
		s.restarted(now, r, rep.Incarnation)
	}
	if rep.Draining {
		r.drained = rep.Incarnation
	}
	if r.leaving() && !rep.Draining && s.since(r.leavingSince, now) >= leavingOverruledAfter {
		r.overruled = true
	}
	wasSlow := r.slowSeen != 0
	r.slowSeen = 0
	if rep.Slow {
		r.slowSeen = s.stampOf(now)
	}
	if wasSlow != rep.Slow {
		s.version++
	}
	s.changed(now, r, before)
}

func (s *State) restarted(now time.Time, r *record, incarnation int64) {
	if r.incarnation != 0 {
		r.upSince = s.stampOf(now)
		s.version++
	}
	if r.list == listLeaving && r.leavingOf == 0 {
		r.leavingOf = incarnation
	}
	r.incarnation = incarnation
	r.slowSeen = 0
}

// Connected takes a successful exchange with a server. A server that is down stays so until a probe succeeds.
func (s *State) Connected(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	s.domains[r.domain].lastOK = now
	s.dirty = true
	if r.down {
		r.probeAt = s.stampOf(now)
		return
	}
	r.fails, r.silentSince = 0, 0
	if !r.draining() && !r.leaving() {
		r.probeAt = 0
	}
}

// Failed takes a failed connection. The first one causes a probe at once, so that the second comes within
// seconds also where this process sends little.
func (s *State) Failed(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	before := s.reason(r)
	r.fails = min(r.fails+1, 200)
	r.probeAt = s.stampOf(now)
	if r.fails >= DownAfterFailures {
		s.goDown(now, server, r)
	}
	s.failedIn(now, r.domain, server)
	s.changed(now, r, before)
}

func (s *State) goDown(now time.Time, server string, r *record) {
	r.down = true
	attempt := r.fails - min(r.fails, DownAfterFailures)
	r.probeAt = s.stampOf(now.Add(probePause(s.seed, server, attempt)))
}

// Silent takes a connection that has shown no byte for ConnectionSilence although work was sent on it.
func (s *State) Silent(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	if r.silentSince == 0 {
		r.silentSince = s.stampOf(now.Add(-ConnectionSilence))
		if !r.down {
			r.probeAt = s.stampOf(now)
		}
	}
	before := s.reason(r)
	s.failedIn(now, r.domain, server)
	s.changed(now, r, before)
}

// ProbeSucceeded takes the answer of a probe, which is a report.
func (s *State) ProbeSucceeded(now time.Time, rep Report) {
	r := s.records[rep.Server]
	if r == nil {
		return
	}
	before := s.reason(r)
	r.probing, r.probeAt, r.fails, r.silentSince = false, 0, 0, 0
	if r.down {
		r.down = false
		r.upSince = s.stampOf(now)
	}
	s.domains[r.domain].lastOK = now
	s.reached(now, r.domain)
	s.Report(now, rep)
	if r.draining() || r.leaving() {
		r.probeAt = s.stampOf(now.Add(probePause(s.seed, rep.Server, laterDrainedProbe)))
	}
	s.changed(now, r, before)
}

// ProbeFailed takes a probe without an answer.
func (s *State) ProbeFailed(now time.Time, server string) {
	if r := s.records[server]; r != nil {
		r.probing = false
		s.Failed(now, server)
	}
}

// Tick applies the rules that depend on time alone and returns the servers to probe now. Each must be answered
// with ProbeSucceeded or ProbeFailed before it is returned again.
func (s *State) Tick(now time.Time) []string {
	var due []string
	at := s.stampOf(now)
	for name, r := range s.records {
		s.expire(now, name, r)
		if r.probeAt == 0 || r.probeAt > at || r.probing || s.domains[r.domain].cutOff {
			continue
		}
		r.probing = true
		due = append(due, name)
	}
	return append(due, s.partitionProbes(now)...)
}

func (s *State) expire(now time.Time, name string, r *record) {
	before := s.reason(r)
	if r.slowSeen != 0 && s.since(r.slowSeen, now) >= SlowFor {
		r.slowSeen = 0
		s.version++
		s.dirty = true
	}
	if !r.down && r.silentSince != 0 && s.since(r.silentSince, now) >= SilenceIsDown {
		s.goDown(now, name, r)
	}
	if r.probeAt == 0 && !r.probing && (r.draining() || r.leaving()) {
		r.probeAt = s.stampOf(now.Add(probePause(s.seed, name, firstDrainedProbe)))
	}
	if s.reason(r) != before {
		s.changed(now, r, before)
	}
}

func (s *State) reason(r *record) Reason {
	switch {
	case r.draining():
		return Draining
	case r.leaving():
		return Leaving
	case s.domains[r.domain].cutOff:
		return Partition
	case r.down:
		return Down
	}
	return Usable
}

// changed counts a change of the reason; a server that is usable again ramps up from now.
func (s *State) changed(now time.Time, r *record, before Reason) {
	s.dirty = true
	after := s.reason(r)
	if after == before {
		return
	}
	if after == Usable {
		r.upSince = s.stampOf(now)
	}
	s.version++
}

// View returns the present picture.
func (s *State) View(now time.Time) *View {
	s.dirty = false
	v := &View{
		Version: s.version, ListAge: -1, Entries: s.entries,
		servers: make(map[string]Status, len(s.records)), partitioned: map[string]bool{},
	}
	if !s.listRead.IsZero() {
		v.ListAge = now.Sub(s.listRead)
	}
	for name, r := range s.records {
		v.servers[name] = Status{
			Reason: s.reason(r), Incarnation: r.incarnation, Since: s.timeOf(r.upSince),
			Slow: r.slowSeen != 0, Suspect: r.suspect(),
		}
	}
	for i := range s.domains {
		if s.domains[i].cutOff {
			v.partitioned[s.domains[i].name] = true
		}
	}
	return v
}
