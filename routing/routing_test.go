package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/membership"
)

// The seed of the property tests is fixed; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func affinity() Policy { return AffinityPolicy(DefaultAffinityBound) }

func pick(t testing.TB, r *Router, q Query) *Replica {
	if q.Now.IsZero() {
		q.Now = start
	}
	if q.Target == (Target{}) {
		q.Target = anyModel
	}
	replica, err := r.Picker().Pick(q)
	require.NoError(t, err)
	return replica
}

// Guards against all entries sending their requests to the one replica that last reported itself idle.
func TestManyEntriesDoNotHerdOnAnIdleReplica(t *testing.T) {
	const entries, replicas = 400, 20
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFleet(replicas)
	st, v := f.state(t), f.members().View(start)
	chosen := 0
	for range entries {
		r := NewRouter(affinity(), domains[0])
		r.Update(st, v)
		for i := range replicas {
			running := 12
			if i == 6 {
				running = 0
			}
			r.replica(fmt.Sprintf("m-s%04d", i)).ObserveReport(start, Report{Running: running, Limit: 16})
		}
		if pick(t, r, Query{Random: rng.Uint64()}).Name == "m-s0006" {
			chosen++
		}
	}
	// The two random candidates include the idle replica in at most 1/20 + 1/7 of the decisions.
	require.Less(t, chosen, entries/4)
	require.Greater(t, chosen, entries/10, "the idle replica must receive more than its share")
}

// Guards against affinity overloading one replica with a popular prompt.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	r := router(t, newFleet(12), affinity())
	prompt := []byte(strings.Repeat("popular ", 512))
	for i := range 120 {
		pick(t, r, Query{Prompt: prompt, Random: uint64(i)}).Begin()
	}
	for _, replica := range r.builder.replicas {
		require.LessOrEqual(t, replica.InFlight(), int64(14), replica.Name)
	}
}

// warmUp sends enough distinct prompts to end the warm-up of the prefix counter.
func warmUp(t testing.TB, r *Router) {
	for i := range prefixWarmUpRequests {
		pick(t, r, Query{Prompt: fmt.Appendf(nil, "%0300d", i), Random: uint64(i)})
	}
}

// conversation returns a prompt that starts with a prefix shared by all conversations. A first turn that is unique to
// id and further turns follow.
func conversation(id, turns int) []byte {
	return []byte(strings.Repeat("instructions of the customer...  ", 32) + strings.Repeat(fmt.Sprintf("talk %03d", id), 32+40*turns))
}

// Guards against conversations that lose their cached prefix as they grow, because routing ignores the prefix or hashes
// a part that changes with each turn.
func TestConversationReturnsToTheSameReplica(t *testing.T) {
	r := router(t, newFleet(12), affinity())
	warmUp(t, r)
	for i := range 200 {
		pick(t, r, Query{Prompt: conversation(i, 0), Random: uint64(i)})
	}
	for id := 900; id < 910; id++ {
		for _, replica := range r.builder.replicas {
			replica.ObserveReport(start, Report{Running: 100, Limit: 200})
		}
		first := pick(t, r, Query{Prompt: conversation(id, 0), Random: 1})
		first.ObserveReport(start, Report{Running: 115, Limit: 200}) // above the mean, within the bound
		require.Same(t, first, pick(t, r, Query{Prompt: conversation(id, 3), Random: 2}))
	}
}

// Guards against a popular prefix that directs 1,100 entries to one replica. An entry receives the load of the replica
// only with the responses to its own requests, so the bound on load reacts too late.
func TestPopularPrefixesAreSpread(t *testing.T) {
	r := router(t, newFleet(100), affinity())
	warmUp(t, r)
	chosen := map[*Replica]int{}
	for i := range 1000 {
		chosen[pick(t, r, Query{Prompt: conversation(i, 0), Random: uint64(i)})]++
	}
	for replica, n := range chosen {
		require.LessOrEqual(t, n, 40, replica.Name)
	}
}

// Guards against a change of one server that changes the affinity of prompts to other servers.
func TestRemovedReplicaRemapsOnlyItsOwnHashSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "replicas")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		var all, rest []*Replica
		for i := range n {
			all = append(all, &Replica{Name: fmt.Sprint(i), hash: hashName(fmt.Sprint(i))})
		}
		rest = append(append(rest, all[:removed]...), all[removed+1:]...)
		for slot := range uint64(100) {
			before := all[rankReplicas(mix(slot+1), all)[0]]
			after := rest[rankReplicas(mix(slot+1), rest)[0]]
			if before != all[removed] && before != after {
				t.Fatalf("slot %d moved from %s to %s", slot, before.Name, after.Name)
			}
		}
	})
}

