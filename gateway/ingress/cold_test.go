package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
)

// setCold makes the servers cold for an hour. The gateway may send perGateway requests a second to each.
func (g *testGateway) setCold(perGateway int, servers ...*testBackend) {
	const assumedGateways = 16
	g.fleet.SetWarmups(map[string]catalog.Warmup{"s": {Time: time.Hour, PerSecond: 1.25*assumedGateways*float64(perGateway) + 1}})
	var listed []catalog.Server
	for _, b := range servers {
		listed = append(listed, catalog.Server{
			ID: b.id, Service: "s", Address: b.listener.Addr().String(), Domain: "d", Slots: 8, WarmupLeft: time.Hour,
		})
	}
	g.fleet.Update(listed, time.Time{}, time.Now())
}

// Guards against more requests to a cold server than its share, of any kind, and against callers that wait for it.
func TestColdServiceRefusesWhatIsAboveItsShare(t *testing.T) {
	for _, path := range []string{"/once/x", "/idem/x", "/stream/x", "/fixed/x"} {
		t.Run(path, func(t *testing.T) {
			s := newTestBackend(t, "a", respondOK("ok"))
			g := newGateway(t)
			g.setCold(2, s)
			start := time.Now()
			refused := 0
			for range 8 {
				resp, body, err := g.get(t, path, testDeadline, "4000")
				require.NoError(t, err)
				if resp.StatusCode == http.StatusOK {
					continue
				}
				refused++
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Contains(t, body, `"`+reasonServersCold+`"`)
				require.Contains(t, body, `"executed":"no"`)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Positive(t, after)
			}
			seconds := 1 + int(time.Since(start)/time.Second)
			require.LessOrEqual(t, s.count(), 2*seconds)
			require.Equal(t, 8, refused+s.count())
		})
	}
}

// Guards against retries and resumed streams that are not counted in the share of a cold server.
func TestNextAttemptsCountInTheShareOfAColdServer(t *testing.T) {
	for name, first := range map[string]responder{
		"retried": respondNotExecuted, "resumed": respondAndClose(eventStream(1, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestBackend(t, "a", first), newTestBackend(t, "b", respond(eventStream(4, 6)+lastChunk))
			g := newGateway(t)
			g.setCold(1, a, b)
			backends := map[string]*balance.Backend{}
			for _, backend := range g.fleet.Backends("s") {
				backends[backend.Server().ID] = backend
			}
			backends["b"].Begin(9, time.Now()) // b is chosen second.
			backends["b"].CancelSend()
			before := time.Now()
			_, _, err := g.get(t, "/stream/x")
			require.NoError(t, err)
			require.Equal(t, []int{1, 1}, []int{a.count(), b.count()})
			for _, backend := range backends {
				require.False(t, backend.Accepts(before.Add(time.Second)))
			}
		})
	}
}

// Guards against connections that fail and use up the share of a cold server, which then gets no requests.
func TestUnsentRequestsUseNoShareOfAColdServer(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("ok"))
	s.listener.Close()
	g := newGateway(t)
	g.setCold(1, s)
	for range 3 {
		_, body, err := g.get(t, "/once/x")
		require.NoError(t, err)
		require.Contains(t, body, reasonRefusedByServer)
	}
}
