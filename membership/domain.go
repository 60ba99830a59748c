package membership

import "time"

// domain holds the health evidence of one failure domain.
type domain struct {
	name    string
	servers []string
	// lastSuccess is the time of the last successful exchange with any server of the domain.
	lastSuccess time.Time
	// failing holds the servers that have failed since the last success. The first of them failed at failingSince.
	failing      map[string]bool
	failingSince time.Time
	lastFailure  time.Time
	// partitioned is set while this process is considered cut off from the whole domain.
	partitioned bool
	probeAt     time.Time
	probeCursor int
	// probeInterval doubles with every round of probes, up to maxPartitionProbeInterval, until a probe succeeds.
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

// observeDomainFailure records the failure of a server of domain i. When enough servers have failed with no success in
// between, it marks the domain as partitioned from this process.
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

// endPartition marks domain i as reachable again. Its servers that were down become usable, and all of them ramp up,
// because all processes that were cut off resume sending at about the same time.
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

// duePartitionProbes returns the servers of partitioned domains to probe now: at most partitionProbeBatch per round and
// domain, in round-robin order.
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
