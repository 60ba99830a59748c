package routing

// roundRobin takes the live replicas in turn.
func (p *pool) roundRobin(q *Query) *Replica {
	n := len(p.usable)
	for range min(n, len(q.Tried)+1) {
		if r := p.usable[p.rrIndex.Add(1)%uint64(n)]; !q.tried(r) {
			return r
		}
	}
	return p.anyUntried(q)
}

// randomLeft takes any live replica.
func (p *pool) randomUntried(q *Query) *Replica {
	if r := p.random(q); r != nil && !q.tried(r) {
		return r
	}
	return p.anyUntried(q)
}

// leastInFlight takes the live replica with the fewest requests of this process. It looks at every replica.
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

// chooseUnbounded follows the ranking of the prompt's prefix whatever the load.
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
