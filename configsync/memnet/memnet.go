// Package memnet is an in-memory HTTP network without sockets, for tests and for measurements with thousands of
// processes.
package memnet

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
)

// Network carries HTTP requests without bodies. It is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// handlers, sent and blocked are keyed by the address of a process. sent counts the bytes of response bodies.
	handlers map[string]http.Handler
	sent     map[string]*atomic.Int64
	// silent is closed when the connections that are open at that time become silent.
	silent  chan struct{}
	blocked map[string]bool
}

// New returns a network without handlers.
func New() *Network {
	return &Network{
		handlers: map[string]http.Handler{}, sent: map[string]*atomic.Int64{}, silent: make(chan struct{}),
		blocked: map[string]bool{},
	}
}

// Serve sets the handler of an address. If h is nil, connections to the address are refused.
func (m *Network) Serve(address string, h http.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[address] = h
	if m.sent[address] == nil {
		m.sent[address] = &atomic.Int64{}
	}
}

// BytesSent returns the number of bytes in the response bodies that the process at an address has sent.
func (m *Network) BytesSent(address string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.sent[address]; n != nil {
		return n.Load()
	}
	return 0
}

// Block refuses all connections from the process at an address. Connections to it still work.
func (m *Network) Block(from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[from] = true
}

// SilenceConnections stops all data on the open connections without closing them. Later connections work.
func (m *Network) SilenceConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.silent)
	m.silent = make(chan struct{})
}

// Client returns the HTTP client that the process at an address uses.
func (m *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &transport{net: m, from: from}}
}

// transport is the http.RoundTripper of the process at the address from.
type transport struct {
	net  *Network
	from string
}

// RoundTrip implements http.RoundTripper. The request must have no body.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.net.mu.Lock()
	h, silent, sent := t.net.handlers[req.URL.Host], t.net.silent, t.net.sent[req.URL.Host]
	blocked := t.net.blocked[t.from]
	t.net.mu.Unlock()
	if h == nil || blocked {
		return nil, syscall.ECONNREFUSED
	}
	ctx, cancel := context.WithCancel(req.Context())
	r, w := io.Pipe()
	rw := &responseWriter{header: http.Header{}, pipe: w, ctx: ctx, silent: silent, sent: sent, started: make(chan struct{})}
	go func() {
		<-ctx.Done()
		_ = r.CloseWithError(ctx.Err())
	}()
	go func() {
		defer cancel()
		h.ServeHTTP(rw, req.WithContext(ctx))
		rw.start(http.StatusOK)
		_ = w.Close()
	}()
	select {
	case <-rw.started:
		return &http.Response{StatusCode: rw.status, Header: rw.header, Body: &responseBody{r, cancel}, Request: req}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// responseBody cancels the handler when the caller closes it.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is the http.ResponseWriter of one response.
type responseWriter struct {
	header  http.Header
	pipe    *io.PipeWriter
	ctx     context.Context
	silent  chan struct{}
	sent    *atomic.Int64
	once    sync.Once
	status  int
	started chan struct{}
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) { w.start(status) }

// start sets the status of the response and lets RoundTrip return. Only the first call has an effect.
func (w *responseWriter) start(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.started)
	})
}

// Write implements io.Writer. On a silenced connection it blocks until the request is canceled.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.start(http.StatusOK)
	w.sent.Add(int64(len(b)))
	select {
	case <-w.silent:
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	default:
	}
	return w.pipe.Write(b)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {}
