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
