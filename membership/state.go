package membership

import (
	"time"

	"lavendermoor.example/clients/instances"
)

// Bounds of the rules.
const (
	// DownAfterFailures is the number of consecutive failed connections after which a server is down.
	DownAfterFailures = 2
	// DownAfterSilence is the time without a byte of the work sent to a server after which the server is down.
	DownAfterSilence = 3 * time.Second
	// SilenceTimeout is the time without a byte after which a connection is reported as silent.
	SilenceTimeout = time.Second
	// SlowReportTTL is how long a report of a slow rank counts. A group that is excluded gets no requests and thus
	// sends no reports, so without an end it would stay excluded for good.
	SlowReportTTL = 15 * time.Second

	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 30 * time.Second
	// listResetAfter is the time after which a lower version of the list is taken as a restart of its service.
	listResetAfter = time.Minute
	// leavingOverrideDelay is the time after which a server that still reports that it is not draining
	// outweighs a list that shows it as leaving. A server reads the same list, within a few seconds.
	leavingOverrideDelay = 30 * time.Second
	// The attempt numbers whose probePause is taken for a server that drains or leaves: about 2 s before the first
	// probe for its next incarnation and about 8 s before each further one.
	firstDrainedProbeAttempt = 2
	laterDrainedProbeAttempt = 4
	// partitionThreshold is how many servers of a domain must fail without a success in between before the whole
	// domain is held to be cut off; all of them in a smaller domain, and never a single one.
	partitionThreshold = 3
	// partitionWindow is the longest pause between two failures that count together.
	partitionWindow = 10 * time.Second
	// partitionProbeBatch is the number of servers of a cut-off domain that are probed at a time.
	partitionProbeBatch = 2
	// maxPartitionProbeInterval is the longest pause between two rounds of these probes.
	maxPartitionProbeInterval = 5 * time.Second
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

	// listStates is what the last list shows of side processes; servers configured later start from it.
	listStates  map[string]listState
	listVersion int64
	listReadAt  time.Time
	entries     int
	version     uint64
	// dirty says that a view taken now would differ from the last one.
	dirty bool
	// initialized is false until the first servers are known; servers known from the start do not ramp up.
	initialized bool
}

// NewState returns a state without servers. The seed spreads the probes of processes.
func NewState(now time.Time, seed uint64) *State {
	return &State{
		start: now, seed: seed, records: map[string]*record{}, domainIndex: map[string]uint16{}, entries: 1,
	}
}

// timestampOf is never 0, so that a time can be told from never. A time before the start counts as the start.
func (s *State) timestampOf(t time.Time) timestamp {
	return timestamp(max(t.Sub(s.start), 0)/timestampUnit) + 1
}

func (s *State) timeOf(t timestamp) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return s.start.Add(time.Duration(t-1) * timestampUnit)
}

func (s *State) elapsedSince(t timestamp, now time.Time) time.Duration { return now.Sub(s.timeOf(t)) }

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
			if s.initialized {
				r.usableSince = s.timestampOf(now)
			}
		}
		r.domain = s.domainIndexOf(v.Domain)
		if state := s.listStates[v.Name]; !known && state != listAbsent {
			s.applyListState(now, r, state)
		}
		d := &s.domains[r.domain]
		d.servers = append(d.servers, v.Name)
		next[v.Name] = r
	}
	s.records = next
	s.pruneFailures()
	s.initialized, s.dirty = true, true
	s.version++
}

// pruneFailures removes servers that have left a failure domain from its failing ones, so that they do not count
// towards a partition.
func (s *State) pruneFailures() {
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
	if l.Version < s.listVersion && now.Sub(s.listReadAt) < listResetAfter {
		return
	}
	s.listVersion, s.listReadAt, s.dirty = l.Version, now, true
	listed := make(map[string]listState, len(l.Instances))
	s.entries = 0
	for _, in := range l.Instances {
		state := listLive
		if in.State == instances.Leaving {
			state = listLeaving
		}
		switch {
		case in.Program == instances.ProgramSide:
			listed[in.Name] = state
		case in.Program == instances.ProgramEntry && state == listLive:
			s.entries++
		}
	}
	s.entries, s.listStates = max(s.entries, 1), listed
	for name, r := range s.records {
		if listed[name] != r.list {
			s.applyListState(now, r, listed[name])
		}
	}
}

func (s *State) applyListState(now time.Time, r *record, next listState) {
	before := s.reason(r)
	wasLeaving := r.leaving()
	r.list, r.leavingOverridden, r.leavingIncarnation, r.leavingSince = next, false, 0, 0
	if next == listLeaving {
		r.leavingIncarnation, r.leavingSince = r.incarnation, s.timestampOf(now)
	}
	if next == listAbsent && wasLeaving {
		// The instance has gone; its entry disappears at the end.
		r.down = true
		r.probeAt = s.timestampOf(now.Add(maxProbeBackoff))
	}
	if next == listLive && (r.down || r.draining()) {
		// The list may know of a new incarnation, which only the server itself can confirm.
		r.probeAt = s.timestampOf(now)
	}
	s.recordReasonChange(now, r, before)
}

// ObserveReport takes a self report. A report of an older incarnation than known arrived late and is ignored, and so
// is the end of a drain within one incarnation.
func (s *State) ObserveReport(now time.Time, rep Report) {
	r := s.records[rep.Server]
	if r == nil || rep.Incarnation < r.incarnation {
		return
	}
	before := s.reason(r)
	if rep.Incarnation > r.incarnation {
		s.applyRestart(now, r, rep.Incarnation)
	}
	if rep.Draining {
		r.drainedIncarnation = rep.Incarnation
	}
	if r.leaving() && !rep.Draining && s.elapsedSince(r.leavingSince, now) >= leavingOverrideDelay {
		r.leavingOverridden = true
	}
	wasSlow := r.slowReportedAt != 0
	r.slowReportedAt = 0
	if rep.Slow {
		r.slowReportedAt = s.timestampOf(now)
	}
	if wasSlow != rep.Slow {
		s.version++
	}
	s.recordReasonChange(now, r, before)
}

