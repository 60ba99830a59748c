package callers

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testServer is an HTTP server on loopback that counts the requests whose handling has started.
type testServer struct {
	tracker *Tracker
	address string
	started atomic.Int64
}

func startTestServer(t testing.TB, handle func()) *testServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{tracker: NewTracker(Options{}), address: l.Addr().String()}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.started.Add(1)
		handle()
		w.WriteHeader(http.StatusOK)
	})}
	s.tracker.Attach(srv)
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(s.tracker.Wrap(l)) }()
	return s
}

func (s *testServer) dial(t testing.TB) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

const (
	// waitTimeout bounds the wait for a condition, pollInterval is the interval between two checks.
	waitTimeout  = 10 * time.Second
	pollInterval = time.Millisecond
)

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against losing a response during a planned stop: a request that has just been read is forwarded while its
// connection is closed as idle. It happens when callers send on keep-alive connections just as the process closes them
// (seen in a run with randomly mixed faults, seed 434082203366).
func TestNoRequestIsServedOnAClosedConnection(t *testing.T) {
	const callers, rounds = 8, 40
	for range rounds {
		s := startTestServer(t, func() {})
		var responses atomic.Int64
		var callersDone sync.WaitGroup
		for range callers {
			c := s.dial(t)
			callersDone.Go(func() {
				br := bufio.NewReader(c)
				for {
					if _, err := c.Write([]byte(plainRequest)); err != nil {
						return
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						return
					}
					resp.Body.Close()
					responses.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return responses.Load() >= 5*callers }, waitTimeout, pollInterval)
		s.tracker.CloseIdle()
		callersDone.Wait()
		require.Equal(t, s.started.Load(), responses.Load())
	}
}

// Guards against a stop that does not wait for a request that has only partially arrived.
func TestStopWaitsForPartiallyReadRequest(t *testing.T) {
	release := make(chan struct{})
	s := startTestServer(t, func() { <-release })
	c := s.dial(t)
	_, err := c.Write([]byte(plainRequest[:10]))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.tracker.BusyCount() == 1 }, waitTimeout, pollInterval)
	s.tracker.CloseIdle()
	require.Equal(t, 1, s.tracker.BusyCount())
	_, err = c.Write([]byte(plainRequest[10:]))
	require.NoError(t, err)
	close(release)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	resp.Body.Close()
	_, err = br.ReadByte()
	require.Error(t, err, "the connection is closed after the response")
	require.Eventually(t, func() bool { return s.tracker.BusyCount() == 0 }, waitTimeout, pollInterval)
}

// Guards against a planned stop that fails because the listener, which StopAccepting has closed, is closed again.
func TestListenerIsClosedOnce(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tracker := NewTracker(Options{MaxConnections: 2})
	l := tracker.Wrap(inner)
	tracker.StopAccepting()
	require.NoError(t, l.Close())
	require.NoError(t, l.Close())
}
