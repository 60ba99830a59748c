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

// rankGone is the refusal of a rank whose group has lost another rank.
var respondRankLost = respond("HTTP/1.1 503 Service Unavailable\r\nT-Id: ID\r\nT-Not-Run: 1\r\nT-Fault: lost\r\nContent-Length: 0\r\n\r\n")

// Guards against requests to the ranks of a group that serves nothing, one after the other, and against callers refused although
// another group serves. Pattern: one of two groups has lost a rank.
func TestStreamsAvoidAFailedGroup(t *testing.T) {
	whole := respond(eventStream(1, 3) + lastChunk)
	a, b, c := newTestBackend(t, "a", respondRankLost), newTestBackend(t, "b", respondRankLost), newTestBackend(t, "c", whole)
	g := newGateway(t, a, b, c)
	g.setGroups(map[*testBackend]string{a: "g", b: "g", c: "h"})
	for range 10 {
		resp, _, err := g.get(t, "/stream/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.LessOrEqual(t, a.count()+b.count(), 1, "one refusal is enough")
	require.Equal(t, 10, c.count())
}

// Guards against callers that wait for a group which serves nothing, and against a refusal that says nothing of its end.
// Pattern: the only group has lost a rank.
func TestCallersOfAFailedGroupAreRefusedAtOnce(t *testing.T) {
	a, b := newTestBackend(t, "a", respondRankLost), newTestBackend(t, "b", respondRankLost)
	g := newGateway(t, a, b)
	g.setGroups(map[*testBackend]string{a: "g", b: "g"})
	for range 10 {
		resp, body, err := g.get(t, "/stream/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Contains(t, body, reasonNoGroup)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, 1.0, "no sooner than the group can be formed")
	}
	require.Equal(t, 1, a.count()+b.count())
}

// Guards against a stream that is lost with its group although it may go on elsewhere, and against events that come twice.
func TestResumableStreamContinuesInAnotherGroup(t *testing.T) {
	for name, first := range map[string]responder{"cut": respondAndClose(eventStream(1, 3)), "refused": respondRankLost} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestBackend(t, "a", first, respondRankLost), newTestBackend(t, "b", respond(eventStream(1, 6)+lastChunk))
			g := newGateway(t, a, b)
			g.setGroups(map[*testBackend]string{a: "g", b: "h"})
			resp, body, err := g.get(t, "/stream/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, eventsText(6), body)
		})
	}
}

// Guards against a stream that hangs on an instance which stands still until its caller gives up, and against comments that keep
// it looking alive. Pattern: the instance beside one rank freezes; the group goes on.
func TestStreamMovesFromASilentServer(t *testing.T) {
	comments := func(c net.Conn, r *http.Request) bool {
		respond(eventStream(1, 2))(c, r)
		for {
			if _, err := c.Write([]byte(chunk(": still here\n\n"))); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	a, b := newTestBackend(t, "a", comments), newTestBackend(t, "b", respond(eventStream(1, 4)+lastChunk))
	g := newGateway(t, a, b)
	g.setGroups(map[*testBackend]string{a: "g", b: "g"})
	for _, backend := range g.fleet.Backends("s") {
		if backend.Server().ID == "b" {
			backend.Begin(5000, time.Now())
		}
	}
	go g.RunHousekeeping(t.Context())
	resp, body, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, "data: x4")
	require.Equal(t, "2", b.firstRequest().Header.Get(testLastEventID))
}

// Guards against a caller that has come back and is taken for a new one.
func TestRetryingCallersAreRecognizedByTheirDeadline(t *testing.T) {
	g := newGateway(t)
	used := func(deadline time.Duration) time.Duration {
		c := &call{server: g.Server, route: &catalog.Route{Name: "r"}}
		c.meta.HasDeadline, c.meta.Deadline = deadline > 0, deadline
		return c.elapsedBefore()
	}
	require.Zero(t, used(8*time.Second))
	require.Zero(t, used(6800*time.Millisecond), "callers differ in their patience (seen: 0.85 to 1 of 8 s)")
	require.Equal(t, 2*time.Second, used(6*time.Second), "it was told to come back")
	require.Zero(t, used(0), "one that says nothing is new")
}

// Guards against urgent requests that wait at a server behind others: it is told the priority of the route, and that of the customer
// goes before it.
func TestPriorityIsForwardedToServers(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	urgent := 0
	g.doc.Version++
	g.doc.Routes[0].Priority, g.doc.Routes[0].Public = 3, false
	g.doc.Customers = []catalog.Customer{{Name: "plain"}, {Name: "urgent", Priority: &urgent}}
	g.doc.Keys = map[catalog.KeyHash]int{catalog.HashKey("p"): 0, catalog.HashKey("u"): 1}
	g.SetCatalog(catalog.New(g.doc))
	for key, want := range map[string]string{"p": "3", "u": "0"} {
		before := s.count()
		_, _, err := g.get(t, "/once/x", "T-Key", key)
		require.NoError(t, err)
		require.Equal(t, want, s.request(before).Header.Get(testPriority))
	}
}
