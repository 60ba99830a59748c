package exchange

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	maxIdleConns   = 64
	connectTimeout = 700 * time.Millisecond
	// maxStaleResponses is the number of answers to other requests that are passed over on one connection.
	maxStaleResponses = 2
)

// Pool holds the idle connections to one server. Its methods may be called from any goroutine.
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

// Close closes the idle connections; those in use are closed when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.net.Close()
	}
	p.idle = nil
}

// CloseExpired closes connections whose idle time has passed.
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

// takeIdle returns the idle connection that was used last, nil if there is none.
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
		return nil, merry.Wrap(&ConnectError{Address: p.address, Cause: err})
	}
	return newConn(c), nil
}

// Do sends a request and returns the head of its answer; the body is read from the answer, which must be closed. When
// the context ends, the connection is closed, also while the body is read. Errors are *ConnectError and *WithdrawnError, after
// which nothing was sent, *BrokenError and *AnswerError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	if r.ShouldSend != nil && !r.ShouldSend() {
		c.net.Close()
		return nil, merry.Wrap(&WithdrawnError{Address: p.address})
	}
	a := &Response{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, c.abort)
	if err := a.roundTrip(r, p.dialect); err != nil {
		a.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		var typed *ResponseError
		if errors.As(err, &typed) {
			return nil, err
		}
		return nil, merry.Wrap(&BrokenError{Address: p.address, Reused: c.reused, Cause: err})
	}
	return a, nil
}

// Response is the answer to one request.
type Response struct {
	*http.Response
	Info ResponseInfo

	pool *Pool
	conn *conn
	stop func() bool
	// idleTimeout is how long the server keeps the connection after the answer.
	idleTimeout time.Duration
	// complete is set when the whole body was read.
	complete bool
	closed   bool
}

// roundTrip writes the request and reads answers until one is not marked as that to another request. A server that was
// late may answer an older request first.
func (a *Response) roundTrip(r *Request, dialect Dialect) error {
	written := r.write(a.conn.net)
	leaving := false
	for range maxStaleResponses + 1 {
		resp, err := a.conn.readResponse(r.parserRequest()) //nolint:bodyclose // Answer.Close ends the exchange.
		if err != nil {
			return err
		}
		a.Response, a.Info = resp, dialect.ParseResponse(resp.StatusCode, resp.Header)
		leaving = leaving || a.Info.Leaving // Late answers to other requests say it as well.
		a.Info.Leaving = leaving
		a.idleTimeout = idleTimeout(resp.Header.Get("Keep-Alive"))
		if a.Info.ID == r.ID || a.Info.ID == "" {
			return a.validate(written)
		}
		if !drain(resp.Body) {
			break
		}
	}
	return merry.Wrap(&ResponseError{Problem: "it is marked as that to another request"})
}

// validate refuses answers that cannot be passed on.
func (a *Response) validate(written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			a.Response.Close = true
		}
	default:
		// The server has answered before it has read the body; what it reads later must not be another request.
		a.Response.Close = true
	}
	success := a.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !a.Info.Signed:
		return merry.Wrap(&ResponseError{Problem: "a success without signature"})
	case success && a.Info.ID == "":
		return merry.Wrap(&ResponseError{Problem: "a success without the request's id"})
	case a.Header.Get("Content-Encoding") != "":
		return merry.Wrap(&ResponseError{Problem: "the body is encoded"})
	}
	return nil
}

// MarkComplete says that the body was read to its end, so that the connection can be used again.
func (a *Response) MarkComplete() { a.complete = true }

// Drain reads what is left of a short body, so that the connection can be used again.
func (a *Response) Drain() { a.complete = drain(a.Body) }

// Close ends the exchange. Unless the answer is complete, the connection is closed, by which the server learns that
// nobody waits any more.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	uncanceled := a.stop()
	if uncanceled && a.complete && a.conn.markIdle(a.Response.Close, a.idleTimeout, time.Now()) {
		a.pool.putIdle(a.conn)
		return
	}
	if a.complete {
		a.conn.net.Close()
		return
	}
	a.conn.abort()
}
