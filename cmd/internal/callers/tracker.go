// Package callers holds the connections of callers to the limits of the configuration and of the process.
package callers

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"lavendermoor.example/telemetry"
)

// Tracker tracks the connections of callers, so that a stopping process can close idle ones without losing a
// response, and so that callers keep the limits of the configuration. net/http may close a connection as idle just after
// it has read a request from it; the request is then forwarded and its response lost. Tracker closes a connection
// only if nothing has been read from it since its last response, or if its header is not complete, and then reads nothing
// more from it. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu   sync.Mutex
	open map[*conn]struct{}
	// closing is set once idle connections are closed, stopped once no connection is accepted any more.
	closing, stopped bool
	// listeners are those of Wrap.
	listeners []*trackedListener
	// closed counts the connections that were closed because of a limit, by the constants of closeReason.
	closed [closeReasons]int64
}

// Options are the options of a Tracker.
type Options struct {
	// Limits returns the limits of the active configuration.
	Limits func() Limits
	// MaxConnections is the largest number of open connections, 0 for no limit.
	MaxConnections int64
	// WriteStallTimeout is the time without progress after which a write to a caller fails, 0 for writeStallTimeout.
	WriteStallTimeout time.Duration
	// TLS is set if the connections carry TLS. Refusals of the tracker then have no response.
	TLS bool
	// MetricPrefix is the beginning of the names of the metrics.
	MetricPrefix string
}

// NewTracker returns a tracker without connections.
func NewTracker(opts Options) *Tracker {
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	if opts.WriteStallTimeout == 0 {
		opts.WriteStallTimeout = writeStallTimeout
	}
	return &Tracker{opts: opts, open: map[*conn]struct{}{}}
}

// phase is what a connection is used for.
type phase int

const (
	// phaseIdle lasts from the connection's start, or from a response, to the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader lasts until the header of the request is complete.
	phaseHeader
	phaseRequest
)

// conn is a connection of a caller. The mutex of its tracker guards the fields from phase on.
type conn struct {
	net.Conn
	tracker *Tracker
	// deadlineSet is when a writer has last set the write deadline. Writes do not overlap.
	deadlineSet time.Time

	phase phase
	// since is the start of the phase, and used is set if the connection has had a request before.
	since time.Time
	used  bool
	// headerBytes counts the bytes read in phaseHeader.
	headerBytes int64
	// Once closed is set, no request is read any more. refused is set if respondAndClose closes the connection.
	closed, refused bool
}

// busy reports whether a request is being read or served: from its first byte until its response is complete.
func (c *conn) busy() bool { return c.phase != phaseIdle }

// errRefused ends the reads of a refused connection. net/http sends no response of its own after an error of a read.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.refused {
		return 0, errRefused
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if n == 0 || c.phase == phaseRequest {
		return n, err
	}
	if c.phase == phaseIdle {
		c.phase, c.since, c.headerBytes = phaseHeader, time.Now(), 0
	}
	c.headerBytes += int64(n)
	if c.headerBytes > c.tracker.maxHeaderBytes() {
		c.tracker.refuseHeader(c)
		return 0, errRefused
	}
	return n, err
}

// maxWritePiece is the size of the pieces in which responses are written. Each has a time of its own, so that a caller
// that reads slowly receives a long response whole.
const maxWritePiece = 16 << 10

