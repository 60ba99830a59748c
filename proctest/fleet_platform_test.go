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
func TestFleetFollowsRestoredStore(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetSize{Gateways: 2, ModelReplicas: 3, PlainReplicas: 2})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := &fleetClient{fleet: f, ctx: ctx}
	for i := range uint64(3) {
		go c.sendLoop(rand.New(rand.NewPCG(9, i)), "/stream/x", true)
	}
	Eventually(t, "the map of the group is changed", func() bool { return f.GroupCounts().Switches > 0 })
	f.Configure("key-before")
	const lostHistory = 5 * time.Second // Of the store's history: more than the bound for a change of the configuration.
	f.postStore("backup")
	time.Sleep(lostHistory)
	f.Configure("key-lost")
	f.postStore("restore")
	f.Configure("key-after", "/after/")
	configured := time.Now()
	time.Sleep(configBound)
	switches := f.GroupCounts().Switches
	for _, g := range f.Gateways {
		require.Equal(t, http.StatusOK, c.send(newCallerHTTPClient(), g, "/after/x", "key-after", 0).status, g.Name)
		require.Equal(t, http.StatusUnauthorized, c.send(newCallerHTTPClient(), g, "/read/x", "key-before", 0).status)
		require.Equal(t, http.StatusUnauthorized, c.send(newCallerHTTPClient(), g, "/read/x", "key-lost", 0).status)
		require.Equal(t, http.StatusOK, c.send(newCallerHTTPClient(), g, "/once/x", CallerKey, 0).status)
	}
	require.Less(t, time.Since(configured), lostHistory, "the revisions of the store have not come back to where they were")
	Eventually(t, "the map of the group is changed again", func() bool { return f.GroupCounts().Switches > switches })
	require.Empty(t, f.GroupCounts().Violations)
}

// postStore has the stand-in of the postStore take a copy of itself, or come back from it.
func (f *Fleet) postStore(action string) {
	status, _, body := Do(f.t, http.MethodPost, f.StoreURL+"/standin/"+action, nil, nil)
	require.Equal(f.t, http.StatusOK, status, "%s", body)
}

// Guards against work at a replica that has said in an answer, and nowhere else, that it leaves.
func TestFleetAvoidsLeavingReplica(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetSize{Gateways: 1, ModelReplicas: 3, PlainReplicas: 2})
	c := &fleetClient{fleet: f, ctx: context.Background()}
	h := newCallerHTTPClient()
	require.Equal(t, http.StatusOK, c.send(h, f.Gateways[0], "/once/x", CallerKey, 0).status)
	first := 3 // The plain replicas follow the models. The gateway prefers one of them.
	if f.runCountAt(first) == 0 {
		first++
	}
	f.SetReplicaFaults(first, replicaserver.Faults{Leaving: true})
	Eventually(t, "the replica has answered", func() bool {
		a := c.send(h, f.Gateways[0], "/once/x", CallerKey, 0)
		return a.header.Get("Server-Leaving") != ""
	})
	before := f.runCountAt(first)
	for range 50 {
		require.Equal(t, http.StatusOK, c.send(h, f.Gateways[0], "/once/x", CallerKey, 0).status)
	}
	require.Equal(t, before, f.runCountAt(first))
	f.SetReplicaFaults(first, replicaserver.Faults{})
	Eventually(t, "the replica serves after it has started anew", func() bool {
		c.send(h, f.Gateways[0], "/once/x", CallerKey, 0)
		return f.runCountAt(first) > before
	})
}

// runCountAt counts the runs at a replica.
func (f *Fleet) runCountAt(i int) int {
	n := 0
	for _, r := range f.Runs() {
		if r.Replica == replicaName(i) {
			n++
		}
	}
	return n
}
