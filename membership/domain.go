package membership

import "time"

// domain is the evidence about one failure domain.
type domain struct {
	name    string
	servers []string
	// lastSuccess is the time of the last success with any server of the domain.
	lastSuccess time.Time
	// failing holds the servers that failed since the last success; its first entry came at runStart.
	failing      map[string]bool
	failingSince time.Time
	lastFailure  time.Time
	// partitioned says that this process reaches no server of the domain.
	partitioned bool
	probeAt     time.Time
	probeCursor int
	// probeInterval doubles with every round of probes without an answer.
	probeInterval time.Duration
}

func (s *State) domainIndexOf(name string) uint16 {
	if i, ok := s.domainIndex[name]; ok {
		return i
	}
	i := uint16(len(s.domains))
	s.domainIndex[name] = i
	s.domains = append(s.domains, domain{name: name, failing: map[string]bool{}})
	return i
}

// observeDomainFailure notes a failure in a domain. When enough servers have failed and none has answered in between, the
// whole domain is held to be cut off from this process.
func (s *State) observeDomainFailure(now time.Time, i uint16, server string) {
	d := &s.domains[i]
	if d.partitioned {
		return
	}
	if !d.lastSuccess.Before(d.failingSince) || now.Sub(d.lastFailure) > partitionWindow {
		clear(d.failing)
		d.failingSince = now
	}
	d.lastFailure = now
	d.failing[server] = true
	threshold := min(partitionThreshold, len(d.servers))
	if threshold < 2 || len(d.failing) < threshold {
		return
	}
	d.partitioned, d.probeInterval = true, minProbeBackoff
	d.probeAt = now.Add(d.probeInterval)
	s.version++
}

// endPartition ends the partition of a domain. The servers that failed because of it count as usable, and all ramp
// up, because every process that was cut off returns at about the same time.
func (s *State) endPartition(now time.Time, i uint16) {
	d := &s.domains[i]
	if !d.partitioned {
		return
	}
	d.partitioned = false
	clear(d.failing)
	for _, name := range d.servers {
		r := s.records[name]
		r.down, r.failures, r.silentSince, r.probeAt = false, 0, 0, 0
		r.usableSince = s.timestampOf(now)
	}
	s.version++
}

// duePartitionProbes returns the servers of cut-off domains to probe: a few at a time, in turn.
func (s *State) duePartitionProbes(now time.Time) []string {
	var due []string
	for i := range s.domains {
		d := &s.domains[i]
		if !d.partitioned || now.Before(d.probeAt) || len(d.servers) == 0 {
			continue
		}
		for range min(partitionProbeBatch, len(d.servers)) {
			d.probeCursor++
			name := d.servers[d.probeCursor%len(d.servers)]
			if r := s.records[name]; !r.probing {
				r.probing = true
				due = append(due, name)
			}
		}
		d.probeInterval = min(2*d.probeInterval, maxPartitionProbeInterval)
		d.probeAt = now.Add(d.probeInterval)
	}
	return due
}
