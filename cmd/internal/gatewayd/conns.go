package gatewayd

import (
	"net"
	"net/http"
	"sync"
)

// connTracker tracks the connections of callers, so that a stopping process can close idle ones without losing a
// response. net/http may close a connection as idle just after it has read a request from it; the request is then
// forwarded and its response lost. connTracker closes a connection only if nothing has been read from it since its last
// response, and then reads nothing more from it. It is safe for concurrent use.
type connTracker struct {
	mu      sync.Mutex
	open    map[*callerConn]struct{}
	closing bool
}

func newConnTracker() *connTracker { return &connTracker{open: map[*callerConn]struct{}{}} }

// callerConn is a connection of a caller. The mutex of its tracker guards the fields.
type callerConn struct {
	net.Conn
	tracker *connTracker
	// busy is set from the first byte of a request until its response is complete. Once closed is set, no request is read
	// any more.
	busy, closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// trackedListener adds accepted connections to a tracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

func (t *connTracker) wrapListener(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, tracker: t}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: inner, tracker: l.tracker}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[c] = struct{}{}
	return c, nil
}

// onStateChange is the ConnState hook of the HTTP server.
func (t *connTracker) onStateChange(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.busy = false
		if t.closing {
			c.close()
		}
	case http.StateClosed, http.StateHijacked:
		c.busy = false
		delete(t.open, c)
	}
}

func (c *callerConn) close() {
	c.closed = true
	_ = c.Close() // An error means that the connection is already broken.
}

// closeIdle closes the idle connections now and every other connection once it is idle.
func (t *connTracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c := range t.open {
		if !c.busy {
			c.close()
		}
	}
}

// busyCount returns the number of connections on which a request is being read or served.
func (t *connTracker) busyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.open {
		if c.busy {
			n++
		}
	}
	return n
}
