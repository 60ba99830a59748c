package membership

import "time"

// domain is the evidence about one failure domain.
type domain struct {
	name    string
	servers []string
	// lastOK is the time of the last success with any server of the domain.
	lastOK time.Time
	// failing holds the servers that failed since the last success; its first entry came at runStart.
	failing  map[string]bool
	runStart time.Time
	lastFail time.Time
	// cutOff says that this process reaches no server of the domain.
	cutOff  bool
	probeAt time.Time
	cursor  int
	// pause doubles with every round of probes without an answer.
	pause time.Duration
}

func (s *State) domainOf(name string) uint16 {
	if i, ok := s.domainIndex[name]; ok {
		return i
	}
	i := uint16(len(s.domains))
	s.domainIndex[name] = i
	s.domains = append(s.domains, domain{name: name, failing: map[string]bool{}})
	return i
}

// failedIn notes a failure in a domain. When enough servers have failed and none has answered in between, the
// whole domain is held to be cut off from this process.
func (s *State) failedIn(now time.Time, i uint16, server string) {
	d := &s.domains[i]
	if d.cutOff {
		return
	}
	if !d.lastOK.Before(d.runStart) || now.Sub(d.lastFail) > partitionWindow {
		clear(d.failing)
		d.runStart = now
	}
	d.lastFail = now
	d.failing[server] = true
	need := min(partitionServers, len(d.servers))
	if need < 2 || len(d.failing) < need {
		return
	}
	d.cutOff, d.pause = true, minProbePause
	d.probeAt = now.Add(d.pause)
	s.version++
}

// reached ends the partition of a domain. The servers that failed because of it count as usable, and all ramp
// up, because every process that was cut off returns at about the same time.
func (s *State) reached(now time.Time, i uint16) {
	d := &s.domains[i]
	if !d.cutOff {
		return
	}
	d.cutOff = false
	clear(d.failing)
	for _, name := range d.servers {
		r := s.records[name]
		r.down, r.fails, r.silentSince, r.probeAt = false, 0, 0, 0
		r.upSince = s.stampOf(now)
	}
	s.version++
}

// partitionProbes returns the servers of cut-off domains to probe: a few at a time, in turn.
func (s *State) partitionProbes(now time.Time) []string {
	var due []string
	for i := range s.domains {
		d := &s.domains[i]
		if !d.cutOff || now.Before(d.probeAt) || len(d.servers) == 0 {
			continue
		}
		for range min(partitionProbes, len(d.servers)) {
			d.cursor++
			name := d.servers[d.cursor%len(d.servers)]
			if r := s.records[name]; !r.probing {
				r.probing = true
				due = append(due, name)
			}
		}
		d.pause = min(2*d.pause, maxPartitionPause)
		d.probeAt = now.Add(d.pause)
	}
	return due
}
