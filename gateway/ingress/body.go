package ingress

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"lavendermoor.example/gateway/buffer"
)

// defaultBodyBytes is the largest body in bytes if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

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

func (c *call) newShare() *buffer.Share {
	customer := ""
	if c.customer != nil {
		customer = c.customer.Name
	}
	return c.server.buffers.NewRequestShare(c.w, c.r, customer)
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
			RetryAfter: c.retryAfter(buffer.MemoryRetryAfter),
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

// abandonBody gives up a body that was not accepted.
func (c *call) abandonBody() {
	c.releaseBody()
	if c.bodyPending {
		buffer.AbandonBody(c.w, c.r, c.bodyFailed)
	}
}
