package proctest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// LinkFaults are the faults that a Proxy injects into its connections. The zero value injects none.
type LinkFaults struct {
	// Delay is added to each chunk of data in both directions.
	Delay time.Duration
	// Reset resets open connections, and new ones as soon as they are accepted.
	Reset bool
	// BlockToServer and BlockToClient hold back all data in one direction, without an error, while they are set.
	BlockToServer, BlockToClient bool
}

// Proxy forwards TCP connections to an address and injects LinkFaults.
type Proxy struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	faults   LinkFaults
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// NewProxy starts a proxy that listens on a loopback IP. It is stopped at the end of the test.
func NewProxy(t testing.TB, ip, target string) *Proxy {
	t.Helper()
	l := listenOn(t, ip)
	p := &Proxy{
		Address: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{},
	}
	t.Cleanup(func() {
		l.Close()
		p.SetFaults(LinkFaults{Reset: true})
	})
	go p.accept()
	return p
}

// SetFaults sets the faults of new and open connections.
func (p *Proxy) SetFaults(l LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = l
	close(p.changed)
	p.changed = make(chan struct{})
	if l.Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Closing then sends a reset.
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// track adds an open connection. If connections are to be reset, it resets this one instead and returns false.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Reset {
		reset(c)
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

func (p *Proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.target)
	if err != nil {
		reset(client)
		p.untrack(client)
		return
	}
	if !p.track(server) {
		p.untrack(client)
		return
	}
	go p.forward(server, client, func(l LinkFaults) bool { return l.BlockToServer })
	p.forward(client, server, func(l LinkFaults) bool { return l.BlockToClient })
}

// forward copies data until either connection is closed, then closes both.
func (p *Proxy) forward(to, from net.Conn, blocked func(LinkFaults) bool) {
	defer p.untrack(to)
	defer p.untrack(from)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitUnblocked(blocked)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUnblocked waits while a direction is blocked, then for the delay.
func (p *Proxy) waitUnblocked(blocked func(LinkFaults) bool) {
	for {
		p.mu.Lock()
		l, changed := p.faults, p.changed
		p.mu.Unlock()
		if !blocked(l) || l.Reset {
			time.Sleep(l.Delay)
			return
		}
		<-changed
	}
}