// Guards against choosing a replica that the request has already tried, and against an endless search when all were
// tried.
func TestTriedReplicasAreNotChosenAgain(t *testing.T) {
	for _, name := range PolicyNames {
		policy, err := PolicyByName(name)
		require.NoError(t, err)
		r := router(t, newFleet(5), policy)
		q := Query{Target: anyModel, Now: start, Prompt: make([]byte, 1024)}
		for i := range 5 {
			q.Random = uint64(i)
			replica := pick(t, r, q)
			require.NotContains(t, q.Tried, replica, name)
			q.Tried = append(q.Tried, replica)
		}
		_, err = r.Picker().Pick(q)
		var none *NoReplicaError
		require.ErrorAs(t, err, &none, name)
	}
	_, err := PolicyByName("fastest")
	var unknown *UnknownPolicyError
	require.ErrorAs(t, err, &unknown)
}

// Guards against any policy sending requests to servers that are down, that have reported that they are draining, or
// that an operator drains in the configuration.
func TestUnusableServersGetNoRequests(t *testing.T) {
	f := newFleet(6)
	f.objects[2].GetServer().Draining = true // m-s0000
	m := f.members()
	m.ObserveReport(start, membership.Report{Server: "m-s0001", Incarnation: 1, Draining: true})
	for range membership.DownAfterFailures {
		m.ObserveFailure(start, "m-s0002")
	}
	for _, name := range PolicyNames {
		policy, _ := PolicyByName(name)
		r := NewRouter(policy, domains[0])
		r.Update(f.state(t), m.View(start))
		for i := range 200 {
			got := pick(t, r, Query{Random: uint64(i), Prompt: fmt.Appendf(nil, "prompt %d", i)})
			require.Contains(t, []string{"m-s0003", "m-s0004", "m-s0005"}, got.Name, name)
		}
	}
}

// Guards against excluding so many slow groups that the others are overloaded, and against excluding a group forever:
// without requests it cannot report that it is no longer slow.
func TestExcludedSlowGroupsAreCapped(t *testing.T) {
	f := newFleet(12)
	m := f.members()
	for i := range 6 {
		m.ObserveReport(start, membership.Report{Server: fmt.Sprintf("m-s%04d", i), Incarnation: 1, Slow: true})
	}
	r := NewRouter(affinity(), domains[0])
	r.Update(f.state(t), m.View(start))
	require.Equal(t, 10, r.Picker().Usable(anyModel))
	m.Tick(start.Add(membership.SlowReportTTL))
	r.Update(f.state(t), m.View(start.Add(membership.SlowReportTTL)))
	require.Equal(t, 12, r.Picker().Usable(anyModel), "a group that is excluded cannot report its recovery")
}

// Guards against a new server that receives its full share before its caches and connections are warm.
func TestNewServersRampUp(t *testing.T) {
	f := newFleet(10)
	m := f.members()
	up := start.Add(time.Minute)
	for range membership.DownAfterFailures {
		m.ObserveFailure(start, "m-s0003")
	}
	m.ProbeSucceeded(up, membership.Report{Server: "m-s0003", Incarnation: 1})
	r := NewRouter(affinity(), domains[0])
	r.Update(f.state(t), m.View(up))
	share := func(age time.Duration) int {
		n := 0
		for i := range 2000 {
			if pick(t, r, Query{Random: uint64(i), Now: up.Add(age)}).Name == "m-s0003" {
				n++
			}
		}
		return n
	}
	full := share(RampUpTime)
	require.Less(t, share(0), full/5)
	require.InDelta(t, full/2, share(RampUpTime/2), float64(full)/5)
}

// Guards against the only replica of a model receiving no requests while it ramps up.
func TestOnlyReplicaIsUsedDuringRampUp(t *testing.T) {
	f := newFleet(1)
	m := f.members()
	m.ObserveFailure(start, "m-s0000")
	m.ObserveFailure(start, "m-s0000")
	m.ProbeSucceeded(start, membership.Report{Server: "m-s0000", Incarnation: 1})
	r := NewRouter(affinity(), domains[0])
	r.Update(f.state(t), m.View(start))
	for i := range 100 {
		pick(t, r, Query{Random: uint64(i)})
	}
}

// Guards against sending a request for an adapter or a version to a replica that has not loaded it, and against a model
// that becomes unavailable when its default version changes.
func TestRequestsReachOnlyReplicasOfTheirVersionAndAdapter(t *testing.T) {
	f := &fleet{}
	f.addModel("m", 6, func(i int, g *operatorv1.Group) {
		if i < 2 {
			g.Version = "v1"
		}
		if i%2 == 0 {
			g.Adapters = []string{"permits"}
		}
	})
	r := router(t, f, affinity())
	require.Equal(t, 4, r.Picker().Usable(anyModel))
	require.Equal(t, 2, r.Picker().Usable(Target{Model: "m", Version: "v1"}))
	require.Equal(t, 2, r.Picker().Usable(Target{Model: "m", Adapter: "permits"}))
	require.Equal(t, 1, r.Picker().Usable(Target{Model: "m", Version: "v1", Adapter: "permits"}))
	_, err := r.Picker().Pick(Query{Target: Target{Model: "m", Version: "v9"}, Now: start})
	var unknown *UnknownTargetError
	require.ErrorAs(t, err, &unknown)

	m := f.members()
	for i := 2; i < 6; i++ {
		m.ObserveReport(start, membership.Report{Server: fmt.Sprintf("m-s%04d", i), Incarnation: 1, Draining: true})
	}
	r.Update(f.state(t), m.View(start))
	require.Equal(t, 2, r.Picker().Usable(anyModel))
}