func (s *State) applyRestart(now time.Time, r *record, incarnation int64) {
	if r.incarnation != 0 {
		r.usableSince = s.timestampOf(now)
		s.version++
	}
	if r.list == listLeaving && r.leavingIncarnation == 0 {
		r.leavingIncarnation = incarnation
	}
	r.incarnation = incarnation
	r.slowReportedAt = 0
}

// ObserveSuccess takes a successful exchange with a server. A server that is down stays so until a probe succeeds.
func (s *State) ObserveSuccess(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	s.domains[r.domain].lastSuccess = now
	s.dirty = true
	if r.down {
		r.probeAt = s.timestampOf(now)
		return
	}
	r.failures, r.silentSince = 0, 0
	if !r.draining() && !r.leaving() {
		r.probeAt = 0
	}
}

// ObserveFailure takes a failed connection. The first one causes a probe at once, so that the second comes within
// seconds also where this process sends little.
func (s *State) ObserveFailure(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	before := s.reason(r)
	r.failures = min(r.failures+1, 200)
	r.probeAt = s.timestampOf(now)
	if r.failures >= DownAfterFailures {
		s.markDown(now, server, r)
	}
	s.observeDomainFailure(now, r.domain, server)
	s.recordReasonChange(now, r, before)
}

func (s *State) markDown(now time.Time, server string, r *record) {
	r.down = true
	attempt := r.failures - min(r.failures, DownAfterFailures)
	r.probeAt = s.timestampOf(now.Add(probeBackoff(s.seed, server, attempt)))
}

// ObserveSilence takes a connection that has shown no byte for ConnectionSilence although work was sent on it.
func (s *State) ObserveSilence(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	if r.silentSince == 0 {
		r.silentSince = s.timestampOf(now.Add(-SilenceTimeout))
		if !r.down {
			r.probeAt = s.timestampOf(now)
		}
	}
	before := s.reason(r)
	s.observeDomainFailure(now, r.domain, server)
	s.recordReasonChange(now, r, before)
}

// ProbeSucceeded takes the answer of a probe, which is a report.
func (s *State) ProbeSucceeded(now time.Time, rep Report) {
	r := s.records[rep.Server]
	if r == nil {
		return
	}
	before := s.reason(r)
	r.probing, r.probeAt, r.failures, r.silentSince = false, 0, 0, 0
	if r.down {
		r.down = false
		r.usableSince = s.timestampOf(now)
	}
	s.domains[r.domain].lastSuccess = now
	s.endPartition(now, r.domain)
	s.ObserveReport(now, rep)
	if r.draining() || r.leaving() {
		r.probeAt = s.timestampOf(now.Add(probeBackoff(s.seed, rep.Server, laterDrainedProbeAttempt)))
	}
	s.recordReasonChange(now, r, before)
}

// ProbeFailed takes a probe without an answer.
func (s *State) ProbeFailed(now time.Time, server string) {
	if r := s.records[server]; r != nil {
		r.probing = false
		s.ObserveFailure(now, server)
	}
}

// Tick applies the rules that depend on time alone and returns the servers to probe now. Each must be answered
// with ProbeSucceeded or ProbeFailed before it is returned again.
func (s *State) Tick(now time.Time) []string {
	var due []string
	at := s.timestampOf(now)
	for name, r := range s.records {
		s.applyTimeouts(now, name, r)
		if r.probeAt == 0 || r.probeAt > at || r.probing || s.domains[r.domain].partitioned {
			continue
		}
		r.probing = true
		due = append(due, name)
	}
	return append(due, s.duePartitionProbes(now)...)
}

func (s *State) applyTimeouts(now time.Time, name string, r *record) {
	before := s.reason(r)
	if r.slowReportedAt != 0 && s.elapsedSince(r.slowReportedAt, now) >= SlowReportTTL {
		r.slowReportedAt = 0
		s.version++
		s.dirty = true
	}
	if !r.down && r.silentSince != 0 && s.elapsedSince(r.silentSince, now) >= DownAfterSilence {
		s.markDown(now, name, r)
	}
	if r.probeAt == 0 && !r.probing && (r.draining() || r.leaving()) {
		r.probeAt = s.timestampOf(now.Add(probeBackoff(s.seed, name, firstDrainedProbeAttempt)))
	}
	if s.reason(r) != before {
		s.recordReasonChange(now, r, before)
	}
}

func (s *State) reason(r *record) Reason {
	switch {
	case r.draining():
		return Draining
	case r.leaving():
		return Leaving
	case s.domains[r.domain].partitioned:
		return Partition
	case r.down:
		return Down
	}
	return Usable
}

// recordReasonChange counts a change of the reason; a server that is usable again ramps up from now.
func (s *State) recordReasonChange(now time.Time, r *record, before Reason) {
	s.dirty = true
	after := s.reason(r)
	if after == before {
		return
	}
	if after == Usable {
		r.usableSince = s.timestampOf(now)
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
	if !s.listReadAt.IsZero() {
		v.ListAge = now.Sub(s.listReadAt)
	}
	for name, r := range s.records {
		v.servers[name] = Status{
			Reason: s.reason(r), Incarnation: r.incarnation, UsableSince: s.timeOf(r.usableSince),
			Slow: r.slowReportedAt != 0, Suspect: r.suspect(),
		}
	}
	for i := range s.domains {
		if s.domains[i].partitioned {
			v.partitioned[s.domains[i].name] = true
		}
	}
	return v
}
