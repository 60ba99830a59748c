package routing

// Bound limits how far affinity may load a replica above the mean; bounded loads by Mirrokni, Thorup and
// Zadimoghaddam (2016).
type Bound struct {
	// Factor is the highest load over the mean at which affinity wins.
	Factor float64
	// Requests is a slack above the mean in requests, without which affinity never wins at an idle fleet.
	Requests float64
	// Share is the largest share of a model's requests that one prefix may lead to a replica, over the share that
	// each replica has on average. With many entries this is what bounds the load: an entry learns of a load only by
	// sending a request to the replica, and 1,100 entries that each send one to learn of it are the overload.
	Share float64
}

// DefaultBound has the factor of the design page; docs/measurements/routing.md compares others.
var DefaultBound = Bound{Factor: 1.25, Requests: 1, Share: 0.25}

// tieBand is the difference in load below which two replicas count as equal. Estimates are not better than that.
const tieBand = 0.02

// Affinity prefers the replicas that have a prompt's prefix cached, within a bound on load, and otherwise the
// least loaded of a few candidates.
type Affinity struct {
	bound Bound
	// prefix replaces the prefix of Prefixes when it is not nil.
	prefix func(prompt []byte) uint64
}

func newAffinity(b Bound) *Affinity { return &Affinity{bound: b} }

// Between these mean loads, the part of the requests that may follow affinity falls from all to none.
const (
	affinityAll  = 0.65
	affinityNone = 0.75
)

// affinePart returns that part at a mean load. Affinity loads some replicas above the mean, which must leave room for
// it: the bound on a replica's load comes too late where an entry hears of the replica once a minute.
func affinePart(mean float64) float64 { return (affinityNone - mean) / (affinityNone - affinityAll) }

// hash returns the hash that leads a prompt to its replicas, if it has one.
func (a *Affinity) hash(p *pool, q *Query) (uint64, bool) {
	switch {
	case len(q.Prompt) == 0 || len(p.live) == 0:
		return 0, false
	case a.prefix != nil:
		return a.prefix(q.Prompt), true
	}
	return p.loads.prefixes.Hash(q.Prompt, a.bound.Share/float64(len(p.live)))
}

// candidates are few, so their loads are computed once each.
type candidate struct {
	replica *Replica
	load    float64
	local   bool
}

func (a *Affinity) choose(p *pool, q *Query) *Replica {
	mean, others := p.mean()
	var best candidate
	if hash, ok := a.hash(p, q); ok && unit(q.draw()) < affinePart(mean) {
		for _, r := range p.affine(hash) {
			if !p.eligible(q, r) {
				continue
			}
			c := p.score(q, r, others)
			if a.within(c, mean) {
				return r
			}
			best = better(best, c)
		}
	}
	best = a.leastLoaded(p, q, mean, others, best)
	if best.replica == nil {
		return p.anyLeft(q)
	}
	return best.replica
}

// nearFull is the mean load from which balance counts more than anything else: two choices by lagging reports gave 10
// times the first token of least in flight at 83% use of 12 replicas.
const nearFull = 0.8

// scanLimit is the number of live replicas up to which all are compared, so that the cost of a decision stays bounded.
const scanLimit = 24

// ownTraffic says whether the requests of this process alone tell the replicas' loads apart: a small pool in which it
// has a request at each replica on average. Its own requests are known without a lag, and a slow replica shows in
// them. Comparing all replicas by their reports, which lag, would lead several processes to the same one.
func (p *pool) ownTraffic() bool {
	n := len(p.live)
	return n > 0 && n <= scanLimit && p.loads.inFlight.Load() >= int64(n)
}

// leastLoaded returns the replica for a request that does not follow affinity, or nothing: the one with the fewest
// requests of this process where these tell, otherwise the least loaded of the best so far, one of the own failure
// domain and one at random.
func (a *Affinity) leastLoaded(p *pool, q *Query, mean, others float64, best candidate) candidate {
	if mean >= nearFull && p.ownTraffic() {
		if r := p.fewestOwn(q); r != nil {
			return candidate{replica: r}
		}
	}
	best = p.betterOf(q, best, p.local(q), others)
	return p.betterOf(q, best, p.random(q), others)
}

// fewestOwn returns the eligible replica with the fewest requests of this process for its limit. The random start
// spreads processes that see equal numbers.
func (p *pool) fewestOwn(q *Query) *Replica {
	var best *Replica
	var lowest float64
	n := len(p.live)
	first := below(q.draw(), n)
	for i := range n {
		r := p.live[(first+i)%n]
		load := float64(r.InFlight()) / r.capacity()
		if (best == nil || load < lowest) && p.eligible(q, r) {
			best, lowest = r, load
		}
	}
	return best
}

// betterOf returns the better of a candidate and a replica, which counts only if it is eligible.
func (p *pool) betterOf(q *Query, best candidate, r *Replica, others float64) candidate {
	if !p.eligible(q, r) {
		return best
	}
	return better(best, p.score(q, r, others))
}

func (p *pool) score(q *Query, r *Replica, others float64) candidate {
	return candidate{replica: r, load: r.load(q.Now, others), local: r.Domain == p.localDomain}
}

func (a *Affinity) within(c candidate, mean float64) bool {
	slack := mean + a.bound.Requests/c.replica.capacity()
	return c.load <= max(a.bound.Factor*mean, slack)
}

// better returns the candidate with the lower load; the local one of two that are about equal.
func better(a, b candidate) candidate {
	if a.replica == nil {
		return b
	}
	if diff := a.load - b.load; diff > tieBand || (diff > -tieBand && b.local && !a.local) {
		return b
	}
	return a
}
