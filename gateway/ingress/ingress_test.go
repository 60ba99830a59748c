package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// Guards against a request or an answer that is changed on the way.
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
	require.Empty(t, got.Header.Get("X-Hop"), "headers of one connection stay behind")
	require.Equal(t, "a", got.Header.Get(testServer))
}

// Guards against MIXED: answers that are not the server's, not to this request, or not whole must not look like successes;
// and against a second run of a request that may not be repeated.
func TestInvalidResponsesToNonIdempotentRequests(t *testing.T) {
	for name, invalid := range map[string]responder{
		"no signature":   respond("HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 1\r\n\r\nx"),
		"no id":          respond("HTTP/1.1 200 OK\r\nT-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
		"not http":       respondAndClose("nonsense that is no answer\r\n\r\n"),
		"cut body":       respondAndClose(signed + "Content-Length: 10\r\n\r\nabc"),
		"cut chunks":     respondAndClose(signed + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
		"closed":         respondAndClose(""),
		"encoded":        respond(signed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"),
		"another answer": respondAndClose("HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestBackend(t, "a", invalid), newTestBackend(t, "b", invalid)
			g := newGateway(t, a, b)
			resp, _, err := g.send(t, http.MethodPost, "/once/x", "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "502 promises nothing; the request may have run")
			require.Empty(t, resp.Header.Get(testSignature))
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// Guards against giving up an idempotent request because one server spoils its answer.
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
			for range 2 { // One of the two servers is asked first.
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

// Guards against BUDGET: more servers than the route allows, or repeated sends beyond the budget.
func TestAttemptsAreLimited(t *testing.T) {
	a, b, c := newTestBackend(t, "a", respondNotExecuted), newTestBackend(t, "b", respondNotExecuted), newTestBackend(t, "c", respondNotExecuted)
	g := newGateway(t, a, b, c)
	resp, _, err := g.get(t, "/idem/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no server has run it")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Equal(t, 2, a.count()+b.count()+c.count())
	g.budget.left.Store(0)
	_, _, err = g.get(t, "/idem/x")
	require.NoError(t, err)
	require.Equal(t, 3, a.count()+b.count()+c.count())
}

// Guards against REFUSED: a status that promises "not run" after a server may have run the request, also when the last
// server refused it.
func TestRefusalMeansNotExecuted(t *testing.T) {
	a, b := newTestBackend(t, "a", respondAndClose(""), respondNotExecuted), newTestBackend(t, "b", respondAndClose(""), respondNotExecuted)
	g := newGateway(t, a, b)
	resp, _, err := g.get(t, "/idem/x") // One server closes, the other one closes as well.
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	only := newTestBackend(t, "only", respondNotExecuted)
	g = newGateway(t, only)
	resp, _, err = g.send(t, http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

// Guards against MIXED: a late or extra answer at the point where the next one is expected.
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

// Guards against using a connection on which bytes follow a complete answer.
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

// Guards against a new connection for each request, and against one that outlives what the server announces.
func TestConnectionReuseFollowsResponseHeaders(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	for range 4 {
		_, _, err := g.get(t, "/once/x")
		require.NoError(t, err)
	}
	require.Equal(t, 1, s.connections())
	leaving := newTestBackend(t, "b", respond(signed+"Connection: close\r\nContent-Length: 1\r\n\r\nx"))
	short := newTestBackend(t, "c", respond(signed+"Keep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\nx"))
	for _, r := range []*testBackend{leaving, short} {
		g = newGateway(t, r)
		for range 2 {
			_, _, err := g.get(t, "/once/x")
			require.NoError(t, err)
		}
		require.Equal(t, 2, r.connections(), r.id)
	}
}

// Guards against UNASKED: a server that answers before it has read a long body finds other bytes where the rest is due.
func TestEarlyResponseToALargeBody(t *testing.T) {
	const size = 3 << 20
	body := strings.Repeat("b", size)
	got := make(chan string, 4)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	early := func(c net.Conn) {
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
				return // The gateway has closed the connection before all was sent.
			}
			got <- string(text)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go early(c)
		}
	}()
	g := newGateway(t, &testBackend{id: "a", listener: l})
	for range 3 {
		resp, text, err := g.send(t, http.MethodPost, "/once/x", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "no", text)
	}
	for len(got) > 0 {
		require.Equal(t, body, <-got, "a body that arrives is the request's own")
	}
}

// Guards against ORDER: a stream that goes on at another server has each event once, in order, and ends whole.
func TestStreamIsContinuedOnAnotherServer(t *testing.T) {
	for name, first := range map[string]responder{
		"cut between events":  respondAndClose(eventStream(1, 3)),
		"cut inside an event": respondAndClose(eventStream(1, 3) + chunk("id: 4\nda")),
		"end inside an event": respond(eventStream(1, 3) + chunk("id: 4\nda") + lastChunk),
		"an event is missing": respond(eventStream(1, 3) + chunk("id: 6\ndata: x6\n\n") + lastChunk),
	} {
		t.Run(name, func(t *testing.T) {
			// The second server repeats an event that the caller has.
			second := respond(eventStream(3, 6) + lastChunk)
			a, b := newTestBackend(t, "a", first), newTestBackend(t, "b", second)
			g := newGateway(t, a, b)
			// The first choice is the idle server with the lower score; the other one is loaded.
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

// Guards against MIXED: a stream that the caller resumes after its last event has no further one, and its answer still has
// the server's signature (seen on lumme-reititin-grown trouble-1).
func TestResumedStreamWithoutFurtherEvents(t *testing.T) {
	s := newTestBackend(t, "a", respond(eventStream(1, 0)+lastChunk))
	g := newGateway(t, s)
	resp, body, err := g.get(t, "/stream/x", testLastEventID, "9")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(testSignature))
	require.Empty(t, body)
}

// Guards against a stream that looks complete although it broke off, where it must not be run again.
func TestBrokenStreamIsNotCompleted(t *testing.T) {
	a, b := newTestBackend(t, "a", respondAndClose(eventStream(1, 3))), newTestBackend(t, "b", respondAndClose(eventStream(1, 3)))
	g := newGateway(t, a, b)
	resp, body, err := g.get(t, "/fixed/x")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Error(t, err, "the caller sees that the answer is not whole")
	require.Contains(t, body, "x3")
	require.Equal(t, 1, a.count()+b.count())
}

// Guards against a stream that is continued with the headers or the body of a failure.
func TestErrorResponseDoesNotContinueAStream(t *testing.T) {
	failure := respond("HTTP/1.1 500 Internal Server Error\r\nT-Id: ID\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\noops")
	a, b := newTestBackend(t, "a", respondAndClose(eventStream(1, 2)), failure), newTestBackend(t, "b", respondAndClose(eventStream(1, 2)), failure)
	g := newGateway(t, a, b)
	_, body, err := g.get(t, "/stream/x")
	require.Error(t, err)
	require.NotContains(t, body, "oops")
}

// Guards against GONE: a server that works on for a caller that has left.
func TestServerRequestIsCanceledWhenTheCallerLeaves(t *testing.T) {
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
			ctx, leave := context.WithCancel(t.Context())
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
			leave()
			<-reached
			require.Equal(t, 1, s.count(), "nothing is sent again")
		})
	}
}

// Guards against BUDGET and CONFIG: a server gets the time that is left, and the caller a final answer when it is over.
func TestDeadlineIsForwardedAndEnforced(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	s := newTestBackend(t, "a", silent)
	g := newGateway(t, s)
	resp, _, err := g.send(t, http.MethodPost, "/once/x", "", testDeadline, "150")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, "the request may have run")
	left, err := strconv.Atoi(s.firstRequest().Header.Get(testDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 150)
	resp, _, err = g.send(t, http.MethodPost, "/once/x", "", testDeadline, "0")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "nothing was sent")
	require.Equal(t, 1, s.count())
}

// Guards against DENIED and ROUTE: wrong answers to callers without a key or a route, and before the first configuration.
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
	require.Empty(t, s.firstRequest().Header.Get("T-Key"), "the key stays here")
	require.Equal(t, http.StatusOK, status("/idem/x", "wrong"), "a public route needs no key")
	old := doc
	old.Version = 1
	require.False(t, g.SetCatalog(catalog.New(old)), "a configuration never goes back")
	empty := New(g.opts)
	require.False(t, empty.Ready())
	g.catalog.Store(nil)
	require.Equal(t, http.StatusServiceUnavailable, status("/once/x", "k"))
}

// Guards against LOST: a stopping process that takes a stream which it cannot finish (a request 5.2 s after SIGTERM was
// cut on a hunted day), or that turns away what it can still serve.
func TestStoppingGatewayAcceptsWhatItCanFinish(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	require.True(t, g.Ready())
	now := time.Now()
	g.Drain(now.Add(time.Hour), now.Add(2*time.Hour))
	require.False(t, g.Ready())
	resp, _, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the caller is told to use another connection")
	g.Drain(now.Add(-time.Second), now.Add(3*time.Second))
	resp, _, err = g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	resp, _, err = g.get(t, "/once/x", testDeadline, "1000")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 2, s.count())
}

// stall writes the events and then nothing until the connection ends.
func respondAndStall(text string) responder {
	return func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// Guards against streams that stay at a rank which has turned slow and hold up all streams of its group until they end
// (seen on ppsc-ga trouble-2: passes of 0.7 s for 6 s after no new request went there).
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
	require.EqualValues(t, 99, g.budget.left.Load(), "the budget counts the second send once")
}

// Guards against a stream that is broken off for good because its server turned slow: one that must not be resumed, or for
// which the budget has no second send, stays.
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
		g.budget.left.Store(budget)
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
