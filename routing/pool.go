package routing

import "sync/atomic"

// pool holds the replicas that can serve one target, as of one picker.
type pool struct {
	target Target
	// near is the pool of the replicas in this process's region, nil where there are none or no others.
	sameRegion *pool
	// replicas are all configured ones, in the order of the table's indices.
	replicas []*Replica
	// table is nil for a service, whose calls have no prompt.
	table *rendezvousTable
	// usable says for each of replicas whether it may get work.
	isUsable []bool
	// live are the usable ones; the first nLocal are in this process's failure domain.
	usable []*Replica
	nLocal int
	// localDomain is the failure domain of this process.
	localDomain string
	stats       *targetStats
	// capacity is the mean limit of the replicas, to express this process's own requests as load.
	meanLimit float64
	rrIndex   *atomic.Uint64
}

// mean returns the mean load of the live replicas, as this process sees it.
func (p *pool) meanLoad() (mean, external float64) {
	external = p.stats.meanExternalLoad()
	if len(p.usable) == 0 {
		return external, external
	}
	ownLoad := float64(max(p.stats.inFlight.Load(), 0)) / float64(len(p.usable))
	return external + ownLoad/p.meanLimit, external
}

// eligible applies the filter that differs from request to request.
func (p *pool) eligible(q *Query, r *Replica) bool {
	if r == nil || q.tried(r) {
		return false
	}
	if share := r.rampShare(q.Now); share < 1 {
		return uniformFloat(q.nextRandom()) < share
	}
	return true
}

// affine returns the first two usable replicas of a prompt's ranking.
func (p *pool) affinityReplicas(prefix uint64) (out [2]*Replica) {
	if p.table == nil {
		return out
	}
	n := 0
	for _, i := range p.table.ranking(prefix) {
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

// random returns a live replica, or nil.
func (p *pool) random(q *Query) *Replica {
	if len(p.usable) == 0 {
		return nil
	}
	return p.usable[uniformInt(q.nextRandom(), len(p.usable))]
}

// local returns a live replica of this process's failure domain; any live one when there is none.
func (p *pool) local(q *Query) *Replica {
	if p.nLocal == 0 {
		return p.random(q)
	}
	return p.usable[uniformInt(q.nextRandom(), p.nLocal)]
}

// anyLeft returns a live replica that was not tried, ramping up or not. It looks at one more replica than were
// tried, so its cost does not grow with the pool.
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
