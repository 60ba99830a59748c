package ingress

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// setDomains lists the servers again, each with a failure domain.
func (g *testGateway) setDomains(domains map[*testBackend]string) {
	var listed []catalog.Server
	for b, domain := range domains {
		listed = append(listed, catalog.Server{ID: b.id, Service: "s", Address: b.listener.Addr().String(), Domain: domain, Slots: 8})
	}
	g.fleet.Update(listed, time.Time{}, time.Now())
}

func (g *testGateway) requireEvacuated(t *testing.T, path string) {
	t.Helper()
	resp, body, err := g.get(t, path, testDeadline, "4000")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, `"`+reasonEvacuated+`"`)
	require.Contains(t, body, `"executed":"no"`)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
}

// Guards against requests of any kind to a service whose servers are all evacuated, with and without model engines, and
// against callers that wait for it.
func TestEvacuatedServiceRefusesImmediately(t *testing.T) {
	for _, path := range []string{"/once/x", "/idem/x", "/stream/x", "/fixed/x"} {
		for _, grouped := range []bool{false, true} {
			t.Run(path+strconv.FormatBool(grouped), func(t *testing.T) {
				complete := respondOK("ok")
				a, b := newTestBackend(t, "a", complete), newTestBackend(t, "b", complete)
				g := newGateway(t, a, b)
				g.setDomains(map[*testBackend]string{a: "d1", b: "d2"})
				if grouped {
					g.setGroups(map[*testBackend]string{a: "g", b: "g"})
				}
				g.fleet.SetEvacuated([]string{"d1", "d2"}, time.Now())
				g.RefreshGroups()
				g.requireEvacuated(t, path)
				require.Zero(t, a.count()+b.count())
				require.Equal(t, []string{"d1", "d2"}, g.Dump().Evacuated)
				g.fleet.SetEvacuated([]string{"d1"}, time.Now())
				g.RefreshGroups()
				resp, _, err := g.get(t, path)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, 1, b.count())
			})
		}
	}
}

// Guards against cutting a stream that is in flight when its domain is evacuated.
func TestStreamInFlightSurvivesAnEvacuation(t *testing.T) {
	var g *testGateway
	a := newTestBackend(t, "a", func(c net.Conn, r *http.Request) bool {
		respond(eventStream(1, 3))(c, r)
		g.fleet.SetEvacuated([]string{"d"}, time.Now())
		g.RefreshGroups()
		return respond(chunk("id: 4\ndata: x4\n\n")+lastChunk)(c, r)
	})
	b := newTestBackend(t, "b", respondOK("ok"))
	g = newGateway(t, a)
	g.setGroups(map[*testBackend]string{a: "g", b: "g"})
	_, body, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, eventsText(4), body)
	g.requireEvacuated(t, "/stream/x")
	require.Equal(t, 1, a.count())
}

// Guards against a retry, a resumed stream or a moved stream at a server that was evacuated while the request was at
// another one.
func TestNextAttemptAvoidsEvacuatedServers(t *testing.T) {
	for name, first := range map[string]string{"refused": "", "resumed": eventStream(1, 3)} {
		t.Run(name, func(t *testing.T) {
			var g *testGateway
			begin := func(c net.Conn, r *http.Request) bool {
				g.fleet.SetEvacuated([]string{"d2"}, time.Now())
				return first == "" && respondNotExecuted(c, r) || first != "" && respondAndClose(first)(c, r)
			}
			a, evacuated := newTestBackend(t, "a", begin), newTestBackend(t, "b", respondOK("ok"))
			other := newTestBackend(t, "c", respond(eventStream(1, 6)+lastChunk))
			g = newGateway(t)
			g.setDomains(map[*testBackend]string{a: "d", evacuated: "d2", other: "d3"})
			for _, b := range g.fleet.Backends("s") {
				load := map[string]int{"a": 0, "b": 1, "c": 2}[b.Server().ID]
				for range load { // The order of preference is a, b, c.
					b.Begin(0, time.Now())
				}
			}
			_, body, err := g.get(t, "/stream/x")
			require.NoError(t, err)
			require.Equal(t, eventsText(6), body)
			require.Zero(t, evacuated.count())
			require.Equal(t, 1, other.count())
		})
	}
}
