package telemetry

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// defaultDescriptors is assumed if the limit of the process cannot be read.
const defaultDescriptors = 1024

// DescriptorLimit returns how many descriptors the process may open.
func DescriptorLimit() int64 {
	const largest = 1 << 30 // An unlimited process gets this.
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return defaultDescriptors
	}
	return int64(min(l.Cur, largest)) //nolint:gosec // Bounded in this line.
}

// LimitConnections returns a listener that accepts a connection only while fewer than the given number are open. Further
// ones wait in the backlog of the socket, so that accepting never fails for want of descriptors.
func LimitConnections(l net.Listener, connections int64) net.Listener {
	return &limitedListener{Listener: l, open: make(chan struct{}, connections), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	open      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: c, listener: l}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its place at the listener when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// CloseWrite ends the writing side if the connection supports that.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what a close does with unsent data, as that of a net.TCPConn, if the connection supports that.
func (c *limitedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.listener.open })
	return err
}
