package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// Guards against modifying a request or a response.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	s := newTestBackend(t, "a", respond(signed+"X-Own: 1\r\nContent-Length: 3\r\n\r\nyes"))
	g := newGateway(t, s)
	resp, body, err := g.send(t, http.MethodPost, "/once/a%2Fb/../c?x=%20y", "payload", "X-Any", "v", "Connection", "X-Hop", "X-Hop", "1")
	require.NoError(t, err)
	require.Equal(t, "yes", body)
	require.Equal(t, "1", resp.Header.Get("X-Own"))
	require.Equal(t, "s", resp.Header.Get(testSignature))
	got := s.firstRequest()
	require.Equal(t, "/once/a%2Fb/../c?x=%20y", got.RequestURI)
	require.Equal(t, "payload", s.bodies[0])
	require.Equal(t, "v", got.Header.Get("X-Any"))
	require.Empty(t, got.Header.Get("X-Hop"), "hop-by-hop headers are not forwarded")
	require.Equal(t, "a", got.Header.Get(testServer))
}

// Guards against relaying a response as a success that is not from the server, not for this request or not complete,
// and against executing a request twice that is not idempotent.
func TestInvalidResponsesToNonIdempotentRequests(t *testing.T) {
	for name, invalid := range map[string]responder{
		"no signature":    respond("HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 1\r\n\r\nx"),
		"no id":           respond("HTTP/1.1 200 OK\r\nT-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
		"not http":        respondAndClose("nonsense that is no answer\r\n\r\n"),
		"cut body":        respondAndClose(signed + "Content-Length: 10\r\n\r\nabc"),
		"cut chunks":      respondAndClose(signed + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
		"closed":          respondAndClose(""),
		"encoded":         respond(signed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"),
		"another request": respondAndClose("HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestBackend(t, "a", invalid), newTestBackend(t, "b", invalid)
			g := newGateway(t, a, b)
			resp, _, err := g.send(t, http.MethodPost, "/once/x", "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "502 does not rule out that the request was executed")
			require.Empty(t, resp.Header.Get(testSignature))
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// Guards against failing an idempotent request because of an invalid response from one server.
func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, invalid := range map[string]responder{
		"cut body": respondAndClose(signed + "Content-Length: 10\r\n\r\nabc"),
		"closed":   respondAndClose(""),
		"failure":  respond("HTTP/1.1 500 Internal Server Error\r\nT-Id: ID\r\nT-Seal: s\r\nContent-Length: 0\r\n\r\n"),
		"not run":  respondNotExecuted,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestBackend(t, "a", invalid, respondOK("fine")), newTestBackend(t, "b", invalid, respondOK("fine"))
			g := newGateway(t, a, b)
			for range 2 { // One of the two servers gets the first attempt.
				_, _, err := g.get(t, "/idem/x")
				require.NoError(t, err)
			}
			resp, body, err := g.get(t, "/idem/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "fine", body)
		})
	}
}

// Guards against more attempts than the route or the retry budget allows.
func TestAttemptsAreLimited(t *testing.T) {
	a, b, c := newTestBackend(t, "a", respondNotExecuted), newTestBackend(t, "b", respondNotExecuted), newTestBackend(t, "c", respondNotExecuted)
	g := newGateway(t, a, b, c)
	resp, _, err := g.get(t, "/idem/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no server has executed it")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Equal(t, 2, a.count()+b.count()+c.count())
	g.budget.remaining.Store(0)
	_, _, err = g.get(t, "/idem/x")
	require.NoError(t, err)
	require.Equal(t, 3, a.count()+b.count()+c.count())
}

// Guards against a status that guarantees that the request was not executed although a server may have executed it,
// also if the last server refused it.
func TestRefusalMeansNotExecuted(t *testing.T) {
	a, b := newTestBackend(t, "a", respondAndClose(""), respondNotExecuted), newTestBackend(t, "b", respondAndClose(""), respondNotExecuted)
	g := newGateway(t, a, b)
	resp, _, err := g.get(t, "/idem/x") // Both servers close the connection.
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	only := newTestBackend(t, "only", respondNotExecuted)
	g = newGateway(t, only)
	resp, _, err = g.send(t, http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

// Guards against taking a late or extra response on a connection for the response to the next request.
func TestResponsesToOlderRequestsAreSkipped(t *testing.T) {
	stale := "HTTP/1.1 200 OK\r\nT-Id: older\r\nT-Seal: s\r\nContent-Length: 3\r\n\r\nold"
	s := newTestBackend(t, "a", func(c net.Conn, r *http.Request) bool {
		return respond(stale)(c, r) && respondOK("mine")(c, r)
	})
	g := newGateway(t, s)
	for range 3 {
		resp, body, err := g.send(t, http.MethodPost, "/once/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "mine", body)
	}
}

// Guards against reusing a connection on which bytes follow a complete response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	s := newTestBackend(t, "a", respond(signed+"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: s\r\n\r\n"))
	g := newGateway(t, s)
	for range 3 {
		_, body, err := g.send(t, http.MethodPost, "/once/x", "")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, 3, s.connections())
}

// Guards against opening a connection for each request, and against reusing one longer than the server announces.
func TestConnectionReuseFollowsResponseHeaders(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	for range 4 {
		_, _, err := g.get(t, "/once/x")
		require.NoError(t, err)
	}
	require.Equal(t, 1, s.connections())
	closing := newTestBackend(t, "b", respond(signed+"Connection: close\r\nContent-Length: 1\r\n\r\nx"))
	noKeepAlive := newTestBackend(t, "c", respond(signed+"Keep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\nx"))
	for _, r := range []*testBackend{closing, noKeepAlive} {
		g = newGateway(t, r)
		for range 2 {
			_, _, err := g.get(t, "/once/x")
			require.NoError(t, err)
		}
		require.Equal(t, 2, r.connections(), r.id)
	}
}

// Guards against sending another request in place of the rest of a large body to a server that responds before it has
// read all of it.
func TestEarlyResponseToALargeBody(t *testing.T) {
	const size = 3 << 20
	body := strings.Repeat("b", size)
	bodies := make(chan string, 4)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	respondEarly := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(signed+"Content-Length: 2\r\n\r\nno")(c, r)
			text, err := io.ReadAll(r.Body)
			if err != nil {
				return // The gateway closed the connection before it sent the whole body.
			}
			bodies <- string(text)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondEarly(c)
		}
	}()
	g := newGateway(t, &testBackend{id: "a", listener: l})
	for range 3 {
		resp, text, err := g.send(t, http.MethodPost, "/once/x", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "no", text)
	}
	for len(bodies) > 0 {
		require.Equal(t, body, <-bodies, "a complete body must be that of the request")
	}
}

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
			// Load on b makes the gateway choose a first.
			for _, backend := range g.fleet.Backends("s") {
				if backend.Server().ID == "b" {
					backend.Begin(5000, time.Now())
				}
			}
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
			g.fleet.Backends("s")[1].Begin(5000, time.Now()) // The first server is the better choice.
			resp, body, err := g.get(t, "/stream/x")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Error(t, err, "the stream must not look complete")
			require.Equal(t, eventsText(2), body)
		})
	}
}

// Guards against a refusal that belongs to an earlier request on a connection in use again. The caller would be told that
// its request was not run although the server is running it, or the request would run at a second server.
func TestRepeatedRefusalIsNotTakenForThatOfTheNextRequest(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n"
	for name, id := range map[string]string{"with its id": "T-Id: earlier\r\n", "without an id": ""} {
		for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "408 Request Timeout"} {
			t.Run(name+" "+status, func(t *testing.T) {
				repeated := strings.Replace(refusal, "503 Service Unavailable", status, 1) + id + "\r\n"
				var runs atomic.Int64
				serve := func(c net.Conn, r *http.Request) bool {
					if runs.Add(1) == 1 {
						return respondOK("first")(c, r)
					}
					return respond(repeated)(c, r) && respondOK("mine")(c, r)
				}
				g := newGateway(t, newTestBackend(t, "a", serve), newTestBackend(t, "b", serve))
				g.fleet.Backends("s")[1].Begin(5000, time.Now()) // The first server is the better choice.
				_, body, err := g.send(t, http.MethodPost, "/once/x", "")
				require.NoError(t, err)
				require.Equal(t, "first", body)
				resp, body, err := g.send(t, http.MethodPost, "/once/x", "")
				require.NoError(t, err)
				require.EqualValues(t, 2, runs.Load(), "the request runs once")
				if resp.StatusCode == http.StatusOK {
					require.Equal(t, "mine", body)
					return
				}
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the request has run, so that no refusal is true")
			})
		}
	}
}

