package routing

import "sync/atomic"

// Picker is an immutable set of pools for one configuration and one membership view. It is safe for concurrent use.
type Picker struct {
	// Revision of the configuration and Version of the membership view that the picker was built from.
	Revision int64
	Version  uint64

	pools  map[Target]*pool
	policy Policy
	// replicas are all configured replicas by name.
	replicas map[string]*Replica
}

// sameRegionAttempts is the number of attempts of a request that stay in this process's region while a replica there is
// usable. After two refusals the region is assumed to be full or unreachable, and the request may go to any region.
const sameRegionAttempts = 2

// Replica returns the configured replica of a backend server, or nil. The replica may be unusable.
func (p *Picker) Replica(server string) *Replica { return p.replicas[server] }

// Replicas returns all configured replicas by name. Callers must not modify the map.
func (p *Picker) Replicas() map[string]*Replica { return p.replicas }

// Pick returns the replica for a query. With the policy NameAffinity its cost does not depend on the number of
// replicas. It fails with an *UnknownTargetError or a *NoReplicaError. The caller must call Begin and End on the
// returned replica.
func (p *Picker) Pick(q Query) (*Replica, error) {
	pool := p.pools[q.Target]
	if pool == nil {
		return nil, &UnknownTargetError{Target: q.Target}
	}
	if pool.sameRegion != nil && len(q.Tried) < sameRegionAttempts {
		if r := p.policy.choose(pool.sameRegion, &q); r != nil {
			return r, nil
		}
	}
	if r := p.policy.choose(pool, &q); r != nil {
		return r, nil
	}
	return nil, &NoReplicaError{
		Target: q.Target, Configured: len(pool.replicas), Usable: len(pool.usable), Tried: len(q.Tried),
	}
}

// Usable returns the number of replicas that may receive requests for a target.
func (p *Picker) Usable(t Target) int {
	if pool := p.pools[t]; pool != nil {
		return len(pool.usable)
	}
	return 0
}

// Router keeps the replicas and publishes the current Picker. Only one goroutine may call Update; the other methods are
// safe for concurrent use.
type Router struct {
	builder *builder
	picker  atomic.Pointer[Picker]
}

// NewRouter returns a router for a process in the given failure domain.
func NewRouter(policy Policy, domain string) *Router {
	r := &Router{builder: newBuilder(policy, domain)}
	r.picker.Store(&Picker{policy: policy})
	return r
}

// Picker returns the current picker.
func (r *Router) Picker() *Picker { return r.picker.Load() }
