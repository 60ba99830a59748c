package proctest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// Sizes of the tests below. The bounds of the processes follow from their settings: memory_mb, and the descriptors that
// they may open.
const (
	limitedMemoryMB    = 64
	limitedDescriptors = 400
	// crowdSize is the number of connections of a crowd that sends bodies, headers or requests.
	crowdSize = 150
	// idleCrowdSize is the number of idle connections, above the descriptors of the process.
	idleCrowdSize = 600
	// entryMemoryMB is the default memory of an entry and of its sidecars.
	entryMemoryMB = 256
	// longResponseBytes is the length of a response that nobody reads.
	longResponseBytes = 16 << 20
)

// deployLimitedFleet starts one gateway with little memory and few descriptors.
func deployLimitedFleet(t *testing.T) *Fleet {
	t.Helper()
	return DeployFleet(t, FleetSize{
		Gateways: 1, ModelReplicas: 1, PlainReplicas: 1, MemoryMB: limitedMemoryMB, Descriptors: limitedDescriptors,
	})
}

// gatewayTarget describes a request to the plain service.
func gatewayTarget() crowdTarget {
	head := func(method, id string) string {
		return fmt.Sprintf("%s /read/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\n"+
			"X-Deadline-Ms: 8000\r\n", method, RouteHost, CallerKey, id)
	}
	return crowdTarget{
		head: head(http.MethodPost, "crowd"), bodyBytes: 1 << 20, responseHead: head(http.MethodGet, "crowd-read") + "\r\n",
	}
}

// requireOrdinaryRequest requires that the gateway answers an ordinary request, once the crowd has left.
func (f *Fleet) requireOrdinaryRequest() {
	f.t.Helper()
	c := &fleetClient{fleet: f}
	Eventually(f.t, "an ordinary request is answered", func() bool {
		a := c.send(newCallerHTTPClient(), f.Gateways[0], "/once/x", CallerKey, 0)
		require.Empty(f.t, a.problem())
		return a.status == http.StatusOK && a.complete
	})
}

// requireNothingRan requires that no request of the crowd has reached a server.
func (f *Fleet) requireNothingRan() {
	f.t.Helper()
	for _, run := range f.Runs() {
		require.NotEqual(f.t, "crowd", run.Attempt, "a request whose body was not accepted has reached a server")
	}
}

// Guards against a gateway that ends, hangs, or grows beyond its memory or descriptors by callers that keep no limit, and
// against one that sends what it has refused to a server.
func TestGatewayBoundsCallersWithoutLimits(t *testing.T) {
	for _, fault := range callerFaults() {
		t.Run(fault.name, func(t *testing.T) {
			f := deployLimitedFleet(t)
			g := f.Gateways[0]
			if fault.needsResponse {
				// The first replica serves the model.
				f.SetReplicaFaults(1, replicaserver.Faults{PaddingBytes: longResponseBytes})
			}
			target := gatewayTarget()
			crowd := &callerCrowd{t: t, address: g.Listen()}
			defer crowd.close()
			crowd.open(crowdSize, func(conn net.Conn) { fault.act(conn, target) })
			g.requireWithin(limitedMemoryMB, limitedDescriptors)
			crowd.close()
			f.SetReplicaFaults(1, replicaserver.Faults{})
			f.requireOrdinaryRequest()
			g.requireWithin(limitedMemoryMB, limitedDescriptors)
			f.requireNothingRan()
		})
	}
}

// Guards against a gateway whose descriptors or memory are used up by connections that send nothing.
func TestGatewayBoundsIdleConnections(t *testing.T) {
	f := deployLimitedFleet(t)
	g := f.Gateways[0]
	crowd := &callerCrowd{t: t, address: g.Listen()}
	defer crowd.close()
	crowd.open(idleCrowdSize, func(net.Conn) {})
	g.requireWithin(limitedMemoryMB, limitedDescriptors)
	crowd.close()
	f.requireOrdinaryRequest()
}

// controlPort is a port that is not for callers.
type controlPort struct {
	name, head string
	// of returns the process and the address of the port.
	of func(f *Fleet) (*Proc, string)
}

func controlPorts() []controlPort {
	ready := func(f *Fleet) (*Proc, string) {
		return f.Gateways[0].Proc, strings.TrimPrefix(f.Gateways[0].readyURL, "http://")
	}
	control := func(f *Fleet) (*Proc, string) { return f.Gateways[0].Proc, f.Gateways[0].AdminAddress }
	rank := func(f *Fleet) (*Proc, string) { return f.RankSidecars[0].Proc, f.RankSidecars[0].PeerAddress() }
	return []controlPort{
		{name: "readiness", head: "POST /readyz", of: ready},
		{name: "control", head: "POST /peer/v1/crash", of: control},
		{name: "log level", head: "PUT /debug/loglevel", of: control},
		{name: "rank", head: "POST /peer/v1/rank/order", of: rank},
		{name: "notice", head: "PUT /peer/v1/group/notice", of: rank},
	}
}

