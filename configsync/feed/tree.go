package feed

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Peer is a process that serves the configuration.
type Peer struct {
	Name string
	// Address is the "host:port" that serves GET /peer/v1/config.
	Address       string
	FailureDomain string
}

// Shape of the tree in each failure domain.
const (
	// watchers is the number of processes of a failure domain that watch the key-value service.
	watchers = 2
	// fanOut is the number of children of a process.
	fanOut = 16
)

// place is the position of a process in the tree of its failure domain.
type place struct {
	position int
	// sorted are the processes of the failure domain in tree order, this one included.
	sorted []Peer
	// others are the processes of the other failure domains.
	others []Peer
}

// locate computes the place of a process among its peers; the list need not contain the process itself.
func locate(self Peer, peers []Peer) place {
	p := place{}
	seen := map[string]bool{self.Name: true}
	p.sorted = append(p.sorted, self)
	for _, q := range peers {
		if seen[q.Name] {
			continue
		}
		seen[q.Name] = true
		if q.FailureDomain == self.FailureDomain {
			p.sorted = append(p.sorted, q)
		} else {
			p.others = append(p.others, q)
		}
	}
	sortByHash(p.sorted)
	for i, q := range p.sorted {
		if q.Name == self.Name {
			p.position = i
		}
	}
	return p
}

func sortByHash(peers []Peer) {
	sort.Slice(peers, func(i, j int) bool {
		a, b := xxhash.Sum64String(peers[i].Name), xxhash.Sum64String(peers[j].Name)
		if a != b {
			return a < b
		}
		return peers[i].Name < peers[j].Name
	})
}

func (p place) watches() bool { return p.position < watchers }

// parent returns the process to poll; not for watchers.
func (p place) parent() Peer { return p.sorted[(p.position-watchers)/fanOut] }

// fallback returns the nth process to try after the parent: those before this one in tree order, from the parent
// on and around, then those of other failure domains.
func (p place) fallback(n int) (Peer, bool) {
	if p.position > 0 {
		if n < p.position {
			first := max(p.position-watchers, 0) / fanOut
			return p.sorted[(first+n)%p.position], true
		}
		n -= p.position
	}
	if n >= len(p.others) {
		return Peer{}, false
	}
	return p.others[n], true
}
