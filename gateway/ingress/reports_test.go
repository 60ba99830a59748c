package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Tests of what operators of similar systems have reported.

// Guards against a request that is passed on late in a planned stop, here because its body arrives slowly, and cut without
// a response when the process ends. It may not be repeated.
func TestRequestThatArrivesWholeLateInAStopIsRefused(t *testing.T) {
	s := newTestBackend(t, "a", respondOK("x"))
	g := newGateway(t, s)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: late\r\nContent-Length: 5\r\n\r\nhe", testID)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.InFlight() == 1 }, time.Minute, time.Millisecond)
	now := time.Now()
	g.Drain(now, now.Add(4*time.Second)) // The route's timeout ends after that.
	_, err = conn.Write([]byte("llo"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.count())
}

// Guards against connections that are closed without a response at the end of a planned stop.
func TestRequestsAtTheEndOfAStopGetAResponse(t *testing.T) {
	reached := make(chan struct{}, 1)
	s := newTestBackend(t, "a", func(c net.Conn, _ *http.Request) bool {
		reached <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	g := newGateway(t, s)
	statuses := make(chan int, 1)
	go func() {
		resp, _, _ := g.get(t, "/once/x")
		statuses <- resp.StatusCode
	}()
	<-reached
	now := time.Now()
	g.Drain(now.Add(time.Hour), now.Add(10*time.Millisecond))
	require.Equal(t, http.StatusGatewayTimeout, <-statuses, "the request may have run")
	resp, _, err := g.get(t, "/once/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "this one has not")
	require.Equal(t, 1, s.count())
}
