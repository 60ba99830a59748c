package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// dial opens a connection to the backend server.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose reads return io.EOF only if no write has failed. A socket reports an error once: if a write
// receives it, a read returns io.EOF after a reset too, and a response without length or chunks looks whole.
type conn struct {
	net.Conn

	// writing is held during a write. It guards writeErr, the error of the first write that has failed.
	writing  sync.Mutex
	writeErr error
}

// Read implements net.Conn. At the end of the connection it waits for the write in progress, which ends at the latest when
// the connection is closed, and returns the error of a write that has failed instead of io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		err = c.writeErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
