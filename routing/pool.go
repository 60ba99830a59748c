package routing

import "sync/atomic"

// pool holds the replicas that can serve one target. It is built for one Picker.
type pool struct {
	target Target
	// sameRegion is the pool of the replicas in this process's region. It is nil if none of the replicas, or all of
	// them, are in that region.
	sameRegion *pool
	// replicas are all configured replicas. The rankings of table are indices into it.
	replicas []*Replica
	// table is nil for a service, whose calls have no prompt.
	table *rendezvousTable
	// isUsable reports for each element of replicas whether it may receive requests.
	isUsable []bool
	// usable are the replicas that may receive requests. The first nLocal are in this process's failure domain.
	usable []*Replica
	nLocal int
	// localDomain is the failure domain of this process.
	localDomain string
	stats       *targetStats
	// meanLimit is the mean concurrency limit of the replicas. It converts the number of requests of this process to
	// load.
	meanLimit float64
	// roundRobinCounter counts the replicas that the round-robin policy has considered. Modulo the number of usable
	// replicas, it is the index of the last one.
	roundRobinCounter *atomic.Uint64
}

// meanLoad returns the estimated mean load of the usable replicas, and the part of it that other processes cause.
func (p *pool) meanLoad() (mean, external float64) {
	external = p.stats.meanExternalLoad()
	if len(p.usable) == 0 {
		return external, external
	}
	ownLoad := float64(max(p.stats.inFlight.Load(), 0)) / float64(len(p.usable))
	return external + ownLoad/p.meanLimit, external
}

// eligible reports whether the request may use the replica. It returns false for a replica that the request has tried.
// For a replica that is ramping up, it returns true with a probability of rampShare.
func (p *pool) eligible(q *Query, r *Replica) bool {
	if r == nil || q.tried(r) {
		return false
	}
	if share := r.rampShare(q.Now); share < 1 {
		return uniformFloat(q.nextRandom()) < share
	}
	return true
}

// affinityReplicas returns the first two usable replicas in the ranking of a prefix hash. Elements without a replica
// are nil.
func (p *pool) affinityReplicas(hash uint64) (out [2]*Replica) {
	if p.table == nil {
		return out
	}
	n := 0
	for _, i := range p.table.ranking(hash) {
		if i == noReplica || n == len(out) {
			break
		}
		if p.isUsable[i] {
			out[n] = p.replicas[i]
			n++
		}
	}
	return out
}

// random returns a random usable replica, or nil if there is none.
func (p *pool) random(q *Query) *Replica {
	if len(p.usable) == 0 {
		return nil
	}
	return p.usable[uniformInt(q.nextRandom(), len(p.usable))]
}

// randomLocal returns a random usable replica in this process's failure domain, or in any domain if it has none.
func (p *pool) randomLocal(q *Query) *Replica {
	if p.nLocal == 0 {
		return p.random(q)
	}
	return p.usable[uniformInt(q.nextRandom(), p.nLocal)]
}

// anyUntried returns a usable replica that the request has not tried, even if it is ramping up, or nil if there is
// none. It checks at most one more replica than the request has tried, so its cost does not grow with the pool.
func (p *pool) anyUntried(q *Query) *Replica {
	n := len(p.usable)
	if n == 0 {
		return nil
	}
	first := uniformInt(q.nextRandom(), n)
	for i := range min(n, len(q.Tried)+1) {
		if r := p.usable[(first+i)%n]; !q.tried(r) {
			return r
		}
	}
	return nil
}
