package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/gateway/buffer"
)

const (
	// defaultBodyBytes is the memory for request bodies if the options set none.
	defaultBodyBytes = 32 << 20
	// refusedBodyTime is how long the rest of a body that was not accepted is read and dropped, so that the caller receives
	// the refusal: unread bytes reset a connection when it is closed.
	refusedBodyTime = 500 * time.Millisecond
	// maxSkippedBody is the largest body for which a connection is kept open after a refusal that did not read it.
	maxSkippedBody = 64 << 10
	// memoryRetryAfter is the Retry-After while bodies have used up the memory for them. Stalled ones lose it by then.
	memoryRetryAfter = time.Second
)

// readBody reads the request body within the limits of size, time and memory.
func (x *exchange) readBody() ([]byte, *callerapi.Error) {
	limits := x.state.Limits()
	controller := http.NewResponseController(x.w)
	// Connections that do not support deadlines are bounded by the server's own timeout.
	_ = controller.SetReadDeadline(time.Now().Add(limits.ReadTimeout))
	x.bodyBegun = true
	body, share, err := buffer.ReadBody(x.r.Context(), buffer.Body{
		Reader: x.r.Body, Announced: x.r.ContentLength, Limit: limits.MaxBodyBytes, NewShare: x.newShare,
	})
	x.share = share
	if err != nil {
		return nil, x.readBodyError(err)
	}
	x.bodyPending = false
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// newShare returns the share of the body in the memory of all bodies. A body that has lost its share ends its read.
func (x *exchange) newShare() *buffer.Share {
	controller := http.NewResponseController(x.w)
	evict := func() { _ = controller.SetReadDeadline(time.Now()) }
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		host = x.r.RemoteAddr
	}
	return x.server.bodies.NewShare(evict, time.Now(), "address "+host, "customer "+x.customer.GetName())
}

func (x *exchange) releaseBody() {
	if x.share != nil {
		x.share.Close()
		x.share = nil
	}
}

func (x *exchange) readBodyError(err error) *callerapi.Error {
	var large *buffer.TooLargeError
	var exhausted *buffer.ExhaustedError
	switch {
	case errors.As(err, &large):
		return callerapi.NotExecuted(callerapi.BodyTooLarge, "body is larger than %d bytes", large.Limit)
	case errors.As(err, &exhausted):
		return callerapi.NotExecuted(callerapi.Overloaded, "%v", exhausted).WithRetryAfter(memoryRetryAfter)
	case x.share != nil && x.share.Evicted():
		return callerapi.NotExecuted(callerapi.RequestTimeout, "the body arrived too slowly")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return callerapi.NotExecuted(callerapi.RequestTimeout, "the request was not sent in time")
	}
	return callerapi.NotExecuted(callerapi.InvalidRequest, "body could not be read: %v", err)
}

// abandonBody makes sure that the rest of a body that was not accepted delays the error only briefly, and that nothing of
// it is taken for the next request.
func (x *exchange) abandonBody() {
	x.releaseBody()
	if !x.bodyPending {
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(refusedBodyTime))
	if x.bodyBegun || x.r.ContentLength < 0 || x.r.ContentLength > maxSkippedBody {
		x.w.Header().Set("Connection", "close")
	}
}

// RunHousekeeping ends bodies that have stalled until the context ends.
func (s *Server) RunHousekeeping(ctx context.Context) {
	const interval = 100 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.bodies.EvictStalled(now)
		}
	}
}

// BodyBytes returns the memory that request bodies hold.
func (s *Server) BodyBytes() int64 { return s.bodies.Held() }
