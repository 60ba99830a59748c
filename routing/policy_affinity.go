package routing

// Bound limits how far affinity may load a replica above the mean; bounded loads by Mirrokni, Thorup and
// Zadimoghaddam (2016).
type AffinityBound struct {
	// LoadFactor is the highest load over the mean at which affinity wins.
	LoadFactor float64
	// SlackRequests is a slack above the mean in requests, without which affinity never wins at an idle fleet.
	SlackRequests float64
	// MaxPrefixShare is the largest share of a model's requests that one prefix may lead to a replica, over the share that
	// each replica has on average. With many entries this is what bounds the load: an entry learns of a load only by
	// sending a request to the replica, and 1,100 entries that each send one to learn of it are the overload.
	MaxPrefixShare float64
}

// DefaultBound has the factor of the design page; docs/measurements/routing.md compares others.
var DefaultAffinityBound = AffinityBound{LoadFactor: 1.25, SlackRequests: 1, MaxPrefixShare: 0.25}

// tieBand is the difference in load below which two replicas count as equal. Estimates are not better than that.
const loadTieTolerance = 0.02

// Affinity prefers the replicas that have a prompt's prefix cached, within a bound on load, and otherwise the
// least loaded of a few candidates.
type Affinity struct {
	bound AffinityBound
	// prefix replaces the prefix of Prefixes when it is not nil.
	prefixHash func(prompt []byte) uint64
}

func newAffinity(b AffinityBound) *Affinity { return &Affinity{bound: b} }

// Between these mean loads, the part of the requests that may follow affinity falls from all to none.
const (
	fullAffinityLoad = 0.65
	noAffinityLoad   = 0.75
)

// affinePart returns that part at a mean load. Affinity loads some replicas above the mean, which must leave room for
// it: the bound on a replica's load comes too late where an entry hears of the replica once a minute.
func affinityFraction(mean float64) float64 {
	return (noAffinityLoad - mean) / (noAffinityLoad - fullAffinityLoad)
}

// hash returns the hash that leads a prompt to its replicas, if it has one.
func (a *Affinity) promptHash(p *pool, q *Query) (uint64, bool) {
	switch {
	case len(q.Prompt) == 0 || len(p.usable) == 0:
		return 0, false
	case a.prefixHash != nil:
		return a.prefixHash(q.Prompt), true
	}
	return p.stats.prefixes.AffinityHash(q.Prompt, a.bound.MaxPrefixShare/float64(len(p.usable)))
}

// candidates are few, so their loads are computed once each.
type candidate struct {
	replica *Replica
	load    float64
	local   bool
}

func (a *Affinity) choose(p *pool, q *Query) *Replica {
	mean, external := p.meanLoad()
	var best candidate
	if hash, ok := a.promptHash(p, q); ok && uniformFloat(q.nextRandom()) < affinityFraction(mean) {
		for _, r := range p.affinityReplicas(hash) {
			if !p.eligible(q, r) {
				continue
			}
			c := p.score(q, r, external)
			if a.withinBound(c, mean) {
				return r
			}
			best = lessLoaded(best, c)
		}
	}
	best = a.leastLoaded(p, q, mean, external, best)
	if best.replica == nil {
		return p.anyUntried(q)
	}
	return best.replica
}

// nearFull is the mean load from which balance counts more than anything else: two choices by lagging reports gave 10
// times the first token of least in flight at 83% use of 12 replicas.
const nearFullLoad = 0.8

// scanLimit is the number of live replicas up to which all are compared, so that the cost of a decision stays bounded.
const maxScannedReplicas = 24

// ownTraffic says whether the requests of this process alone tell the replicas' loads apart: a small pool in which it
// has a request at each replica on average. Its own requests are known without a lag, and a slow replica shows in
// them. Comparing all replicas by their reports, which lag, would lead several processes to the same one.
func (p *pool) ownRequestsSuffice() bool {
	n := len(p.usable)
	return n > 0 && n <= maxScannedReplicas && p.stats.inFlight.Load() >= int64(n)
}

// leastLoaded returns the replica for a request that does not follow affinity, or nothing: the one with the fewest
// requests of this process where these tell, otherwise the least loaded of the best so far, one of the own failure
// domain and one at random.
func (a *Affinity) leastLoaded(p *pool, q *Query, mean, external float64, best candidate) candidate {
	if mean >= nearFullLoad && p.ownRequestsSuffice() {
		if r := p.fewestOwnRequests(q); r != nil {
			return candidate{replica: r}
		}
	}
	best = p.lessLoadedOf(q, best, p.local(q), external)
	return p.lessLoadedOf(q, best, p.random(q), external)
}

// fewestOwn returns the eligible replica with the fewest requests of this process for its limit. The random start
// spreads processes that see equal numbers.
func (p *pool) fewestOwnRequests(q *Query) *Replica {
	var best *Replica
	var lowest float64
	n := len(p.usable)
	first := uniformInt(q.nextRandom(), n)
	for i := range n {
		r := p.usable[(first+i)%n]
		load := float64(r.InFlight()) / r.capacity()
		if (best == nil || load < lowest) && p.eligible(q, r) {
			best, lowest = r, load
		}
	}
	return best
}

// betterOf returns the better of a candidate and a replica, which counts only if it is eligible.
func (p *pool) lessLoadedOf(q *Query, best candidate, r *Replica, external float64) candidate {
	if !p.eligible(q, r) {
		return best
	}
	return lessLoaded(best, p.score(q, r, external))
}

func (p *pool) score(q *Query, r *Replica, external float64) candidate {
	return candidate{replica: r, load: r.load(q.Now, external), local: r.Domain == p.localDomain}
}

func (a *Affinity) withinBound(c candidate, mean float64) bool {
	slack := mean + a.bound.SlackRequests/c.replica.capacity()
	return c.load <= max(a.bound.LoadFactor*mean, slack)
}

// better returns the candidate with the lower load; the local one of two that are about equal.
func lessLoaded(a, b candidate) candidate {
	if a.replica == nil {
		return b
	}
	if diff := a.load - b.load; diff > loadTieTolerance || (diff > -loadTieTolerance && b.local && !a.local) {
		return b
	}
	return a
}
