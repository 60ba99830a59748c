package routing

// roundRobin returns the next usable replica in turn that the request has not tried, or nil if there is none.
func (p *pool) roundRobin(q *Query) *Replica {
	n := len(p.usable)
	for range min(n, len(q.Tried)+1) {
		if r := p.usable[p.roundRobinCounter.Add(1)%uint64(n)]; !q.tried(r) {
			return r
		}
	}
	return p.anyUntried(q)
}

// randomUntried returns a random usable replica that the request has not tried, or nil if there is none.
func (p *pool) randomUntried(q *Query) *Replica {
	if r := p.random(q); r != nil && !q.tried(r) {
		return r
	}
	return p.anyUntried(q)
}

// leastInFlight returns the usable replica with the fewest requests of this process. Its cost grows with the pool.
func (p *pool) leastInFlight(q *Query) *Replica {
	n := len(p.usable)
	if n == 0 {
		return nil
	}
	var best *Replica
	first := uniformInt(q.nextRandom(), n)
	for i := range n {
		r := p.usable[(first+i)%n]
		if !q.tried(r) && (best == nil || r.InFlight() < best.InFlight()) {
			best = r
		}
	}
	return best
}

// chooseUnbounded follows the ranking of the prompt's prefix regardless of load.
func (a *Affinity) chooseUnbounded(p *pool, q *Query) *Replica {
	if hash, ok := a.promptHash(p, q); ok {
		for _, r := range p.affinityReplicas(hash) {
			if r != nil && !q.tried(r) {
				return r
			}
		}
	}
	return p.randomUntried(q)
}
