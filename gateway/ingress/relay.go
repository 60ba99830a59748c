package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/buffer"
	"lavendermoor.example/gateway/exchange"
)

// maxBuffered is the size in bytes from which a response is relayed as it arrives. A smaller one is buffered until it
// is complete.
const maxBuffered = 256 << 10

func isStream(resp *exchange.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// relayBody relays a response that is not a stream. A response smaller than maxBuffered is relayed only if it is
// complete. relayBody returns false if the response was truncated, or if it is a server error and the request may be
// sent to another server.
func (c *call) relayBody(ctx context.Context, resp *exchange.Response, a *attempt) bool {
	body, complete, release, err := c.bufferBody(resp.Body)
	defer release()
	if err != nil {
		a.outcome, a.detail = balance.Failed, "the answer broke off: "+err.Error()
		a.broken, a.answerBegun = true, len(body) == 0
		if ctx.Err() != nil {
			a.outcome = balance.Abandoned
		}
		return false
	}
	if complete {
		resp.MarkComplete()
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome, a.detail = balance.Failed, "status "+strconv.Itoa(resp.StatusCode)
		if c.shouldRetryFailure(a.backend) {
			return false
		}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		c.recordAnswer(a)
	}
	c.copyHeaders(resp.Response, complete, len(body))
	if _, err := c.w.Write(body); err != nil {
		a.detail = "the caller's connection: " + err.Error()
		return true
	}
	if !complete {
		c.relayRemainder(resp, a)
	}
	c.completed = true
	return true
}

// bufferBody reads a body of less than maxBuffered whole, and the beginning of a longer one. While long bodies of other
// responses hold the memory for them, it reads the beginning only, unless the body is short. release returns the memory.
func (c *call) bufferBody(r io.Reader) (body []byte, complete bool, release func(), err error) {
	release = func() {}
	body, err = io.ReadAll(io.LimitReader(r, buffer.Free))
	if err != nil || len(body) < buffer.Free {
		return body, err == nil, release, err
	}
	if !c.server.buffers.TryAcquire(maxBuffered) {
		return body, false, release, nil
	}
	release = func() { c.server.buffers.Release(maxBuffered) }
	var long bytes.Buffer
	long.Grow(maxBuffered)
	_, _ = long.Write(body) // Writes to a buffer never fail.
	_, err = long.ReadFrom(io.LimitReader(r, int64(maxBuffered-len(body))))
	return long.Bytes(), err == nil && long.Len() < maxBuffered, release, err
}

// shouldRetryFailure reports whether another attempt is worthwhile after an error of the server b.
func (c *call) shouldRetryFailure(b *balance.Backend) bool {
	return c.route.Retryable() && c.sentAttempts()+1 < c.route.MaxAttempts &&
		c.server.opts.Fleet.HasAlternative(c.service, b, c.regions) && time.Until(c.deadline) > minRetryTime
}

// minRetryTime is the remaining time below which another attempt is not worth its cost.
const minRetryTime = 20 * time.Millisecond

func (c *call) relayRemainder(resp *exchange.Response, a *attempt) {
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		a.outcome, a.detail = balance.Failed, "the answer broke off: "+err.Error()
		c.fail(&Failure{Status: http.StatusBadGateway, Reason: reasonBackendFailed, Detail: a.detail})
	}
	resp.MarkComplete()
}

// copyHeaders relays the status and the headers.
func (c *call) copyHeaders(resp *http.Response, complete bool, size int) {
	exchange.RemoveHopByHopHeaders(resp.Header)
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Prevents net/http from detecting a content type.
	}
	if complete {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
	c.responseStarted = true
}
