package routing

// AffinityBound limits how far affinity may load a replica above the mean, as in consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2016).
type AffinityBound struct {
	// LoadFactor is the highest ratio of a replica's load to the mean load at which affinity is followed.
	LoadFactor float64
	// SlackRequests is the excess over the mean load, in requests, up to which affinity is followed even if LoadFactor
	// is exceeded. Without it, affinity would never be followed in an idle fleet.
	SlackRequests float64
	// MaxPrefixShare is the largest share of a model's requests that one prefix may direct to a replica, relative to
	// the mean share of a replica. With many entry processes this is the effective bound. Each of them receives the
	// load of a replica only with the response to a request, and one such request from each of 1,100 entries already
	// overloads the replica.
	MaxPrefixShare float64
}

// DefaultAffinityBound has the load factor of docs/design.md. docs/measurements/routing.md compares other values.
var DefaultAffinityBound = AffinityBound{LoadFactor: 1.25, SlackRequests: 1, MaxPrefixShare: 0.25}

// loadTieTolerance is the difference in load, as a fraction of the concurrency limit, up to which two replicas count as
// equally loaded. Load estimates are not more precise than that.
const loadTieTolerance = 0.02

// Affinity prefers the replicas that have a prompt's prefix cached, up to a bound on their load. Otherwise it chooses
// the least loaded of a few candidates.
type Affinity struct {
	bound AffinityBound
	// prefixHash replaces PrefixCounter.AffinityHash if it is not nil.
	prefixHash func(prompt []byte) uint64
}

func newAffinity(b AffinityBound) *Affinity { return &Affinity{bound: b} }

// The fraction of the requests that may follow affinity is 1 up to the mean load fullAffinityLoad. From there it falls
// linearly, to 0 at noAffinityLoad.
const (
	fullAffinityLoad = 0.65
	noAffinityLoad   = 0.75
)

// affinityFraction returns the fraction of the requests that may follow affinity at a mean load. A result below 0 means
// none, and one above 1 means all. Affinity loads some replicas above the mean, so the mean must leave capacity for
// that. The bound on a replica's load is not enough, because it reacts too late if an entry receives a report of the
// replica only once a minute.
func affinityFraction(mean float64) float64 {
	return (noAffinityLoad - mean) / (noAffinityLoad - fullAffinityLoad)
}

// promptHash returns the hash that maps a prompt to its replicas, if it has one.
func (a *Affinity) promptHash(p *pool, q *Query) (uint64, bool) {
	switch {
	case len(q.Prompt) == 0 || len(p.usable) == 0:
		return 0, false
	case a.prefixHash != nil:
		return a.prefixHash(q.Prompt), true
	}
	return p.stats.prefixes.AffinityHash(q.Prompt, a.bound.MaxPrefixShare/float64(len(p.usable)))
}

// candidate stores a replica with its load, so that comparisons do not compute the load again.
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

// nearFullLoad is the mean load from which an even distribution of the load has priority. With 12 replicas at 83%
// utilization, choosing the less loaded of two replicas by delayed reports made the time to the first token 10 times as
// long as with least-in-flight.
const nearFullLoad = 0.8

// maxScannedReplicas is the largest number of usable replicas that are all compared. It bounds the cost of a decision.
const maxScannedReplicas = 24

// ownRequestsSuffice reports whether this process's own requests are enough to compare the replicas' loads: the pool is
// small, and the process has at least one request per replica on average. It counts its own requests without delay, and
// they accumulate at a slow replica. If several processes compared all replicas by their delayed reports, they would
// choose the same one.
func (p *pool) ownRequestsSuffice() bool {
	n := len(p.usable)
	return n > 0 && n <= maxScannedReplicas && p.stats.inFlight.Load() >= int64(n)
}

// leastLoaded returns the replica for a request that does not follow affinity, or no replica. If the mean load is at
// least nearFullLoad and ownRequestsSuffice, it is the one with the fewest requests of this process. Otherwise it is
// the least loaded of the best candidate so far, a random replica of the local failure domain and a random replica of
// the pool.
func (a *Affinity) leastLoaded(p *pool, q *Query, mean, external float64, best candidate) candidate {
	if mean >= nearFullLoad && p.ownRequestsSuffice() {
		if r := p.fewestOwnRequests(q); r != nil {
			return candidate{replica: r}
		}
	}
	best = p.lessLoadedOf(q, best, p.randomLocal(q), external)
	return p.lessLoadedOf(q, best, p.random(q), external)
}

// fewestOwnRequests returns the eligible replica with the fewest requests of this process relative to its limit. The
// scan starts at a random replica, so that processes with equal counts do not all choose the same one.
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

// lessLoadedOf returns the less loaded of a candidate and a replica, or the candidate if the replica is not eligible.
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

// lessLoaded returns the candidate with the lower load. If the loads are about equal, it prefers the local failure
// domain.
func lessLoaded(a, b candidate) candidate {
	if a.replica == nil {
		return b
	}
	if diff := a.load - b.load; diff > loadTieTolerance || (diff > -loadTieTolerance && b.local && !a.local) {
		return b
	}
	return a
}
