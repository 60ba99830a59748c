package gatewayd

import (
	"net"
	"net/http"
	"sync"
)

// conns are the connections of callers. net/http closes a connection as idle although a request may just have been read from it,
// which is then passed on and its answer lost. Here a connection is closed only while nothing was read from it since its last
// answer, and what arrives later is not read. Methods may be called from any goroutine.
type conns struct {
	mu      sync.Mutex
	all     map[*callerConn]struct{}
	closing bool
}

func newConns() *conns { return &conns{all: map[*callerConn]struct{}{}} }

// callerConn is a connection of a caller. The lock of its set guards the fields.
type callerConn struct {
	net.Conn
	set *conns
	// busy says that a part of a request was read that is not answered yet; closed that no request is read any more.
	busy, closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// listener wraps the connections that are accepted.
type listener struct {
	net.Listener
	set *conns
}

func (s *conns) listen(l net.Listener) net.Listener { return &listener{Listener: l, set: s} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: inner, set: l.set}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.all[c] = struct{}{}
	return c, nil
}

// changed is the ConnState hook of the HTTP server.
func (s *conns) changed(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.busy = false
		if s.closing {
			c.close()
		}
	case http.StateClosed, http.StateHijacked:
		c.busy = false
		delete(s.all, c)
	}
}

func (c *callerConn) close() {
	c.closed = true
	_ = c.Close() // Nothing is lost on a connection that is broken already.
}

// closeIdle closes each connection as soon as no request of its caller is being served.
func (s *conns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.all {
		if !c.busy {
			c.close()
		}
	}
}

// busy counts the connections on which a request is being read or served.
func (s *conns) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.all {
		if c.busy {
			n++
		}
	}
	return n
}
