package routing

import (
	"slices"
	"strings"
	"sync/atomic"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
)

// maxExcludedSlowShare is the largest share of a model's groups that are excluded for being slow. If more of them
// appear slow, the detection is more likely at fault than the groups.
const maxExcludedSlowShare = 0.2

// builder builds pickers and keeps state between builds. Only the goroutine that calls Update may use it.
type builder struct {
	policy Policy
	domain string
	// region is the configured region of the domain, empty if no server is configured in that domain.
	region             string
	replicas           map[string]*Replica
	stats              map[Target]*targetStats
	roundRobinCounters map[Target]*atomic.Uint64
	// tables are reused while the list of replicas is the same, because building one takes a hash per slot and replica.
	tables map[string]*rendezvousTable
	// nextStats, nextRoundRobinCounters and nextTables hold the state that the picker being built refers to. They
	// replace the maps above after the build, which frees the state of removed models and services. The stats of one
	// model take 256 KiB.
	nextStats              map[Target]*targetStats
	nextRoundRobinCounters map[Target]*atomic.Uint64
	nextTables             map[string]*rendezvousTable
}

func newBuilder(policy Policy, domain string) *builder {
	return &builder{
		policy: policy, domain: domain, replicas: map[string]*Replica{}, stats: map[Target]*targetStats{},
		roundRobinCounters: map[Target]*atomic.Uint64{}, tables: map[string]*rendezvousTable{},
	}
}

// Update builds and publishes the picker for a configuration and a membership view.
func (r *Router) Update(st *cluster.State, v *membership.View) {
	r.picker.Store(r.builder.build(st, v))
}

func (b *builder) build(st *cluster.State, v *membership.View) *Picker {
	p := &Picker{Revision: st.Revision, Version: v.Version, pools: map[Target]*pool{}, policy: b.policy}
	b.nextStats, b.nextRoundRobinCounters, b.nextTables = map[Target]*targetStats{}, map[Target]*atomic.Uint64{},
		map[string]*rendezvousTable{}
	b.region = regionOf(st, b.domain)
	b.refreshReplicas(st, v)
	p.replicas = b.replicas
	for _, name := range st.ModelNames() {
		b.addModelPools(p, st, v, st.Model(name))
	}
	b.addServicePools(p, st, v)
	b.stats, b.roundRobinCounters, b.tables = b.nextStats, b.nextRoundRobinCounters, b.nextTables
	return p
}

func (b *builder) addServicePools(p *Picker, st *cluster.State, v *membership.View) {
	services := map[string]bool{}
	for _, s := range st.Servers() {
		if name := s.GetService(); name != "" && !services[name] {
			services[name] = true
			t := Target{Service: name}
			p.pools[t] = b.newPool(t, st.ServersOfService(name), v, nil)
		}
	}
}

// refreshReplicas updates the replicas to the configuration. A server that has moved, or that serves another target,
// gets a new Replica. Requests in flight remain counted in the old Replica until they end.
func (b *builder) refreshReplicas(st *cluster.State, v *membership.View) {
	next := make(map[string]*Replica, len(st.Servers()))
	for name, s := range st.Servers() {
		group := st.Group(s.GetGroup())
		stats := b.statsOf(Target{Model: group.GetModel(), Service: s.GetService()})
		r := b.replicas[name]
		if r == nil || r.Address != s.GetAddress() || r.Domain != s.GetFailureDomain() ||
			r.Version != group.GetVersion() || r.stats != stats {
			r = &Replica{
				Name: name, Address: s.GetAddress(), Domain: s.GetFailureDomain(), Version: group.GetVersion(),
				slots: float64(max(s.GetSlots(), 1)), hash: hashName(name), stats: stats,
			}
		}
		if rampStart := v.Status(name).UsableSince; !rampStart.IsZero() {
			r.rampStart.Store(rampStart.UnixMilli())
		}
		next[name] = r
	}
	b.replicas = next
}

// addModelPools adds the pools of a model: one for each version and adapter, and one for each adapter without a
// version.
func (b *builder) addModelPools(p *Picker, st *cluster.State, v *membership.View, m *operatorv1.Model) {
	servers := st.ServersOfModel(m.GetName())
	slow := excludedSlowServers(servers, v)
	for _, adapter := range append([]string{""}, m.GetAdapters()...) {
		adapterServers := withAdapter(st, servers, adapter)
		byVersion := map[string][]*operatorv1.BackendServer{}
		for _, s := range adapterServers {
			version := st.Group(s.GetGroup()).GetVersion()
			byVersion[version] = append(byVersion[version], s)
		}
		for version, list := range byVersion {
			t := Target{Model: m.GetName(), Version: version, Adapter: adapter}
			if version != "" {
				p.pools[t] = b.newPool(t, list, v, slow)
			}
		}
		b.addUnversionedPool(p, Target{Model: m.GetName(), Adapter: adapter}, m, adapterServers, v, slow)
	}
}

