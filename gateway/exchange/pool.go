package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	maxIdleConns   = 64
	connectTimeout = 700 * time.Millisecond
	// maxStaleResponses is the number of responses to other requests that are skipped on one connection.
	maxStaleResponses = 2
)

// Pool holds the idle connections to one server. Its methods are safe for concurrent use.
type Pool struct {
	address string
	dialect Dialect

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns an empty pool for a server.
func NewPool(address string, dialect Dialect) *Pool {
	return &Pool{address: address, dialect: dialect}
}

// Address returns the server's address.
func (p *Pool) Address() string { return p.address }

// Close closes the idle connections. Connections in use are closed when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.net.Close()
	}
	p.idle = nil
}

// CloseExpired closes the connections whose idle timeout has passed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			c.net.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// takeIdle removes and returns the most recently used idle connection, nil if there is none.
func (p *Pool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			return c
		}
		c.net.Close()
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		c.net.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(time.Now()); c != nil {
		return c, nil
	}
	c, err := dial(ctx, p.address, connectTimeout)
	if err != nil {
		return nil, merry.Wrap(&UnreachableError{Address: p.address, Cause: err})
	}
	return newConn(c), nil
}

// Do sends a request and returns the response once its header was read. The caller reads the body and must close the
// response. When the context ends, the connection is closed, even while the body is read. Do fails with an
// *UnreachableError or a *WithdrawnError if nothing was sent. After a *BrokenError or an *InvalidResponseError, the
// request may have been executed.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	if req.ShouldSend != nil && !req.ShouldSend() {
		c.net.Close()
		return nil, merry.Wrap(&WithdrawnError{Address: p.address})
	}
	resp := &Response{pool: p, conn: c}
	resp.stopAbort = context.AfterFunc(ctx, c.abort)
	if err := resp.roundTrip(req, p.dialect); err != nil {
		resp.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		var invalid *InvalidResponseError
		if errors.As(err, &invalid) {
			return nil, err
		}
		return nil, merry.Wrap(&BrokenError{Address: p.address, Reused: c.reused, Cause: err})
	}
	return resp, nil
}

const (
	// refusalTimeout bounds the connection attempt of RefusesConnections.
	refusalTimeout = 300 * time.Millisecond
	// closedAtOnce is how long RefusesConnections waits for a proxy before the server to close a new connection.
	closedAtOnce = 20 * time.Millisecond
)

// RefusesConnections reports whether a new connection to the server is refused, or closed at once. It returns false if
// the attempt takes too long, since packets may be lost on the way.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	c, err := dial(ctx, p.address, refusalTimeout)
	if err != nil {
		return !isTimeout(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(closedAtOnce)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err != nil && !isTimeout(err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.Canceled) || (errors.As(err, &netErr) && netErr.Timeout())
}

// Response is the response to one request.
type Response struct {
	*http.Response
	Info ResponseInfo

	pool *Pool
	conn *conn
	// sending is the writing of the request, which may last longer than the reading of the header.
	sending *sending
	// stopAbort prevents the abort of the connection at the end of the context. It returns false if the context has
	// already ended.
	stopAbort func() bool
	// idleTimeout is how long the connection may be kept idle after the response.
	idleTimeout time.Duration
	// complete is set when the whole body was read.
	complete bool
	closed   bool
}

// roundTrip writes the request and reads responses until one is not marked as belonging to another request. A slow
// server may first send its response to an earlier request.
func (r *Response) roundTrip(req *Request, dialect Dialect) error {
	r.sending = req.write(r.conn.net)
	leaving := false
	for i := range maxStaleResponses + 1 {
		resp, err := r.conn.readResponse(req.parserRequest()) //nolint:bodyclose // Response.Close ends the exchange.
		if err != nil {
			return err
		}
		r.Response, r.Info = resp, dialect.ParseResponse(resp.StatusCode, resp.Header)
		leaving = leaving || r.Info.Leaving // Late responses to other requests report it too.
		r.Info.Leaving = leaving
		r.idleTimeout = idleTimeout(resp.Header.Get("Keep-Alive"))
		if r.Info.ID == req.ID {
			return r.accept()
		}
		if r.Info.ID == "" {
			// Only the first response on a connection can belong to no earlier request.
			if r.conn.reused || i > 0 {
				return merry.Wrap(&InvalidResponseError{Problem: "it has no id, on a connection in use again"})
			}
			return r.accept()
		}
		if !drain(resp.Body) {
			break
		}
	}
	return merry.Wrap(&InvalidResponseError{Problem: "it is marked as that to another request"})
}

// accept takes the response that was read last as that to the request. It returns an *InvalidResponseError if the response
// must not be forwarded. Unless the whole request was written, the connection is not reused.
func (r *Response) accept() error {
	if !r.sending.succeeded() {
		// The server may have responded before it read the whole body. The connection is not reused, so that the rest
		// of the body cannot be mistaken for another request.
		r.Response.Close = true
	}
	if r.EndsWithConnection() {
		r.Body = &unframedBody{ReadCloser: r.Body, conn: r.conn, sending: r.sending}
	}
	return r.validate()
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that only the end of the connection ends
// it.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// validate returns an *InvalidResponseError for a response that must not be forwarded.
func (r *Response) validate() error {
	success := r.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !r.Info.Signed:
		return merry.Wrap(&InvalidResponseError{Problem: "a success without signature"})
	case success && r.Info.ID == "":
		return merry.Wrap(&InvalidResponseError{Problem: "a success without the request's id"})
	case r.Header.Get("Content-Encoding") != "":
		return merry.Wrap(&InvalidResponseError{Problem: "the body is encoded"})
	}
	return nil
}

// MarkComplete records that the body was read to its end, so that the connection can be reused.
func (r *Response) MarkComplete() { r.complete = true }

// Drain reads the rest of a short body, so that the connection can be reused.
func (r *Response) Drain() { r.complete = drain(r.Body) }

// Close ends the exchange. Unless the response is complete, the connection is closed, so that the server detects that
// no caller waits for the response.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	uncanceled := r.stopAbort()
	if uncanceled && r.complete && r.conn.markIdle(r.Response.Close, r.idleTimeout, time.Now()) {
		r.pool.putIdle(r.conn)
		return
	}
	if r.complete {
		r.conn.net.Close()
		return
	}
	r.conn.abort()
}
