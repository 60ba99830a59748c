package proctest

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/kvserver"
)

// evacuate writes, or removes, the evacuation record of a failure domain.
func (f *Fleet) evacuate(domain string, evacuated bool) {
	f.t.Helper()
	method := http.MethodPut
	if !evacuated {
		method = http.MethodDelete
	}
	status, _, body := Do(f.t, method, f.StoreURL+"/standin/key?Key=op/evacuate/"+domain, nil, []byte("{}"))
	require.Equal(f.t, http.StatusOK, status, "%s", body)
}

// awaitEvacuated waits until each gateway has exactly the given domains evacuated.
func (f *Fleet) awaitEvacuated(domains ...string) {
	f.t.Helper()
	for _, g := range f.Gateways {
		Eventually(f.t, g.Name+" has evacuated "+strings.Join(domains, " and "), func() bool {
			var dump struct{ Evacuated []string }
			return g.State(&dump) == nil && slices.Equal(dump.Evacuated, domains)
		})
	}
}

// runsInFirstDomain returns the number of runs at the replicas of domain-0, which have even indexes.
func (f *Fleet) runsInFirstDomain(replicas int) int {
	n := 0
	for i := 0; i < replicas; i += 2 {
		n += f.runCountAt(i)
	}
	return n
}

// Guards against requests to the servers of an evacuated domain: at any gateway, on any route, while the store is away,
// and at a gateway that starts during the evacuation without the store.
func TestFleetEvacuatesADomain(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetSize{Gateways: 2, ModelReplicas: 4, PlainReplicas: 2})
	const replicas = 6
	c := &fleetClient{fleet: f, ctx: context.Background()}
	statuses := func() (out []int) {
		for _, g := range f.Gateways {
			for _, path := range []string{"/once/x", "/read/x", "/stream/x"} {
				for range 6 {
					events := 0
					if path == "/stream/x" {
						events = 3
					}
					out = append(out, c.send(newCallerHTTPClient(), g, path, CallerKey, events).status)
				}
			}
		}
		return slices.Compact(out)
	}
	Eventually(t, "all requests are served", func() bool { return slices.Equal(statuses(), []int{http.StatusOK}) })
	require.Positive(t, f.runsInFirstDomain(replicas))

	f.evacuate("domain-0", true)
	f.awaitEvacuated("domain-0")
	before := f.runsInFirstDomain(replicas)
	require.Equal(t, []int{http.StatusOK}, statuses())
	putJSON(t, f.StoreURL+"/standin/faults", kvserver.Faults{Down: true})
	time.Sleep(configBound)
	restarted := f.Gateways[1]
	restarted.Kill()
	f.RestartGateway(restarted)
	Eventually(t, "the gateway is ready without the store", func() bool { return statusCode(restarted.readyURL+"/readyz") == http.StatusOK })
	Eventually(t, "all requests are served", func() bool { return slices.Equal(statuses(), []int{http.StatusOK}) })
	require.Equal(t, before, f.runsInFirstDomain(replicas))

	putJSON(t, f.StoreURL+"/standin/faults", kvserver.Faults{})
	f.evacuate("domain-1", true)
	f.awaitEvacuated("domain-0", "domain-1")
	require.Equal(t, []int{http.StatusServiceUnavailable}, statuses())
	require.Equal(t, before, f.runsInFirstDomain(replicas))
	f.evacuate("domain-0", false)
	f.awaitEvacuated("domain-1")
	Eventually(t, "all requests are served", func() bool { return slices.Equal(statuses(), []int{http.StatusOK}) })
	require.Greater(t, f.runsInFirstDomain(replicas), before)
}

// Guards against requests to an evacuated domain after a restore of the store from a copy without the record, until the
// operator has written it again.
func TestFleetStaysEvacuatedOverARestore(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetSize{Gateways: 2, ModelReplicas: 2, PlainReplicas: 2})
	const replicas = 4
	c := &fleetClient{fleet: f, ctx: context.Background()}
	f.postStore("backup")
	f.evacuate("domain-0", true)
	f.awaitEvacuated("domain-0")
	before := f.runsInFirstDomain(replicas)
	f.postStore("restore?Except=op/evacuate/")
	// The operator writes the record again within 3 s. The gateways notice the restore within the wait of a poll, 1.4 s.
	const rewriteDelay = 2500 * time.Millisecond
	for end := time.Now().Add(rewriteDelay); time.Now().Before(end); {
		for _, g := range f.Gateways {
			c.send(newCallerHTTPClient(), g, "/read/x", CallerKey, 0)
		}
	}
	f.evacuate("domain-0", true)
	time.Sleep(configBound)
	for _, g := range f.Gateways {
		require.Equal(t, http.StatusOK, c.send(newCallerHTTPClient(), g, "/read/x", CallerKey, 0).status)
	}
	require.Equal(t, before, f.runsInFirstDomain(replicas))
}
