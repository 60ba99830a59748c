package proctest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// Guards against processes that stay in the state from before the store was restored from an older copy: a configuration with a lower
// revision that is not taken, a key that is valid again, servers that are lost, and a group whose maps are not changed any more or are
// changed by two planners.
func TestFleetFollowsARestoredStore(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetPlan{Gateways: 2, Models: 3, Plain: 2})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := &callers{f: f, ctx: ctx}
	for i := range uint64(3) {
		go c.loop(rand.New(rand.NewPCG(9, i)), "/stream/x", true)
	}
	Eventually(t, "the map of the group is changed", func() bool { return f.Group().Switches > 0 })
	f.Configure("key-before")
	const lost = 5 * time.Second // Of the store's history: more than the bound for a change of the configuration.
	f.store("backup")
	time.Sleep(lost)
	f.Configure("key-lost")
	f.store("restore")
	f.Configure("key-after", "/after/")
	configured := time.Now()
	time.Sleep(configBound)
	switches := f.Group().Switches
	for _, g := range f.Gateways {
		require.Equal(t, http.StatusOK, c.send(client(), g, "/after/x", "key-after", 0).status, g.Name)
		require.Equal(t, http.StatusUnauthorized, c.send(client(), g, "/read/x", "key-before", 0).status)
		require.Equal(t, http.StatusUnauthorized, c.send(client(), g, "/read/x", "key-lost", 0).status)
		require.Equal(t, http.StatusOK, c.send(client(), g, "/once/x", CallerKey, 0).status)
	}
	require.Less(t, time.Since(configured), lost, "the revisions of the store have not come back to where they were")
	Eventually(t, "the map of the group is changed again", func() bool { return f.Group().Switches > switches })
	require.Empty(t, f.Group().Violations)
}

// store has the stand-in of the store take a copy of itself, or come back from it.
func (f *Fleet) store(what string) {
	status, _, body := Do(f.t, http.MethodPost, f.StoreURL+"/standin/"+what, nil, nil)
	require.Equal(f.t, http.StatusOK, status, "%s", body)
}

// Guards against work at a replica that has said in an answer, and nowhere else, that it leaves.
func TestFleetHeedsAReplicaThatSaysItLeaves(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetPlan{Gateways: 1, Models: 3, Plain: 2})
	c := &callers{f: f, ctx: context.Background()}
	h := client()
	require.Equal(t, http.StatusOK, c.send(h, f.Gateways[0], "/once/x", CallerKey, 0).status)
	first := 3 // The plain replicas follow the models. The gateway prefers one of them.
	if f.runsAt(first) == 0 {
		first++
	}
	f.SetFaults(first, replicaserver.Faults{Leaving: true})
	Eventually(t, "the replica has answered", func() bool {
		a := c.send(h, f.Gateways[0], "/once/x", CallerKey, 0)
		return a.header.Get("Server-Leaving") != ""
	})
	before := f.runsAt(first)
	for range 50 {
		require.Equal(t, http.StatusOK, c.send(h, f.Gateways[0], "/once/x", CallerKey, 0).status)
	}
	require.Equal(t, before, f.runsAt(first))
	f.SetFaults(first, replicaserver.Faults{})
	Eventually(t, "the replica serves after it has started anew", func() bool {
		c.send(h, f.Gateways[0], "/once/x", CallerKey, 0)
		return f.runsAt(first) > before
	})
}

// runsAt counts the runs at a replica.
func (f *Fleet) runsAt(i int) int {
	n := 0
	for _, r := range f.Runs() {
		if r.Replica == replicaName(i) {
			n++
		}
	}
	return n
}
