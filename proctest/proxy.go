package proctest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Link is what a Proxy does with its connections.
type Link struct {
	// Delay is added to each piece of data in both directions.
	Delay time.Duration
	// Refuse resets the open connections, and new ones at once.
	Refuse bool
	// ToServer and ToClient hold back all data of a direction, without an error, for as long as they are set.
	ToServer, ToClient bool
}

// Proxy passes TCP connections on to an address, with the faults of a Link.
type Proxy struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	link     Link
	changed  chan struct{}
	open     map[net.Conn]struct{}
}

// NewProxy starts a proxy that listens on a loopback IP; the test's end stops it.
func NewProxy(t testing.TB, ip, target string) *Proxy {
	t.Helper()
	l := listenAt(t, ip)
	p := &Proxy{
		Address: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}),
		open: map[net.Conn]struct{}{},
	}
	t.Cleanup(func() {
		l.Close()
		p.Set(Link{Refuse: true})
	})
	go p.accept()
	return p
}

// Set changes what happens to the connections, open ones included.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
	if l.Refuse {
		for c := range p.open {
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

// add keeps a connection, or resets it when the link refuses connections.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link.Refuse {
		reset(c)
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	c.Close()
}

func (p *Proxy) serve(client net.Conn) {
	if !p.add(client) {
		return
	}
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.target)
	if err != nil {
		reset(client)
		p.drop(client)
		return
	}
	if !p.add(server) {
		p.drop(client)
		return
	}
	go p.copy(server, client, func(l Link) bool { return l.ToServer })
	p.copy(client, server, func(l Link) bool { return l.ToClient })
}

// copy passes data on until either side ends.
func (p *Proxy) copy(to, from net.Conn, held func(Link) bool) {
	defer p.drop(to)
	defer p.drop(from)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.wait(held)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds data back as the link says.
func (p *Proxy) wait(held func(Link) bool) {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if !held(l) || l.Refuse {
			time.Sleep(l.Delay)
			return
		}
		<-changed
	}
}
