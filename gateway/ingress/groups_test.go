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

// respondRankLost is the refusal of a rank whose group has lost another rank.
var respondRankLost = respond("HTTP/1.1 503 Service Unavailable\r\nT-Id: ID\r\nT-Not-Run: 1\r\nT-Fault: lost\r\nContent-Length: 0\r\n\r\n")

// Guards against trying each rank in turn of a group that does not serve, and against refusing callers although another
// group serves. This occurs when one of two groups has lost a rank.
func TestStreamsAvoidAFailedGroup(t *testing.T) {
	complete := respond(eventStream(1, 3) + lastChunk)
	a, b, c := newTestBackend(t, "a", respondRankLost), newTestBackend(t, "b", respondRankLost), newTestBackend(t, "c", complete)
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

// Guards against callers that wait for a group that does not serve, and against a Retry-After so early that callers, who
// retry once, are refused again because the group has just been formed. This occurs when the only group has lost a rank.
func TestCallersOfAFailedGroupAreRefusedImmediately(t *testing.T) {
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
		require.GreaterOrEqual(t, after, 1.0, "not before the group can be formed again")
		const allowed = 5 * maxRetryAfterFraction // The route's timeout is 5 s.
		require.Greater(t, after, 0.75*allowed, "late in the time that the caller allows")
		require.LessOrEqual(t, after, allowed)
	}
	require.Equal(t, 1, a.count()+b.count())
}

// Guards against aborting a stream whose group has failed although the stream can continue in another group, and
// against duplicate events.
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

// Guards against a stream that stays on a frozen instance until its caller abandons it, and against comments that count
// as activity. This occurs when the instance of one rank freezes while the group continues.
func TestStreamMovesFromASilentServer(t *testing.T) {
	sendComments := func(c net.Conn, r *http.Request) bool {
		respond(eventStream(1, 2))(c, r)
		for {
			if _, err := c.Write([]byte(chunk(": still here\n\n"))); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	a, b := newTestBackend(t, "a", sendComments), newTestBackend(t, "b", respond(eventStream(1, 4)+lastChunk))
	g := newGateway(t, a, b)
	g.setGroups(map[*testBackend]string{a: "g", b: "g"})
	g.preferServer("a")
	go g.RunHousekeeping(t.Context())
	resp, body, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, "data: x4")
	require.Equal(t, "2", b.firstRequest().Header.Get(testLastEventID))
}

// Guards against treating the retry of a refused caller as a first attempt.
func TestRetryingCallersAreRecognizedByTheirTimeout(t *testing.T) {
	g := newGateway(t)
	elapsed := func(timeout time.Duration) time.Duration {
		c := &call{server: g.Server, route: &catalog.Route{Name: "r"}}
		c.meta.HasTimeout, c.meta.Timeout = timeout > 0, timeout
		return c.elapsedBefore()
	}
	require.Zero(t, elapsed(8*time.Second))
	require.Zero(t, elapsed(6800*time.Millisecond), "first attempts use different timeouts (observed: 0.85 to 1 of 8 s)")
	require.Equal(t, 2*time.Second, elapsed(6*time.Second), "a retry has the rest of its first timeout")
	require.Zero(t, elapsed(0), "a caller without a timeout counts as new")
}

// Guards against urgent requests that wait at a server behind less urgent ones. The server receives the priority of the
// route, or that of the customer if it has one.
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