// Guards against a gateway whose readiness or control port, and a rank sidecar whose peer port, can be used to exhaust
// memory or descriptors.
func TestControlPortsBoundCallersWithoutLimits(t *testing.T) {
	for _, port := range controlPorts() {
		target := crowdTarget{head: port.head + " HTTP/1.1\r\nHost: x\r\n", bodyBytes: 1 << 20}
		t.Run(port.name, func(t *testing.T) {
			f := deployLimitedFleet(t)
			p, address := port.of(f)
			for _, fault := range callerFaults() {
				if fault.needsResponse {
					continue
				}
				crowd := &callerCrowd{t: t, address: address}
				crowd.open(crowdSize/2, func(conn net.Conn) { fault.act(conn, target) })
				t.Log(fault.name)
				p.requireWithin(limitedMemoryMB, limitedDescriptors)
				crowd.close()
			}
			crowd := &callerCrowd{t: t, address: address}
			defer crowd.close()
			crowd.open(idleCrowdSize, func(net.Conn) {})
			p.requireWithin(limitedMemoryMB, limitedDescriptors)
			crowd.close()
			f.requireOrdinaryRequest()
		})
	}
}

// Guards against an entry or a sidecar whose descriptors or memory are used up on one of its ports by connections that
// send nothing, or headers without end.
func TestProductPortsBoundConnections(t *testing.T) {
	for _, port := range []string{"callers", "entry peers", "entry admin", "sidecar peers", "sidecar admin"} {
		t.Run(port, func(t *testing.T) {
			d := Deploy(t, DeploymentOptions{
				Entries: 1, Models: 1, Services: 1, Slots: 8, InstanceListLag: 100 * time.Millisecond,
				EngineArgs: []string{"-token-time", "1ms", "-slots", "8"}, Descriptors: limitedDescriptors,
			})
			e, s := d.Entries[0], d.ModelSidecars[0]
			p, address := e.Proc, map[string]string{
				"callers": e.Settings.Listen, "entry peers": e.Settings.PeerListen, "entry admin": e.Settings.Admin,
				"sidecar peers": s.Settings.Listen, "sidecar admin": s.Settings.Admin,
			}[port]
			if strings.HasPrefix(port, "sidecar") {
				p = s.Proc
			}
			crowd := &callerCrowd{t: t, address: address}
			defer crowd.close()
			crowd.open(idleCrowdSize, func(net.Conn) {})
			p.requireWithin(entryMemoryMB, limitedDescriptors)
			crowd.close()
			crowd.open(crowdSize, func(conn net.Conn) {
				actLongHeaders(conn, crowdTarget{head: "GET /readyz HTTP/1.1\r\nHost: x\r\n"})
			})
			p.requireWithin(entryMemoryMB, limitedDescriptors)
			crowd.close()
			Eventually(t, "an ordinary request is answered", func() bool {
				return StreamChat(t, e.URL, "ordinary", 5, nil).Done
			})
		})
	}
}

// Guards against an entry that ends, hangs, or grows beyond its memory by callers that keep no limit.
func TestEntryBoundsCallersWithoutLimits(t *testing.T) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + CallerKey + "\r\n" +
		"Content-Type: application/json\r\n"
	prompt := `{"model": "` + ModelName + `", "stream": true, "max_tokens": 20000, "messages": [{"role": "user", "content": "x"}]}`
	target := crowdTarget{
		head: head, bodyBytes: 4 << 20, responseHead: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(prompt), prompt),
	}
	for _, fault := range callerFaults() {
		t.Run(fault.name, func(t *testing.T) {
			d := Deploy(t, DeploymentOptions{
				Entries: 1, Models: 1, Services: 1, Slots: 8, InstanceListLag: 100 * time.Millisecond,
				EngineArgs: []string{"-token-time", "1ms", "-slots", "8"},
			})
			e := d.Entries[0]
			crowd := &callerCrowd{t: t, address: e.Settings.Listen}
			defer crowd.close()
			crowd.open(crowdSize, func(conn net.Conn) { fault.act(conn, target) })
			e.requireWithin(entryMemoryMB, crowdSize+limitedDescriptors)
			crowd.close()
			Eventually(t, "an ordinary request is answered", func() bool {
				return StreamChat(t, e.URL, "ordinary", 5, nil).Done
			})
			e.requireWithin(entryMemoryMB, crowdSize+limitedDescriptors)
		})
	}
}

// Guards against a caller inside the limits that is refused because the process has little memory.
func TestGatewayServesOneBodyOfMaximumSize(t *testing.T) {
	f := DeployFleet(t, FleetSize{Gateways: 1, ModelReplicas: 1, PlainReplicas: 1, MemoryMB: 32})
	c := &fleetClient{fleet: f}
	a := c.sendBody(newCallerHTTPClient(), f.Gateways[0], "/once/x", CallerKey, 0, "", strings.Repeat("x", 1<<20))
	require.Equal(t, http.StatusOK, a.status)
	require.Empty(t, a.problem())
}
