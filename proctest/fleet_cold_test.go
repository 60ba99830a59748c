package proctest

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// Guards against several gateways that crash the cold servers of a domain which is taken back while many callers wait and
// no other domain can serve.
func TestFleetDoesNotCrashColdReplicas(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetSize{Gateways: 3, ModelReplicas: 2, PlainReplicas: 4})
	const (
		perSecond = 20
		warmup    = 5 * time.Second
	)
	f.plainWarmupS, f.plainWarmupPerS = warmup.Seconds(), perSecond
	f.Configure(CallerKey)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := &fleetClient{fleet: f, ctx: ctx}
	for i := range uint64(24) {
		go c.sendLoop(rand.New(rand.NewPCG(5, i)), "/once/x", false)
	}
	f.evacuate("domain-0", true)
	f.awaitEvacuated("domain-0")
	f.evacuate("domain-1", true)
	f.awaitEvacuated("domain-0", "domain-1")
	coldReplicas := []int{2, 4} // The plain replicas in domain-0.
	before := map[int]int{}
	for _, i := range coldReplicas {
		f.SetReplicaFaults(i, replicaserver.Faults{Cold: replicaserver.Cold{Ms: warmup.Milliseconds(), PerSecond: perSecond}})
		before[i] = f.runCountAt(i)
	}
	f.evacuate("domain-0", false)
	f.awaitEvacuated("domain-1")
	time.Sleep(warmup)
	for _, i := range coldReplicas {
		var faults replicaserver.Faults
		require.NoError(t, getJSON(f.replicaURLs[i]+"/standin/faults", &faults))
		require.False(t, faults.Down, "%s has crashed", replicaName(i))
		require.Greater(t, f.runCountAt(i), before[i], "%s has got no requests", replicaName(i))
	}
}
