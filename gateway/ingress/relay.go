package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/sse"
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		a.outcome, a.detail = balance.Failed, "the answer broke off: "+err.Error()
		a.broken, a.answerBegun = true, true
		if ctx.Err() != nil {
			a.outcome = balance.Abandoned
		}
		return false
	}
	complete := len(body) < maxBuffered
	if complete {
		resp.MarkComplete()
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome, a.detail = balance.Failed, "status "+strconv.Itoa(resp.StatusCode)
		if c.shouldRetryFailure() {
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

// shouldRetryFailure reports whether another attempt is worthwhile after a server error.
func (c *call) shouldRetryFailure() bool {
	return c.route.Retryable() && c.sentAttempts()+1 < c.route.MaxAttempts &&
		c.server.opts.Fleet.CountNotLeaving(c.service) > 1 && time.Until(c.deadline) > minRetryTime
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

// relayStream relays a stream event by event. It returns false if the stream was interrupted and may continue on
// another server.
func (c *call) relayStream(ctx context.Context, resp *exchange.Response, a *attempt) bool {
	r := streamRelay{call: c, resp: resp, attempt: a, backend: a.backend, lastEventAt: time.Now()}
	err := r.run()
	switch {
	case errors.Is(err, io.EOF) && !endsBeforeFirstEvent(resp, a):
		c.recordAnswer(a)
		resp.MarkComplete()
		if !c.responseStarted {
			c.copyHeaders(resp.Response, false, 0) // The caller resumed the stream after its last event.
		}
		c.completed = true
		return true
	case r.callerDisconnected:
		a.outcome, a.detail = balance.Abandoned, "the caller's connection: "+err.Error()
		c.failure = c.contextFailure(true)
		c.status = statusClientClosedRequest
		return true
	case ctx.Err() != nil:
		a.outcome, a.detail = balance.Abandoned, context.Cause(ctx).Error()
		return false
	}
	a.outcome, a.detail = balance.Failed, "the stream broke off after "+strconv.Itoa(a.eventCount)+" events: "+err.Error()
	a.broken, a.answerBegun = true, true
	return false
}

// endsBeforeFirstEvent reports whether a stream ended with its connection and has no event. It has no length, so that
// nothing shows that it is complete.
func endsBeforeFirstEvent(resp *exchange.Response, a *attempt) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return !framed && a.eventCount == 0
}

// streamRelay relays the events of one response.
type streamRelay struct {
	call               *call
	resp               *exchange.Response
	attempt            *attempt
	backend            *balance.Backend
	lastEventAt        time.Time
	callerDisconnected bool
}

// run relays events until the stream ends. It returns io.EOF if the stream is complete.
func (s *streamRelay) run() error {
	reader := sse.NewReader(s.resp.Body)
	for {
		e, err := reader.Next()
		if err != nil {
			return err
		}
		if skip, err := s.checkOrder(e); err != nil || skip {
			if err != nil {
				return err
			}
			continue
		}
		if err := s.relayEvent(e); err != nil {
			s.callerDisconnected = true
			return err
		}
	}
}

// checkOrder reports whether an event must be skipped because it was already relayed. It fails with a *sse.FormatError
// if an event is missing.
func (s *streamRelay) checkOrder(e sse.Event) (skip bool, err error) {
	if !e.HasNumericID || s.call.lastEventID == "" {
		return false, nil
	}
	last, err := strconv.ParseInt(s.call.lastEventID, 10, 64)
	if err != nil {
		return false, nil //nolint:nilerr // The IDs of this stream are not numeric, so they have no order.
	}
	switch {
	case e.NumericID <= last:
		return true, nil
	case e.NumericID > last+1:
		return false, &sse.FormatError{Problem: "events are missing after " + s.call.lastEventID}
	}
	return false, nil
}

func (s *streamRelay) relayEvent(e sse.Event) error {
	c := s.call
	now := time.Now()
	if !c.responseStarted {
		c.copyHeaders(s.resp.Response, false, 0)
	}
	if _, err := c.w.Write(e.Raw); err != nil {
		return err
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return err
	}
	if !e.HasContent {
		return nil
	}
	s.backend.ObserveActivity(now)
	c.observeEvent(now, now.Sub(s.lastEventAt))
	s.lastEventAt = now
	s.attempt.eventCount++
	c.observeAnswerProgress(s.attempt)
	if e.ID != "" {
		c.lastEventID = e.ID
	}
	c.eventCount++
	return nil
}

// observeEvent records the latency of the first event or the gap before a later one, also in the limiter of the group.
func (c *call) observeEvent(now time.Time, gap time.Duration) {
	if c.eventCount == 0 {
		c.firstEventLatency = now.Sub(c.arrived)
	} else {
		c.longestGap = max(c.longestGap, gap)
	}
	switch {
	case c.permit == nil:
	case c.eventCount == 0:
		c.permit.ObserveFirstEvent(c.firstEventLatency-c.queueTime, now)
	default:
		c.permit.ObserveGap(gap, c.route.TargetGap, now)
	}
}
