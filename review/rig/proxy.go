package rig

import (
	"net"
	"time"
)

// Proxy is one link of the network: it forwards TCP connections to an address.
type Proxy struct {
	target   string
	listener net.Listener
	// delayAnswer returns how long the bytes that a server sends are kept back, given the last bytes that the caller sent
	// before. It is nil for a link without disruption.
	delayAnswer func(request []byte) time.Duration
}

// NewProxy forwards connections from a listener to an address. delayAnswer may be nil.
func NewProxy(l net.Listener, target string, delayAnswer func(request []byte) time.Duration) *Proxy {
	p := &Proxy{target: target, listener: l, delayAnswer: delayAnswer}
	go p.accept()
	return p
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

func (p *Proxy) serve(caller net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(caller)
		return
	}
	delays := make(chan time.Duration, 64)
	go func() {
		defer caller.Close()
		defer server.Close()
		buf := make([]byte, 64<<10)
		for {
			n, err := caller.Read(buf)
			if n > 0 {
				if p.delayAnswer != nil {
					if d := p.delayAnswer(buf[:n]); d > 0 {
						select {
						case delays <- d:
						default:
						}
					}
				}
				if _, err := server.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			select {
			case d := <-delays:
				time.Sleep(d)
			default:
			}
			if _, err := caller.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	caller.Close()
	server.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