// Write implements net.Conn. It fails if the caller reads nothing for writeStallTimeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.extendDeadline(time.Now())
		n, err := c.Conn.Write(p[written:min(written+maxWritePiece, len(p))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.tracker.count(closedWriteStalled)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// deadlineStep is the interval at which the write deadline is moved; to move it for each event would cost more.
const deadlineStep = time.Second

func (c *conn) extendDeadline(now time.Time) {
	if now.Sub(c.deadlineSet) < deadlineStep {
		return
	}
	c.deadlineSet = now
	_ = c.Conn.SetWriteDeadline(now.Add(c.tracker.opts.WriteStallTimeout + deadlineStep)) // Fails if the connection is closed.
}

// SetWriteDeadline implements net.Conn. net/http removes the deadline after each request.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.deadlineSet = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetLinger sets what a close does with unsent data, as that of a net.TCPConn, if the connection supports that.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. A refused connection stays open until its caller had time to receive the refusal.
func (c *conn) Close() error {
	c.tracker.mu.Lock()
	refused := c.refused
	c.tracker.mu.Unlock()
	if refused {
		return nil
	}
	return c.Conn.Close()
}

// trackedListener adds accepted connections to a tracker.
type trackedListener struct {
	net.Listener
	tracker   *Tracker
	closed    chan struct{}
	closeOnce sync.Once
	// stop closes the inner listener at the first call. Each call returns the result.
	stop func() error
}

// Wrap returns a listener whose connections are tracked. Accept waits while the largest number of connections is open.
func (t *Tracker) Wrap(l net.Listener) net.Listener {
	if t.opts.MaxConnections > 0 {
		l = telemetry.LimitConnections(l, t.opts.MaxConnections)
	}
	tracked := &trackedListener{Listener: l, tracker: t, closed: make(chan struct{}), stop: sync.OnceValue(l.Close)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, tracked)
	return tracked
}

// Accept implements net.Listener. After StopAccepting it waits until the listener is closed: net/http takes any other end
// of a listener for a failure, and closes the connections that are in use.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err == nil {
		if c := l.tracker.add(inner); c != nil {
			return c, nil
		}
		inner.Close()
		err = net.ErrClosed
	}
	if l.tracker.isStopped() {
		<-l.closed
	}
	return nil, err
}

// add tracks an accepted connection. It returns nil if no connection is accepted any more.
func (t *Tracker) add(inner net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return nil
	}
	c := &conn{Conn: inner, tracker: t, since: time.Now()}
	t.open[c] = struct{}{}
	return c
}

// Close implements net.Listener.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.stop()
}

func (t *Tracker) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// onStateChange is the ConnState hook of the HTTP server.
func (t *Tracker) onStateChange(nc net.Conn, state http.ConnState) {
	c := trackedConn(nc)
	if c == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive: // The header is complete.
		c.phase, c.used = phaseRequest, true
	case http.StateIdle:
		c.phase, c.since = phaseIdle, time.Now()
		if t.closing {
			c.shut()
		}
	case http.StateClosed, http.StateHijacked:
		c.phase = phaseIdle
		delete(t.open, c)
	}
}

func (c *conn) shut() {
	c.closed = true
	_ = c.Conn.Close() // An error means that the connection is already broken.
}

// CloseIdle closes the idle connections now and every other connection once it is idle.
func (t *Tracker) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c := range t.open {
		if !c.busy() {
			c.shut()
		}
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Attach makes the tracker follow the connections of an HTTP server that serves a listener of Wrap. It must be called before
// the server is started, when its handler is set.
func (t *Tracker) Attach(srv *http.Server) {
	srv.ConnState = t.onStateChange
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, trackedConn(nc))
	}
	srv.Handler = refuseClosed(srv.Handler)
}

// refuseClosed returns a handler that does not serve a request whose connection the tracker has closed. Such a request was
// in the buffer of the HTTP server, or its header was complete just when its time was over.
func refuseClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil && c.isClosed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *conn) isClosed() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.closed
}

// trackedConn returns the tracked connection below a connection of the HTTP server, nil if it is none.
func trackedConn(nc net.Conn) *conn {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// StopAccepting closes the listeners, the idle connections, and every other connection once it is idle. After it, no
// request begins but on the connections that BusyCount counts.
func (t *Tracker) StopAccepting() {
	t.mu.Lock()
	t.stopped = true
	listeners := slices.Clone(t.listeners)
	t.mu.Unlock()
	for _, l := range listeners {
		_ = l.stop() // Close returns the error.
	}
	t.CloseIdle()
}

// BusyCount returns the number of connections on which a request is being read or served.
func (t *Tracker) BusyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.open {
		if c.busy() {
			n++
		}
	}
	return n
}
