package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

// Guards against a replica that keeps counting as local after its server has moved to another failure domain.
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

// Guards against memory that grows with every model ever configured, 256 KiB each.
func TestStateOfRemovedModelsIsFreed(t *testing.T) {
	f := newFleet(3)
	f.addModel("removed", 3, nil)
	r := router(t, f, affinity())
	versioned := Target{Model: "m", Version: "v2"}
	kept, turn := r.builder.stats[anyModel], r.builder.rrIndexes[versioned]
	require.NotNil(t, turn)
	running := r.replica("removed-s0000")
	running.Begin()
	r.Update(newFleet(3).state(t), newFleet(3).members().View(start))
	require.Same(t, kept, r.builder.stats[anyModel], "a model that stays keeps its loads")
	require.Same(t, turn, r.builder.rrIndexes[versioned])
	for target := range r.builder.stats {
		require.NotEqual(t, "removed", target.Model)
	}
	for target := range r.builder.rrIndexes {
		require.NotEqual(t, "removed", target.Model)
	}
	running.End()
	require.Zero(t, running.InFlight())
}

// Guards against forgetting the loads of a model that has no server for the time being.
func TestModelWithoutServersKeepsItsStats(t *testing.T) {
	f := newFleet(3)
	r := router(t, f, affinity())
	kept := r.builder.stats[anyModel]
	f.objects = []*operatorv1.Object{f.objects[0]}
	r.Update(f.state(t), f.members().View(start))
	require.Same(t, kept, r.builder.stats[anyModel])
}

// Guards against a change of the policy that WithPrefix was called on, which other routers may use.
func TestWithPrefixHashDoesNotModifyTheOriginalPolicy(t *testing.T) {
	original := affinity()
	changed := original.WithPrefixHash(func([]byte) uint64 { return 1 })
	require.Nil(t, original.affinity.prefixHash)
	require.NotNil(t, changed.affinity.prefixHash)
}
