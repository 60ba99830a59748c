package gatewayd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/telemetry"
)

const (
	// drainTestTimeout bounds the wait for an expected state.
	drainTestTimeout = 20 * time.Second
	// lateServiceTime is how long the backend server needs for the late request. It is above listenerShutdownTimeout and
	// far below the time that is left of the drain.
	lateServiceTime = time.Second
	// hookTimeout bounds the wait of a hook for what becomes of the late request.
	hookTimeout = 5 * time.Second
)

// watchedListener counts the accepted connections on which the HTTP server waits for a request, and closes all of them
// as the end of a process does.
type watchedListener struct {
	net.Listener
	// onClose runs just before the listener is closed for the first time.
	onClose func()

	mu       sync.Mutex
	accepted []net.Conn
	awaited  map[net.Conn]bool
	closed   sync.Once
}

func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, c)
	return &watchedConn{Conn: c, listener: l}, nil
}

func (l *watchedListener) Close() error {
	l.closed.Do(l.onClose)
	return l.Listener.Close()
}

func (l *watchedListener) awaitedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.awaited)
}

func (l *watchedListener) closeAccepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		c.Close()
	}
}

type watchedConn struct {
	net.Conn
	listener *watchedListener
}

func (c *watchedConn) Read(p []byte) (int, error) {
	c.listener.mu.Lock()
	c.listener.awaited[c] = true
	c.listener.mu.Unlock()
	return c.Conn.Read(p)
}

// drainTest is a gateway with one backend server, and its callers.
type drainTest struct {
	t        *testing.T
	gateway  *gateway
	listener *watchedListener
	// heldStarted and lateStarted are closed when the backend server has received the request to /held and /late. The
	// former ends when release is closed.
	heldStarted, lateStarted, release chan struct{}
}

func newDrainTest(t *testing.T) *drainTest {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &drainTest{
		t: t, gateway: newTestGateway(t, "127.0.0.1:1"),
		listener:    &watchedListener{Listener: inner, awaited: map[net.Conn]bool{}, onClose: func() {}},
		heldStarted: make(chan struct{}), lateStarted: make(chan struct{}), release: make(chan struct{}),
	}
	backend := httptest.NewServer(http.HandlerFunc(d.serveBackend))
	t.Cleanup(backend.Close)
	d.gateway.srv.SetCatalog(catalog.New(catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Once, Timeout: time.Minute, MaxAttempts: 1, Public: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}},
	}))
	d.gateway.onServersChange(serversSnapshot("a", serverEntry(t, backend.Listener.Addr().String(), 0)), time.Time{})
	return d
}

func (d *drainTest) serveBackend(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		close(d.heldStarted)
		<-d.release
	} else {
		close(d.lateStarted)
		time.Sleep(lateServiceTime)
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Replica-Seal", "a")
	_, _ = io.WriteString(w, "whole")
}

// run serves callers until the context ends and drains as gateway.run does, and closes the connections of callers as the
// end of the process does. It calls afterDrain between the end of the drain and the shutdown of the HTTP server.
func (d *drainTest) run(ctx context.Context, afterDrain func()) {
	g := d.gateway
	server := &http.Server{Handler: g.srv, BaseContext: g.srv.BaseContext}
	g.conns.Attach(server)
	start := func(serving context.Context, group *errgroup.Group) {
		group.Go(func() error {
			return telemetry.ServeServer(serving, g.conns.Wrap(d.listener), server, listenerShutdownTimeout)
		})
	}
	_ = process.RunUntilDone(ctx, start, func() { // Fails if connections are open at the end.
		g.drain()
		afterDrain()
	})
	d.listener.closeAccepted()
}

func (d *drainTest) dial() net.Conn {
	c, err := (&net.Dialer{}).DialContext(d.t.Context(), "tcp", d.listener.Addr().String())
	require.NoError(d.t, err)
	d.t.Cleanup(func() { c.Close() })
	require.NoError(d.t, c.SetReadDeadline(time.Now().Add(drainTestTimeout)))
	return c
}

// callerResult is what a caller receives on its connection.
type callerResult struct {
	body string
	err  error
}

func readResult(c net.Conn) callerResult {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResult{body: string(body), err: err}
}

func requestTo(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + strings.Trim(path, "/") + "\r\nX-Deadline-Ms: 10000\r\n\r\n"
}

// Guards against a stop that ends while a request runs whose connection was accepted before, but whose first byte came
// just after the poll that found nothing running.
func TestRequestAtTheLastMomentOfAStop(t *testing.T) {
	for _, moment := range []string{"after the drain", "when the listener is closed"} {
		t.Run(moment, func(t *testing.T) {
			t.Parallel()
			d := newDrainTest(t)
			s := *d.gateway.settings.Load()
			s.GraceSeconds = 30
			d.gateway.settings.Store(&s)

			var late net.Conn
			var result callerResult
			lateEnded := make(chan struct{})
			sendLate := func() {
				_, _ = io.WriteString(late, requestTo("/late")) // Fails if the gateway has closed the connection.
				select {
				case <-d.lateStarted:
				case <-lateEnded: // The gateway has closed the connection.
				case <-time.After(hookTimeout):
				}
			}
			afterDrain := func() {}
			if moment == "after the drain" {
				afterDrain = sendLate
			} else {
				d.listener.onClose = sendLate
			}

			ctx, terminate := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			go func() {
				d.run(ctx, afterDrain)
				close(stopped)
			}()
			idle, held := d.dial(), d.dial()
			_, err := io.WriteString(held, requestTo("/held"))
			require.NoError(t, err)
			<-d.heldStarted
			require.Eventually(t, func() bool { return d.listener.awaitedCount() == 2 }, drainTestTimeout, time.Millisecond)
			terminate()
			_, err = idle.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF, "idle connections are closed")
			late = d.dial()
			go func() {
				result = readResult(late)
				close(lateEnded)
			}()
			require.Eventually(t, func() bool { return d.listener.awaitedCount() == 3 }, drainTestTimeout, time.Millisecond)
			close(d.release)
			require.Equal(t, callerResult{body: "whole"}, readResult(held))

			<-lateEnded
			<-stopped
			if !isClosed(d.lateStarted) {
				require.Error(t, result.err, "a request that was not passed on gets a closed connection")
				return
			}
			require.Equal(t, callerResult{body: "whole"}, result, "the request was passed on")
		})
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
