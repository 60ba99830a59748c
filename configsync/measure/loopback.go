package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// loopback serves processes on TCP ports of this machine and counts all bytes that they send, including HTTP headers.
type loopback struct {
	// sent counts the bytes that each process has sent, by its address.
	sent    map[string]*atomic.Int64
	servers []*http.Server
}

// headerTimeout bounds the time for reading the headers of a request.
const headerTimeout = 5 * time.Second

func newLoopback() *loopback { return &loopback{sent: map[string]*atomic.Int64{}} }

// listen returns a listener for one process on a free port. It counts the bytes that the process sends in responses.
func (l *loopback) listen() (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &atomic.Int64{}
	l.sent[listener.Addr().String()] = n
	return &countingListener{Listener: listener, sent: n}, nil
}

func (l *loopback) serve(listener net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	l.servers = append(l.servers, s)
	go func() { _ = s.Serve(listener) }()
}

// client returns the HTTP client that the process at an address uses. It counts the bytes of the requests as sent by
// that process.
func (l *loopback) client(from string) *http.Client {
	var d net.Dialer
	sent := l.sent[from]
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, sent: sent}, nil
		},
	}}
}

func (l *loopback) close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// countingListener counts the bytes that are written to the accepted connections.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, sent: l.sent}, nil
}

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
