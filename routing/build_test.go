package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

// Guards against a replica that still counts as local after its server has moved to another failure domain.
func TestReplicaIsReplacedWhenItsFailureDomainChanges(t *testing.T) {
	f := newFleet(3)
	r := router(t, f, affinity())
	before := r.replica("m-s0000")
	require.Equal(t, domains[0], before.Domain)
	for _, o := range f.objects {
		if s := o.GetServer(); s.GetName() == "m-s0000" {
			s.FailureDomain = domains[1]
		}
	}
	r.Update(f.state(t), f.members().View(start))
	require.Equal(t, domains[1], r.replica("m-s0000").Domain)
	require.NotSame(t, before, r.replica("m-s0000"))
	require.Zero(t, r.Picker().pools[anyModel].nLocal)
}

// Guards against keeping the state of removed models, which is 256 KiB each.
func TestStateOfRemovedModelsIsFreed(t *testing.T) {
	f := newFleet(3)
	f.addModel("removed", 3, nil)
	r := router(t, f, affinity())
	versioned := Target{Model: "m", Version: "v2"}
	kept, roundRobinCounter := r.builder.stats[anyModel], r.builder.roundRobinCounters[versioned]
	require.NotNil(t, roundRobinCounter)
	running := r.replica("removed-s0000")
	running.Begin()
	r.Update(newFleet(3).state(t), newFleet(3).members().View(start))
	require.Same(t, kept, r.builder.stats[anyModel], "a model that is still configured keeps its stats")
	require.Same(t, roundRobinCounter, r.builder.roundRobinCounters[versioned])
	for target := range r.builder.stats {
		require.NotEqual(t, "removed", target.Model)
	}
	for target := range r.builder.roundRobinCounters {
		require.NotEqual(t, "removed", target.Model)
	}
	running.End()
	require.Zero(t, running.InFlight())
}

// Guards against losing the stats of a model that temporarily has no server.
func TestModelWithoutServersKeepsItsStats(t *testing.T) {
	f := newFleet(3)
	r := router(t, f, affinity())
	kept := r.builder.stats[anyModel]
	f.objects = []*operatorv1.Object{f.objects[0]}
	r.Update(f.state(t), f.members().View(start))
	require.Same(t, kept, r.builder.stats[anyModel])
}

// Guards against WithPrefixHash modifying its receiver, which other routers may use.
func TestWithPrefixHashDoesNotModifyTheOriginalPolicy(t *testing.T) {
	original := affinity()
	changed := original.WithPrefixHash(func([]byte) uint64 { return 1 })
	require.Nil(t, original.affinity.prefixHash)
	require.NotNil(t, changed.affinity.prefixHash)
}
