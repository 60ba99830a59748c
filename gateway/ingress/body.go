package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"lavendermoor.example/gateway/buffer"
)

// defaultBodyBytes is the largest body in bytes if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

const (
	// refusedBodyTime is how long the rest of a body that was not accepted is read and dropped. A connection that is
	// closed with unread bytes is reset, and the caller may then lose the refusal.
	refusedBodyTime = 500 * time.Millisecond
	// maxSkippedBody is the largest body for which a connection is kept open after a refusal that did not read it.
	maxSkippedBody = 64 << 10
	// memoryRetryAfter is the Retry-After while bodies have used up the memory for them. Stalled ones lose it by then.
	memoryRetryAfter = time.Second
)

// checkBeforeBody returns the failure of a request that is refused whatever its body holds.
func (c *call) checkBeforeBody() *Failure {
	if f := c.stoppingFailure(c.arrived); f != nil {
		return f
	}
	if c.r.ContentLength > c.maxBodyBytes() {
		return bodyTooLarge()
	}
	v := c.server.opts.Quarantine.Check(c.service, c.meta.SharedParts, c.probes, c.arrived)
	if !v.Passes() && !v.CanProbe {
		return c.quarantineFailure(v)
	}
	return c.serversUnavailable()
}

func (c *call) maxBodyBytes() int64 {
	if limit := c.catalog.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

func bodyTooLarge() *Failure {
	return &Failure{
		Status: http.StatusRequestEntityTooLarge, Reason: reasonBodyTooLarge, Detail: "the body is above the limit",
	}
}

// readBody reads the whole body, so that it can be sent more than once. Besides, the HTTP server detects only after the
// body was read that the caller has disconnected.
func (c *call) readBody() *Failure {
	if !c.bodyPending {
		return nil
	}
	// A caller that sends its body very slowly must not hold memory past its deadline. The error is ignored because
	// only the response writers of tests do not support read deadlines.
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.deadline)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	var err error
	c.body, c.share, err = buffer.ReadBody(ctx, buffer.Body{
		Reader: c.r.Body, Announced: c.r.ContentLength, Limit: c.maxBodyBytes(), NewShare: c.newShare,
	})
	if err != nil {
		return c.bodyFailure(err)
	}
	c.bodyPending = false
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// newShare returns the share of the body in the memory of all bodies. A body that has lost its share ends its read.
func (c *call) newShare() *buffer.Share {
	controller := http.NewResponseController(c.w)
	evict := func() { _ = controller.SetReadDeadline(time.Now()) }
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		host = c.r.RemoteAddr
	}
	owners := []string{"address " + host}
	if c.customer != nil {
		owners = append(owners, "customer "+c.customer.Name)
	}
	return c.server.buffers.NewShare(evict, time.Now(), owners...)
}

func (c *call) releaseBody() {
	if c.share != nil {
		c.share.Close()
		c.share = nil
	}
}

func (c *call) bodyFailure(err error) *Failure {
	var tooLarge *buffer.TooLargeError
	var exhausted *buffer.ExhaustedError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	case errors.As(err, &exhausted):
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonBodyMemory, Detail: exhausted.Error(),
			RetryAfter: c.retryAfter(memoryRetryAfter),
		}
	case c.share != nil && c.share.Evicted():
		return &Failure{
			Status: http.StatusRequestTimeout, Reason: reasonBodyStalled, Detail: "the body arrived too slowly",
		}
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return &Failure{
			Status: http.StatusRequestTimeout, Reason: reasonBody, Detail: "the body did not arrive in the request's time",
		}
	}
	return &Failure{Status: http.StatusBadRequest, Reason: reasonBody, Detail: "the body did not arrive whole"}
}

// abandonBody makes sure that the rest of a body that was not accepted delays the refusal only briefly, and that nothing
// of it is taken for the next request: the connection is closed, unless the rest is short and arrives in time.
func (c *call) abandonBody() {
	c.releaseBody()
	if !c.bodyPending {
		return
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTime))
	if c.bodyFailed || c.r.ContentLength < 0 || c.r.ContentLength > maxSkippedBody {
		c.w.Header().Set("Connection", "close")
	}
}
