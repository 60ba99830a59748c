package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/replicaserver"
)

const (
	commonPart = "c0ffee"
	deadlyPart = "dead1"
	deadlyBody = "a deadly request"
)

// poisonedFleet is a fleet whose model replicas crash on a part of prompts and on one request, with callers of its
// gateways.
type poisonedFleet struct {
	*Fleet
	client *fleetClient
	calls  int
}

func newPoisonedFleet(t *testing.T) *poisonedFleet {
	t.Helper()
	f := DeployFleet(t, FleetSize{Gateways: 3, ModelReplicas: 3, PlainReplicas: 2})
	for i := range 3 {
		f.SetReplicaFaults(i, replicaserver.Faults{DeadlyPart: deadlyPart, DeadlyBody: deadlyBody})
	}
	return &poisonedFleet{Fleet: f, client: &fleetClient{fleet: f, ctx: context.Background()}}
}

// stream sends a stream with the given shared parts, and a last part of its own, to a gateway.
func (f *poisonedFleet) stream(g *Gateway, shared string) *attempt {
	f.calls++
	return f.client.sendPrompt(newCallerHTTPClient(), g, "/stream/x", CallerKey, 4, fmt.Sprintf("%s,%x:100", shared, f.calls))
}

func (f *poisonedFleet) sendSound(g *Gateway) *attempt { return f.stream(g, commonPart+":40") }

func (f *poisonedFleet) sendPoisoned(g *Gateway) *attempt {
	return f.stream(g, commonPart+":40,"+deadlyPart+":60")
}

// sendDeadlyRequest sends a request with the same content each time, whose shared part sound requests hold too.
func (f *poisonedFleet) sendDeadlyRequest(g *Gateway) *attempt {
	return f.client.sendBody(newCallerHTTPClient(), g, "/stream/x", CallerKey, 4, commonPart+":40,fe:60", deadlyBody)
}

// requireServing waits until each gateway has answered enough sound requests to know them.
func (f *poisonedFleet) requireServing() {
	f.t.Helper()
	for _, g := range f.Gateways {
		for range 12 {
			Eventually(f.t, "a sound request is answered by "+g.Name, func() bool { return f.sendSound(g).complete })
		}
	}
}

// storedSuspects returns the numbers of suspected parts and of suspected whole requests in the store.
func (f *poisonedFleet) storedSuspects() (parts, requests int) {
	var page struct{ Items []struct{ Value []byte } }
	require.NoError(f.t, getJSON(f.StoreURL+"/kv-range?PathPrefix=quarantine/", &page))
	for _, item := range page.Items {
		var record struct{ Part string }
		require.NoError(f.t, json.Unmarshal(item.Value, &record))
		if strings.HasPrefix(record.Part, "request:") {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}

// awaitBlocked waits until all gateways block requests that crash replicas, and until the group has formed again.
func (f *poisonedFleet) awaitBlocked(send func(g *Gateway) *attempt) {
	f.t.Helper()
	Eventually(f.t, "all gateways block the requests", func() bool {
		for _, g := range f.Gateways {
			if a := send(g); !strings.Contains(a.body, "quarantined") {
				return false
			}
		}
		return true
	})
	const formTime = 2 * time.Second
	time.Sleep(formTime)
}

// requireContained sends requests that crash replicas to all gateways, and requires that they reach none and that one
// replica has crashed.
func (f *poisonedFleet) requireContained(send func(g *Gateway) *attempt) {
	f.t.Helper()
	for range 5 {
		for _, g := range f.Gateways {
			a := send(g)
			require.Equal(f.t, http.StatusServiceUnavailable, a.status, "%s: %s", g.Name, a.body)
			require.Contains(f.t, a.body, "quarantined")
			require.NotEmpty(f.t, a.retryAfter)
		}
	}
	require.Equal(f.t, 1, f.GroupCounts().Crashes)
	for _, g := range f.Gateways {
		Eventually(f.t, "a sound request is answered by "+g.Name, func() bool { return f.sendSound(g).complete })
	}
}

// Guards against gateways that each let a part of prompts crash a replica before they keep it from the replicas, and
// against a gateway that forgets such a part when it starts anew.
func TestFleetCrashesOnceByADeadlyPart(t *testing.T) {
	t.Parallel()
	f := newPoisonedFleet(t)
	f.requireServing()
	require.NotEqual(t, http.StatusOK, f.sendPoisoned(f.Gateways[0]).status)
	Eventually(t, "the part and the request are known to the store", func() bool {
		parts, requests := f.storedSuspects()
		return parts == 1 && requests == 1
	})
	f.requireContained(f.sendPoisoned)
	g := f.Gateways[1]
	g.Kill()
	f.RestartGateway(g)
	Eventually(t, g.Name+" is ready", func() bool { return statusCode(g.readyURL+"/readyz") == http.StatusOK })
	f.requireContained(f.sendPoisoned)
}

// Guards against gateways that each let a request crash a replica that comes again under new IDs, and against keeping
// requests with the same shared part from the replicas.
func TestFleetCrashesOnceByADeadlyRequest(t *testing.T) {
	t.Parallel()
	f := newPoisonedFleet(t)
	f.requireServing()
	require.NotEqual(t, http.StatusOK, f.sendDeadlyRequest(f.Gateways[1]).status)
	f.awaitBlocked(f.sendDeadlyRequest)
	f.requireContained(f.sendDeadlyRequest)
}

// Guards against gateways that learn of a deadly part only through the store.
func TestFleetContainsADeadlyPartWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newPoisonedFleet(t)
	f.requireServing()
	putJSON(t, f.StoreURL+"/standin/faults", kvserver.Faults{Down: true})
	require.NotEqual(t, http.StatusOK, f.sendPoisoned(f.Gateways[2]).status)
	f.awaitBlocked(f.sendPoisoned)
	f.requireContained(f.sendPoisoned)
}
