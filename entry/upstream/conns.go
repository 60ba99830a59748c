package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of connections to sidecars.
const (
	// idleTimeout is how long an idle connection stays open. Idle connections are not probed, so the client does not
	// notice that one has become silent until a request uses it.
	idleTimeout    = 15 * time.Second
	maxIdlePerHost = 64
	dialTimeout    = time.Second
)

// connTracker tracks the open connections by their address. When a connection has become silent, the idle connections
// to the same address are closed, because the cause often affects all connections that were open at the time.
type connTracker struct {
	mu   sync.Mutex
	open map[string]map[*trackedConn]bool
}

// trackedConn is a connection that records which exchange uses it.
type trackedConn struct {
	net.Conn
	address string
	tracker *connTracker
	// user is the exchange that uses the connection, nil while it is idle. It is guarded by tracker.mu.
	user *attempt
}

func newTransport(c *connTracker) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.open = map[string]map[*trackedConn]bool{}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c.add(nc, address), nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (c *connTracker) add(nc net.Conn, address string) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &trackedConn{Conn: nc, address: address, tracker: c}
	if c.open[address] == nil {
		c.open[address] = map[*trackedConn]bool{}
	}
	c.open[address][out] = true
	return out
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open[c.address], c)
	if len(c.tracker.open[c.address]) == 0 {
		delete(c.tracker.open, c.address)
	}
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// acquire marks a connection as used by an exchange.
func (c *connTracker) acquire(nc net.Conn, user *attempt) {
	if tracked, ok := nc.(*trackedConn); ok {
		c.mu.Lock()
		tracked.user = user
		c.mu.Unlock()
	}
}

// release marks a connection as idle, unless the next exchange already uses it.
func (c *connTracker) release(nc net.Conn, user *attempt) {
	if tracked, ok := nc.(*trackedConn); ok {
		c.mu.Lock()
		if tracked.user == user {
			tracked.user = nil
		}
		c.mu.Unlock()
	}
}

// closeIdle closes the idle connections to an address and returns their number.
func (c *connTracker) closeIdle(address string) int {
	c.mu.Lock()
	var idle []*trackedConn
	for tracked := range c.open[address] {
		if tracked.user == nil {
			idle = append(idle, tracked)
		}
	}
	c.mu.Unlock()
	for _, tracked := range idle {
		_ = tracked.Close() // The connection is discarded in any case.
	}
	return len(idle)
}