// Guards against a server that continues to process a request whose caller has disconnected.
func TestServerRequestIsCanceledWhenTheCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/idem/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			reached := make(chan struct{}, 4)
			s := newTestBackend(t, "a", func(c net.Conn, r *http.Request) bool {
				if strings.Contains(r.URL.Path, "stream") {
					respond(eventStream(1, 1))(c, r)
				}
				reached <- struct{}{}
				_, _ = c.Read(make([]byte, 1)) // Ends when the gateway closes the connection.
				reached <- struct{}{}
				return false
			})
			g := newGateway(t, s)
			ctx, disconnect := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, strings.NewReader("body"))
			require.NoError(t, err)
			req.Host = "h"
			req.Header.Set(testID, "leaver")
			go func() {
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			<-reached
			disconnect()
			<-reached
			require.Equal(t, 1, s.count(), "the request must not be sent again")
		})
	}
}

// Guards against forwarding a deadline longer than the remaining time, and against a caller that receives no response
// at its deadline.
func TestDeadlineIsForwardedAndEnforced(t *testing.T) {
	neverRespond := func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	s := newTestBackend(t, "a", neverRespond)
	g := newGateway(t, s)
	resp, _, err := g.send(t, http.MethodPost, "/once/x", "", testDeadline, "150")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, "the request may have been executed")
	remaining, err := strconv.Atoi(s.firstRequest().Header.Get(testDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, remaining, 150)
	resp, _, err = g.send(t, http.MethodPost, "/once/x", "", testDeadline, "0")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "nothing was sent")
	require.Equal(t, 1, s.count())
}

