package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

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
				g.preferServer("a")
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