// addUnversionedPool adds the pool for requests without a version. It is the pool of the default version if that has a
// usable replica. Otherwise it is a pool of all versions, so that the model stays available when the default changes.
func (b *builder) addUnversionedPool(
	p *Picker, t Target, m *operatorv1.Model, adapterServers []*operatorv1.BackendServer, v *membership.View,
	slow map[string]bool,
) {
	if versions := m.GetVersions(); len(versions) > 0 {
		defaultTarget := t
		defaultTarget.Version = versions[0]
		if d := p.pools[defaultTarget]; d != nil && len(d.usable) > 0 {
			p.pools[t] = d
			return
		}
	}
	p.pools[t] = b.newPool(t, adapterServers, v, slow)
}

func withAdapter(st *cluster.State, servers []*operatorv1.BackendServer, adapter string) []*operatorv1.BackendServer {
	if adapter == "" {
		return servers
	}
	var out []*operatorv1.BackendServer
	for _, s := range servers {
		if slices.Contains(st.Group(s.GetGroup()).GetAdapters(), adapter) {
			out = append(out, s)
		}
	}
	return out
}

// excludedSlowServers returns the servers of groups with a persistently slow rank, at most maxExcludedSlowShare of all.
func excludedSlowServers(servers []*operatorv1.BackendServer, v *membership.View) map[string]bool {
	maxExcluded := int(maxExcludedSlowShare * float64(len(servers)))
	out := map[string]bool{}
	for _, s := range servers {
		if len(out) < maxExcluded && v.Status(s.GetName()).Slow {
			out[s.GetName()] = true
		}
	}
	return out
}

// regionOf returns the region of the servers in a failure domain.
func regionOf(st *cluster.State, domain string) string {
	for _, s := range st.Servers() {
		if s.GetFailureDomain() == domain {
			return s.GetRegion()
		}
	}
	return ""
}

// newPool returns the pool of a target. Its sameRegion is set if some of the servers, but not all, are in this
// process's region.
func (b *builder) newPool(
	t Target, servers []*operatorv1.BackendServer, v *membership.View, slow map[string]bool,
) *pool {
	p := b.newPoolOfServers(t, servers, v, slow)
	var sameRegion []*operatorv1.BackendServer
	for _, s := range servers {
		if s.GetRegion() == b.region {
			sameRegion = append(sameRegion, s)
		}
	}
	if len(sameRegion) > 0 && len(sameRegion) < len(servers) {
		p.sameRegion = b.newPoolOfServers(t, sameRegion, v, slow)
	}
	return p
}

// newPoolOfServers returns the pool of a target with the given servers, sorted by name. Unusable servers keep their
// position in the rankings, so that the affinity of prompts to the other servers does not change.
func (b *builder) newPoolOfServers(
	t Target, servers []*operatorv1.BackendServer, v *membership.View, slow map[string]bool,
) *pool {
	p := &pool{
		target: t, stats: b.statsOf(Target{Model: t.Model, Service: t.Service}),
		roundRobinCounter: b.roundRobinCounterOf(t),
	}
	p.localDomain = b.domain
	var local, remote []*Replica
	for _, s := range servers {
		r := b.replicas[s.GetName()]
		usable := v.Status(r.Name).Usable() && !s.GetDraining() && !slow[r.Name]
		p.replicas = append(p.replicas, r)
		p.isUsable = append(p.isUsable, usable)
		p.meanLimit += r.capacity() / float64(len(servers))
		switch {
		case usable && r.Domain == b.domain:
			local = append(local, r)
		case usable:
			remote = append(remote, r)
		}
	}
	p.nLocal = len(local)
	p.usable = append(local, remote...)
	if t.Model != "" {
		p.table = b.tableOf(p.replicas)
	}
	return p
}

func (b *builder) statsOf(t Target) *targetStats {
	return reuseOrCreate(b.nextStats, b.stats, t, func() *targetStats {
		if t.Model == "" {
			return &targetStats{}
		}
		return &targetStats{prefixes: &PrefixCounter{}}
	})
}

func (b *builder) roundRobinCounterOf(t Target) *atomic.Uint64 {
	return reuseOrCreate(b.nextRoundRobinCounters, b.roundRobinCounters, t, func() *atomic.Uint64 {
		return new(atomic.Uint64)
	})
}

// tableOf returns the table of a list of replicas. Pools with the same replicas share it.
func (b *builder) tableOf(replicas []*Replica) *rendezvousTable {
	var key strings.Builder
	for _, r := range replicas {
		key.WriteString(r.Name)
		key.WriteByte(0)
	}
	return reuseOrCreate(b.nextTables, b.tables, key.String(), func() *rendezvousTable {
		return newRendezvousTable(replicas)
	})
}

// reuseOrCreate returns the value of a key in next. If it is missing, the value of the previous build is copied there,
// or a new one is created.
func reuseOrCreate[K comparable, V any](next, previous map[K]*V, key K, create func() *V) *V {
	if v := next[key]; v != nil {
		return v
	}
	v := previous[key]
	if v == nil {
		v = create()
	}
	next[key] = v
	return v
}
