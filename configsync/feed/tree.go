package feed

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Peer is a process that takes part in the distribution of the configuration.
type Peer struct {
	Name string
	// Address is the "host:port" that serves GET /peer/v1/config.
	Address       string
	FailureDomain string
}

// Shape of the tree in each failure domain.
const (
	// watchersPerDomain is the number of processes in a failure domain that watch the key-value service.
	watchersPerDomain = 2
	// fanOut is the maximum number of children of a process.
	fanOut = 16
)

// treePosition is the position of a process in the tree of its failure domain.
type treePosition struct {
	// index is the index of the process in domainPeers.
	index int
	// domainPeers are the processes of the failure domain in tree order, including this one.
	domainPeers []Peer
	// otherPeers are the processes of the other failure domains.
	otherPeers []Peer
}

// findPosition computes the tree position of a process. The list need not contain the process itself.
func findPosition(self Peer, peers []Peer) treePosition {
	p := treePosition{}
	seen := map[string]bool{self.Name: true}
	p.domainPeers = append(p.domainPeers, self)
	for _, q := range peers {
		if seen[q.Name] {
			continue
		}
		seen[q.Name] = true
		if q.FailureDomain == self.FailureDomain {
			p.domainPeers = append(p.domainPeers, q)
		} else {
			p.otherPeers = append(p.otherPeers, q)
		}
	}
	sortByHash(p.domainPeers)
	for i, q := range p.domainPeers {
		if q.Name == self.Name {
			p.index = i
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

func (p treePosition) isWatcher() bool { return p.index < watchersPerDomain }

// parent returns the process that this one polls. It must not be called for a watcher.
func (p treePosition) parent() Peer { return p.domainPeers[(p.index-watchersPerDomain)/fanOut] }

// fallback returns the process to poll after n failures in sequence, or false if there are no more. For n = 0 it is the
// parent. Then follow the processes after the parent and before this one in tree order, those before the parent, and
// those of other failure domains.
func (p treePosition) fallback(n int) (Peer, bool) {
	if p.index > 0 {
		if n < p.index {
			first := max(p.index-watchersPerDomain, 0) / fanOut
			return p.domainPeers[(first+n)%p.index], true
		}
		n -= p.index
	}
	if n >= len(p.otherPeers) {
		return Peer{}, false
	}
	return p.otherPeers[n], true
}
