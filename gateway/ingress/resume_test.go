package ingress

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against missing, duplicate or reordered events in a stream that continues on another server.
func TestStreamIsContinuedOnAnotherServer(t *testing.T) {
	for name, first := range map[string]responder{
		"cut between events":   respondAndClose(eventStream(1, 3)),
		"cut inside an event":  respondAndClose(eventStream(1, 3) + chunk("id: 4\nda")),
		"end inside an event":  respond(eventStream(1, 3) + chunk("id: 4\nda") + lastChunk),
		"an event is repeated": respondAndClose(eventStream(1, 3) + chunk("id: 2\ndata: x2\n\n")),
	} {
		t.Run(name, func(t *testing.T) {
			// The second server repeats an event that the caller has already received.
			second := respond(eventStream(3, 6) + lastChunk)
			a, b := newTestBackend(t, "a", first), newTestBackend(t, "b", second)
			g := newGateway(t, a, b)
			g.preferServer("a")
			resp, body, err := g.get(t, "/stream/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, eventsText(6), body)
			require.Equal(t, "3", b.firstRequest().Header.Get(testLastEventID))
		})
	}
}

// Guards against a response without the server's signature if the caller resumes a stream after its last event, so that
// no event follows.
func TestResumedStreamWithoutFurtherEvents(t *testing.T) {
	s := newTestBackend(t, "a", respond(eventStream(1, 0)+lastChunk))
	g := newGateway(t, s)
	resp, body, err := g.get(t, "/stream/x", testLastEventID, "9")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(testSignature))
	require.Empty(t, body)
}

// Guards against ending an interrupted stream as if it were complete when it must not be executed again.
func TestBrokenStreamIsNotCompleted(t *testing.T) {
	a, b := newTestBackend(t, "a", respondAndClose(eventStream(1, 3))), newTestBackend(t, "b", respondAndClose(eventStream(1, 3)))
	g := newGateway(t, a, b)
	resp, body, err := g.get(t, "/fixed/x")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Error(t, err, "the caller must see that the response is incomplete")
	require.Contains(t, body, "x3")
	require.Equal(t, 1, a.count()+b.count())
}

// Guards against continuing a stream with the headers or the body of an error response.
func TestErrorResponseDoesNotContinueAStream(t *testing.T) {
	failure := respond("HTTP/1.1 500 Internal Server Error\r\nT-Id: ID\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\noops")
	a, b := newTestBackend(t, "a", respondAndClose(eventStream(1, 2)), failure), newTestBackend(t, "b", respondAndClose(eventStream(1, 2)), failure)
	g := newGateway(t, a, b)
	_, body, err := g.get(t, "/stream/x")
	require.Error(t, err)
	require.NotContains(t, body, "oops")
}

// Guards against the text or the head of a failure in the middle of a stream that has begun, and against ending such a
// stream as if it were complete.
func TestFailureOfTheNextServerDoesNotReachAStreamThatHasBegun(t *testing.T) {
	head := func(status, contentType string) string {
		return "HTTP/1.1 " + status + "\r\nT-Id: ID\r\nT-Seal: s\r\nContent-Type: " + contentType + "\r\n"
	}
	for name, failure := range map[string]string{
		"text":               head("500 Oops", "text/plain") + "Content-Length: 4\r\n\r\noops",
		"events":             head("500 Oops", "text/event-stream") + "Content-Length: 18\r\n\r\nid: 3\ndata: oops\n\n",
		"until the end":      head("502 Oops", "text/event-stream") + "\r\nid: 3\ndata: oops\n\n",
		"success of no kind": head("200 OK", "application/json") + "Content-Length: 4\r\n\r\noops",
		"empty success":      head("200 OK", "application/json") + "Content-Length: 0\r\n\r\n",
		"no content":         head("204 No Content", "text/event-stream") + "\r\n",
		"refusal":            head("503 Busy", "text/event-stream") + "T-Not-Run: 1\r\nContent-Length: 4\r\n\r\noops",
		"another id":         strings.ReplaceAll(head("500 Oops", "text/plain"), "ID", "older") + "Content-Length: 4\r\n\r\noops",
		"two failures":       strings.Repeat(head("500 Oops", "text/plain")+"Content-Length: 4\r\n\r\noops", 2),
		"no answer":          "oops oops\r\n\r\n",
		"unframed, no event": head("200 OK", "text/event-stream") + "\r\n",
		"unframed, cut":      head("200 OK", "text/event-stream") + "\r\nid: 3\ndata: oops",
	} {
		t.Run(name, func(t *testing.T) {
			begin, next := respondAndClose(eventStream(1, 2)), respondAndClose(failure)
			g := newGateway(t, newTestBackend(t, "a", begin, next), newTestBackend(t, "b", next, next))
			g.preferServer("a")
			resp, body, err := g.get(t, "/stream/x")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Error(t, err, "the stream must not look complete")
			require.Equal(t, eventsText(2), body)
		})
	}
}

// respondAndStall writes text and then nothing until the connection is closed.
func respondAndStall(text string) responder {
	return func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// Guards against streams that stay on a slow rank and slow down all streams of its group until they end. In one run,
// forward passes took 0.7 s for 6 s after the last new request to the rank.
func TestStreamMovesFromASlowServer(t *testing.T) {
	slow := newTestBackend(t, "slow", respondAndStall(eventStream(1, 2)))
	healthy := newTestBackend(t, "well", respond(eventStream(3, 4)+lastChunk))
	g := newGateway(t, slow, healthy)
	time.AfterFunc(200*time.Millisecond, func() {
		g.fleet.SetPaces("s", map[string]float64{slow.listener.Addr().String(): 12})
	})
	resp, text, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n", text)
	require.Equal(t, "2", healthy.firstRequest().Header.Get(testLastEventID))
	require.EqualValues(t, 99, g.budget.remaining.Load(), "the retry budget must count the second attempt once")
}

// Guards against aborting a stream because its server became slow, if the stream is not resumable or the retry budget
// allows no second attempt.
func TestStreamThatCannotMoveStays(t *testing.T) {
	for path, budget := range map[string]int64{"/fixed/x": 100, "/stream/x": 0} {
		release := make(chan struct{})
		slow := newTestBackend(t, "slow", func(c net.Conn, r *http.Request) bool {
			respond(eventStream(1, 2))(c, r)
			<-release
			return respond(chunk("id: 3\ndata: x3\n\n")+lastChunk)(c, r)
		})
		healthy := newTestBackend(t, "well", respond(eventStream(3, 3)+lastChunk))
		g := newGateway(t, slow, healthy)
		g.budget.remaining.Store(budget)
		time.AfterFunc(100*time.Millisecond, func() {
			g.fleet.SetPaces("s", map[string]float64{slow.listener.Addr().String(): 12})
			time.AfterFunc(100*time.Millisecond, func() { close(release) })
		})
		_, text, err := g.get(t, path)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n", text)
		require.Zero(t, healthy.count(), path)
	}
}
