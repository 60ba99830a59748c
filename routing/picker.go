package routing

import "sync/atomic"

// Picker is an immutable set of pools for one configuration and one membership view. Any goroutine may use it.
type Picker struct {
	// Revision of the configuration and Version of the membership view that the picker was made from.
	Revision int64
	Version  uint64

	pools  map[Target]*pool
	policy Policy
	// replicas are all configured ones by name.
	replicas map[string]*Replica
}

// nearTries is the number of attempts of a request that stay in this process's region while a replica there is
// usable. Two refusals there are taken for a region that is full or cut off, and the request goes anywhere.
const sameRegionAttempts = 2

// Replica returns a configured replica by the name of its server, or nil. It may be unusable.
func (p *Picker) Replica(server string) *Replica { return p.replicas[server] }

// Replicas returns all configured replicas by name. The map must not be changed.
func (p *Picker) Replicas() map[string]*Replica { return p.replicas }

// Pick returns the replica for a query. Its cost does not depend on the number of replicas with the policy
// NameAffinity. It fails with an *UnknownTargetError or a *NoReplicaError. The caller counts the request with
// Begin and End of the replica.
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

// Usable returns the number of replicas that may get requests for a target.
func (p *Picker) Usable(t Target) int {
	if pool := p.pools[t]; pool != nil {
		return len(pool.usable)
	}
	return 0
}

// Router keeps the replicas and the present picker. Update is called by one goroutine, the others by any.
type Router struct {
	builder *builder
	picker  atomic.Pointer[Picker]
}

// NewRouter returns a router for a process in the failure domain.
func NewRouter(policy Policy, domain string) *Router {
	r := &Router{builder: newBuilder(policy, domain)}
	r.picker.Store(&Picker{policy: policy})
	return r
}

// Picker returns the present picker.
func (r *Router) Picker() *Picker { return r.picker.Load() }
