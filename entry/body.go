package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/gateway/buffer"
)

// defaultBodyBytes is the memory for request bodies if the options set none.
const defaultBodyBytes = 32 << 20

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

func (x *exchange) newShare() *buffer.Share {
	return x.server.bodies.NewRequestShare(x.w, x.r, x.customer.GetName())
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
		return callerapi.NotExecuted(callerapi.Overloaded, "%v", exhausted).WithRetryAfter(buffer.MemoryRetryAfter)
	case x.share != nil && x.share.Evicted():
		return callerapi.NotExecuted(callerapi.RequestTimeout, "the body arrived too slowly")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return callerapi.NotExecuted(callerapi.RequestTimeout, "the request was not sent in time")
	}
	return callerapi.NotExecuted(callerapi.InvalidRequest, "body could not be read: %v", err)
}

// abandonBody gives up a body that was not accepted.
func (x *exchange) abandonBody() {
	x.releaseBody()
	if x.bodyPending {
		buffer.AbandonBody(x.w, x.r, x.bodyBegun)
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
