package ingress

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const notExecutedHead = "HTTP/1.1 503 Service Unavailable\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n"

// Guards against sending requests of any kind to a server before the Retry-After of its refusal has passed, and against
// callers that are kept waiting or receive a shorter Retry-After.
func TestServerGetsNoRequestsBeforeItsRetryAfter(t *testing.T) {
	for _, path := range []string{"/once/x", "/idem/x", "/stream/x", "/fixed/x"} {
		t.Run(path, func(t *testing.T) {
			s := newTestBackend(t, "a", respond(notExecutedHead+"T-Retry-After: 30\r\n\r\n"))
			g := newGateway(t, s)
			for range 5 {
				resp, body, err := g.get(t, path, testDeadline, "4000")
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Contains(t, body, `"executed":"no"`)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, 29.0, "a caller that retries sooner is refused again")
			}
			require.Equal(t, 1, s.count())
		})
	}
}

// Guards against a suspension of one server that prevents requests to another one, or that does not expire.
func TestOtherServersServeDuringASuspension(t *testing.T) {
	suspended := newTestBackend(t, "a", respond(notExecutedHead+"T-Retry-After: 0.4\r\n\r\n"), respondOK("back"))
	other := newTestBackend(t, "b", respondOK("other"))
	g := newGateway(t, suspended, other)
	for range 6 {
		_, body, err := g.get(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, "other", body)
	}
	require.Equal(t, 1, suspended.count())
	require.Eventually(t, func() bool {
		_, body, err := g.get(t, "/once/x")
		return err == nil && body == "back"
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against forwarding the requests of concurrent callers to a server that is at capacity and has refused
// a request with a Retry-After.
func TestConcurrentCallersDoNotReachASuspendedServer(t *testing.T) {
	s := newTestBackend(t, "a", respond(notExecutedHead+"T-Retry-After: 30\r\n\r\n"))
	g := newGateway(t, s)
	_, _, err := g.get(t, "/once/x")
	require.NoError(t, err)
	var callers sync.WaitGroup
	for range 30 {
		callers.Go(func() { _, _, _ = g.get(t, "/idem/x") })
	}
	callers.Wait()
	require.Equal(t, 1, s.count())
}

// Guards against new requests to a server that has announced in a response that it is leaving, even while the list of
// servers still includes it. Its running streams continue.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	const leaving = "T-Leaving: 1\r\n"
	for name, first := range map[string]responder{
		"success": respond(signed + leaving + "Content-Length: 2\r\n\r\nok"),
		"refusal": respond(notExecutedHead + leaving + "\r\n"),
		"failure": respond("HTTP/1.1 500 Internal Server Error\r\nT-Id: ID\r\n" + leaving + "Content-Length: 0\r\n\r\n"),
		"stream": respond(signed + leaving + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			chunk("id: 1\ndata: x1\n\n") + lastChunk),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestBackend(t, "a", first, respondOK("again"))
			g := newGateway(t, s)
			path := "/once/x"
			if name == "stream" {
				path = "/fixed/x"
			}
			_, _, err := g.get(t, path)
			require.NoError(t, err)
			resp, _, err := g.get(t, path)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, 1, s.count())
		})
	}
}

// Guards against applying the announcements of another server at the same address to the listed server.
func TestStateOfAnotherServerAtTheAddressIsIgnored(t *testing.T) {
	misdirected := respond("HTTP/1.1 421 Misdirected Request\r\nT-Id: ID\r\nT-Leaving: 1\r\nT-Retry-After: 30\r\nContent-Length: 0\r\n\r\n")
	s := newTestBackend(t, "a", misdirected, respondOK("it is back"))
	g := newGateway(t, s)
	_, _, err := g.get(t, "/once/x")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, body, err := g.get(t, "/once/x")
		return err == nil && body == "it is back"
	}, 10*time.Second, 50*time.Millisecond)
}