// Guards against wrong responses to callers without a valid key or a route, or before the first configuration.
func TestRoutesAndKeys(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	status := func(path, key string) int {
		resp, _, err := g.get(t, path, "T-Key", key, testCustomer, "forged")
		require.NoError(t, err)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusNotFound, status("/none/x", ""))
	doc := g.Catalog().Document
	doc.Version, doc.Routes = 2, append([]catalog.Route(nil), doc.Routes...)
	doc.Routes[0].Public = false
	doc.Customers = []catalog.Customer{{Name: "c1"}}
	doc.Keys = map[catalog.KeyHash]int{catalog.HashKey("k"): 0}
	require.True(t, g.SetCatalog(catalog.New(doc)))
	require.Equal(t, http.StatusUnauthorized, status("/once/x", "wrong"))
	require.Equal(t, http.StatusOK, status("/once/x", "k"))
	require.Equal(t, "c1", s.firstRequest().Header.Get(testCustomer))
	require.Empty(t, s.firstRequest().Header.Get("T-Key"), "the key must not be forwarded")
	require.Equal(t, http.StatusOK, status("/idem/x", "wrong"), "a public route needs no key")
	doc.Version, doc.Customers, doc.Keys = 3, nil, nil
	require.True(t, g.SetCatalog(catalog.New(doc)))
	require.Equal(t, http.StatusUnauthorized, status("/once/x", "k"), "the last customer is gone")
	require.Equal(t, http.StatusUnauthorized, status("/once/x", ""))
	require.Equal(t, http.StatusOK, status("/idem/x", ""))
	doc.Version, doc.AnonymousAccess = 4, true
	require.True(t, g.SetCatalog(catalog.New(doc)))
	require.Equal(t, http.StatusOK, status("/once/x", ""))
	require.Empty(t, s.request(s.count()-1).Header.Get(testCustomer), "the caller's own word for its customer must not be forwarded")
	old := doc
	old.Version = 1
	require.False(t, g.SetCatalog(catalog.New(old)), "an older configuration must not replace a newer one")
	empty := New(g.opts)
	require.False(t, empty.Ready())
	g.catalog.Store(nil)
	require.Equal(t, http.StatusServiceUnavailable, status("/once/x", "k"))
}

// Guards against a stopping gateway that accepts a stream that it cannot finish, or refuses a request that it can. In
// one run, a request that arrived 5.2 s after SIGTERM was aborted.
func TestStoppingGatewayAcceptsWhatItCanFinish(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	require.True(t, g.Ready())
	now := time.Now()
	g.Drain(now.Add(time.Hour), now.Add(2*time.Hour), now.Add(2*time.Hour))
	require.False(t, g.Ready())
	resp, _, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the response must announce that the connection will be closed")
	g.Drain(now.Add(-time.Second), now.Add(3*time.Second), now.Add(3*time.Second))
	resp, _, err = g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	resp, _, err = g.get(t, "/once/x", testDeadline, "1000")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 2, s.count())
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
