package routing

// roundRobin takes the live replicas in turn.
func (p *pool) roundRobin(q *Query) *Replica {
	n := len(p.live)
	for range min(n, len(q.Tried)+1) {
		if r := p.live[p.turn.Add(1)%uint64(n)]; !q.tried(r) {
			return r
		}
	}
	return p.anyLeft(q)
}

// randomLeft takes any live replica.
func (p *pool) randomLeft(q *Query) *Replica {
	if r := p.random(q); r != nil && !q.tried(r) {
		return r
	}
	return p.anyLeft(q)
}

// leastInFlight takes the live replica with the fewest requests of this process. It looks at every replica.
func (p *pool) leastInFlight(q *Query) *Replica {
	n := len(p.live)
	if n == 0 {
		return nil
	}
	var best *Replica
	first := below(q.draw(), n)
	for i := range n {
		r := p.live[(first+i)%n]
		if !q.tried(r) && (best == nil || r.InFlight() < best.InFlight()) {
			best = r
		}
	}
	return best
}

// chooseUnbounded follows the ranking of the prompt's prefix whatever the load.
func (a *Affinity) chooseUnbounded(p *pool, q *Query) *Replica {
	if hash, ok := a.hash(p, q); ok {
		for _, r := range p.affine(hash) {
			if r != nil && !q.tried(r) {
				return r
			}
		}
	}
	return p.randomLeft(q)
}
