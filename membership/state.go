package membership

import (
	"time"

	"lavendermoor.example/clients/instances"
)

// Thresholds of the health rules.
const (
	// DownAfterFailures is the number of consecutive connection failures after which a server is down.
	DownAfterFailures = 2
	// DownAfterSilence is the time without a byte from a server in response to requests after which the server is down.
	DownAfterSilence = 3 * time.Second
	// SilenceTimeout is the time without a received byte after which a connection is reported as silent.
	SilenceTimeout = time.Second
	// SlowReportTTL is how long a report of a slow rank is valid. An excluded group gets no requests and so sends no
	// reports; without an expiry it would stay excluded forever.
	SlowReportTTL = 15 * time.Second

	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 30 * time.Second
	// listResetAfter is the time since the last accepted list after which a lower version is accepted, because the list
	// service has presumably restarted.
	listResetAfter = time.Minute
	// leavingOverrideDelay is how long a server must be listed as leaving before its reports that it is not draining
	// override the list. If the list were right, the server would read it and drain within a few seconds.
	leavingOverrideDelay = 30 * time.Second
	// The attempt numbers passed to probeBackoff for a draining or leaving server: about 2 s before the first probe for
	// its next incarnation and about 8 s before each further one.
	firstDrainingProbeAttempt = 2
	laterDrainingProbeAttempt = 4
	// partitionThreshold is the number of servers of a domain that must fail, without a success in between, before the
	// domain is considered partitioned. In a domain of fewer servers, all of them must fail, and at least two.
	partitionThreshold = 3
	// partitionWindow is the longest time between two failures that count towards the same partition.
	partitionWindow = 10 * time.Second
	// partitionProbeBatch is the number of servers of a partitioned domain that are probed per round.
	partitionProbeBatch = 2
	// maxPartitionProbeInterval is the longest time between two rounds of probes of a partitioned domain.
	maxPartitionProbeInterval = 5 * time.Second
)

// Server is a backend server of the active configuration.
type Server struct{ Name, Domain string }

// Report is what a server reports about itself.
type Report struct {
	Server      string
	Incarnation int64
	Draining    bool
	Slow        bool
}

// State combines the health evidence of all servers. It must be used by one goroutine at a time. It does no I/O. Its
// methods take the time as an argument, which must not decrease.
type State struct {
	start   time.Time
	seed    uint64
	records map[string]*record
	domains []domain
	// domainIndex maps the name of a failure domain to its position in domains.
	domainIndex map[string]uint16

	// listStates holds the states of the sidecars in the last list. They are applied to servers that are configured
	// later.
	listStates  map[string]listState
	listVersion int64
	listReadAt  time.Time
	// entries is the number of live entry processes in the last list, at least 1.
	entries int
	version uint64
	// dirty is set when a new view would differ from the last one.
	dirty bool
	// initialized is set by the first call of SetServers. The servers of that call do not ramp up.
	initialized bool
}

// NewState returns a state without servers. The seed varies the probe times between processes.
func NewState(now time.Time, seed uint64) *State {
	return &State{
		start: now, seed: seed, records: map[string]*record{}, domainIndex: map[string]uint16{}, entries: 1,
	}
}

// timestampOf returns a timestamp of at least 1, because 0 means never. A time before the start counts as the start.
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

// SetServers replaces the servers by those of the active configuration. Servers that remain keep their records.
func (s *State) SetServers(now time.Time, servers []Server) {
	next := make(map[string]*record, len(servers))
	for i := range s.domains {
		s.domains[i].servers = s.domains[i].servers[:0]
	}
	for _, server := range servers {
		r := s.records[server.Name]
		existing := r != nil
		if !existing {
			r = &record{}
			if s.initialized {
				r.usableSince = s.timestampOf(now)
			}
		}
		r.domain = s.domainIndexOf(server.Domain)
		if state := s.listStates[server.Name]; !existing && state != listAbsent {
			s.applyListState(now, r, state)
		}
		d := &s.domains[r.domain]
		d.servers = append(d.servers, server.Name)
		next[server.Name] = r
	}
	s.records = next
	s.pruneFailures()
	s.initialized, s.dirty = true, true
	s.version++
}

// pruneFailures removes servers that have left a failure domain from its failing servers, so that they do not count
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

// ApplyList applies a response of the instance list. A version older than the last one is ignored until listResetAfter
// has passed. The list can take a server out of use, but never restores one that is draining or unresponsive.
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
		// A leaving instance is removed from the list when it has stopped.
		r.down = true
		r.probeAt = s.timestampOf(now.Add(maxProbeBackoff))
	}
	if next == listLive && (r.down || r.draining()) {
		// The server may have a new incarnation, which only its own report can confirm.
		r.probeAt = s.timestampOf(now)
	}
	s.recordReasonChange(now, r, before)
}

// ObserveReport applies a server's report about itself. A delayed report of an older incarnation is ignored. An
// incarnation that has reported draining stays draining.
func (s *State) ObserveReport(now time.Time, rep Report) {
	r := s.records[rep.Server]
	if r == nil || rep.Incarnation < r.incarnation {
		return
	}
	before := s.reason(r)
	if rep.Incarnation > r.incarnation {
		s.applyNewIncarnation(now, r, rep.Incarnation)
	}
	if rep.Draining {
		r.drainingIncarnation = rep.Incarnation
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

func (s *State) applyNewIncarnation(now time.Time, r *record, incarnation int64) {
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

// ObserveSuccess records a successful exchange with a server. A server that is down stays down until a probe succeeds.
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

// ObserveFailure records a failed connection to a server. The first failure triggers a probe immediately, so that a
// second failure is detected within seconds even if this process sends few requests.
func (s *State) ObserveFailure(now time.Time, server string) {
	r := s.records[server]
	if r == nil {
		return
	}
	before := s.reason(r)
	r.failures = min(r.failures+1, 200) // The limit prevents an overflow of the uint8.
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

// ObserveSilence records that a connection with a request in flight has received no byte for SilenceTimeout.
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

// ProbeSucceeded records the report returned by a probe.
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
		r.probeAt = s.timestampOf(now.Add(probeBackoff(s.seed, rep.Server, laterDrainingProbeAttempt)))
	}
	s.recordReasonChange(now, r, before)
}

// ProbeFailed records a failed probe.
func (s *State) ProbeFailed(now time.Time, server string) {
	if r := s.records[server]; r != nil {
		r.probing = false
		s.ObserveFailure(now, server)
	}
}

// Tick applies the time-based rules and returns the servers to probe now. A server is not returned again until
// ProbeSucceeded or ProbeFailed has been called for it.
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
		r.probeAt = s.timestampOf(now.Add(probeBackoff(s.seed, name, firstDrainingProbeAttempt)))
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

// recordReasonChange increments the version if the reason differs from before. A server that has become usable ramps up
// from now.
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

// View returns an immutable snapshot of the state.
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