// Guards against traffic between failure domains when a replica of the local domain is about equally loaded.
func TestLocalFailureDomainBreaksTies(t *testing.T) {
	r := router(t, newFleet(30), affinity())
	local := 0
	for i := range 1000 {
		if pick(t, r, Query{Random: uint64(i)}).Domain == domains[0] {
			local++
		}
	}
	require.Equal(t, 1000, local)
	near, far := candidate{replica: &Replica{}, load: 0.51, local: true}, candidate{replica: &Replica{}, load: 0.5}
	require.Equal(t, near, lessLoaded(far, near))
	require.Equal(t, near, lessLoaded(near, far))
	near.load = 0.6
	require.Equal(t, far, lessLoaded(near, far), "a difference in load above the tolerance outweighs locality")
}

// Guards against choosing a replica that refuses requests because its last report, from before the refusal, shows a low
// load.
func TestRefusalOverridesStaleReport(t *testing.T) {
	r := router(t, newFleet(2), affinity())
	a, b := r.replica("m-s0000"), r.replica("m-s0001")
	a.ObserveReport(start, Report{Running: 1, Limit: 16})
	b.ObserveReport(start, Report{Running: 8, Limit: 16})
	require.Same(t, a, pick(t, r, Query{Random: 4}))
	a.ObserveRefusal(start)
	for i := range 20 {
		if got := pick(t, r, Query{Random: uint64(i)}); got == a {
			continue // Both random candidates were a.
		}
		require.Same(t, b, pick(t, r, Query{Random: uint64(i)}))
	}
	require.Greater(t, a.load(start, 0), b.load(start, 0))
}

// Guards against counting the requests of this process twice: they are both in the report and in the counter of this
// process.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	r := router(t, newFleet(2), affinity())
	a := r.replica("m-s0000")
	for range 5 {
		a.Begin()
	}
	a.ObserveReport(start, Report{Running: 8, Limit: 16}) // four of the eight are this process's earlier ones
	require.InDelta(t, 9.0/16, a.load(start, 0), 1e-3)
	a.Begin()
	require.InDelta(t, 10.0/16, a.load(start, 0), 1e-3)
	for range 6 {
		a.End()
	}
	require.InDelta(t, 4.0/16, a.load(start, 0), 1e-3)
}

// Guards against heap allocations in each routing decision.
func TestPickDoesNotAllocate(t *testing.T) {
	r := router(t, newFleet(50), affinity())
	prompt := make([]byte, 8192)
	q := Query{Target: anyModel, Now: start, Prompt: prompt}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		q.Random++
		_, _ = r.Picker().Pick(q)
	}))
}

// Guards against sending requests to another region while the local one can serve them, and against keeping them in a
// region whose servers are down or refuse them.
func TestSameRegionIsPreferred(t *testing.T) {
	f := newFleet(12)
	inRegion := func(name, region string) bool {
		return (f.state(t).Server(name).GetFailureDomain() == domains[2]) == (region == "east")
	}
	for _, o := range f.objects {
		if s := o.GetServer(); s != nil && s.GetFailureDomain() == domains[2] {
			s.Region = "east"
		} else if s != nil {
			s.Region = "west"
		}
	}
	m := f.members()
	for _, name := range PolicyNames {
		policy, _ := PolicyByName(name)
		r := NewRouter(policy, domains[0])
		r.Update(f.state(t), m.View(start))
		crossed := 0
		for i := range 200 {
			q := Query{Random: uint64(i) * 0x9e3779b97f4a7c15, Prompt: fmt.Appendf(nil, "prompt %d", i)}
			first := pick(t, r, q)
			require.True(t, inRegion(first.Name, "west"), name)
			q.Tried = []*Replica{first}
			second := pick(t, r, q)
			require.True(t, inRegion(second.Name, "west"), name)
			q.Tried = append(q.Tried, second)
			if inRegion(pick(t, r, q).Name, "east") {
				crossed++
			}
		}
		require.NotZero(t, crossed, name)
	}
	for _, s := range f.servers {
		for range membership.DownAfterFailures {
			if s.Domain != domains[2] {
				m.ObserveFailure(start, s.Name)
			}
		}
	}
	policy, _ := PolicyByName(NameAffinity)
	r := NewRouter(policy, domains[0])
	r.Update(f.state(t), m.View(start))
	require.True(t, inRegion(pick(t, r, Query{Prompt: []byte("p")}).Name, "east"))
}

// Guards against replicas that are first in far more hash slots than others, and so receive more of the prompts.
func TestHashSlotsAreDistributedEvenly(t *testing.T) {
	r := router(t, newFleet(104), affinity())
	p := r.Picker().pools[anyModel]
	slotsLed := make([]int, len(p.replicas))
	for _, ranking := range p.table.rankings {
		slotsLed[ranking[0]]++
	}
	mean := float64(len(p.table.rankings)) / float64(len(slotsLed))
	require.LessOrEqual(t, float64(slices.Max(slotsLed)), 1.15*mean)
}
