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

// maxBuffered is the largest answer that is held back until it is whole. A larger one is passed on as it arrives.
const maxBuffered = 256 << 10

func isStream(ans *exchange.Response) bool {
	return strings.HasPrefix(ans.Header.Get("Content-Type"), "text/event-stream")
}

// relayBody passes on a plain answer, whole or not at all unless it is large. It returns false when the answer broke
// off, or is a failure of a request that may be sent to another server.
func (c *call) relayBody(ctx context.Context, ans *exchange.Response, a *attempt) bool {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxBuffered))
	if err != nil {
		a.outcome, a.detail = balance.Failed, "the answer broke off: "+err.Error()
		if ctx.Err() != nil {
			a.outcome = balance.Abandoned
		}
		return false
	}
	whole := len(body) < maxBuffered
	if whole {
		ans.MarkComplete()
	}
	if ans.StatusCode >= http.StatusInternalServerError {
		a.outcome, a.detail = balance.Failed, "status "+strconv.Itoa(ans.StatusCode)
		if c.repeatFailure() {
			return false
		}
	}
	c.copyHead(ans.Response, whole, len(body))
	if _, err := c.w.Write(body); err != nil {
		a.detail = "the caller's connection: " + err.Error()
		return true
	}
	if !whole {
		c.relayRest(ans, a)
	}
	c.finished = true
	return true
}

// repeatFailure says whether an answer by which the server failed the request is worth a second send.
func (c *call) repeatFailure() bool {
	return c.route.Repeatable() && c.sent()+1 < c.route.MaxAttempts && c.server.opts.Fleet.Usable(c.service) > 1 &&
		time.Until(c.expires) > minRepeatTime
}

// minRepeatTime is the time left without which a second send is not worth its cost.
const minRepeatTime = 20 * time.Millisecond

func (c *call) relayRest(ans *exchange.Response, a *attempt) {
	if _, err := io.Copy(c.w, ans.Body); err != nil {
		a.outcome, a.detail = balance.Failed, "the answer broke off: "+err.Error()
		c.fail(&Failure{Status: http.StatusBadGateway, Reason: reasonBroken, Detail: a.detail})
	}
	ans.MarkComplete()
}

// copyHead passes on status and headers.
func (c *call) copyHead(resp *http.Response, whole bool, size int) {
	exchange.RemoveHopByHopHeaders(resp.Header)
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Otherwise the HTTP server guesses one.
	}
	if whole {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
	c.begun = true
}

// relayStream passes on a stream event by event. It returns false when the stream broke off and may go on at another
// server.
func (c *call) relayStream(ctx context.Context, ans *exchange.Response, a *attempt) bool {
	r := streamRelay{call: c, ans: ans, a: a, backend: a.backend, last: time.Now()}
	err := r.run()
	switch {
	case errors.Is(err, io.EOF):
		ans.MarkComplete()
		if !c.begun {
			c.copyHead(ans.Response, false, 0) // Nothing was left of a stream that the caller has resumed.
		}
		c.finished = true
		return true
	case r.callerLeft:
		a.outcome, a.detail = balance.Abandoned, "the caller's connection: "+err.Error()
		c.failure = c.ended(true)
		c.status = statusCallerLeft
		return true
	case ctx.Err() != nil:
		a.outcome, a.detail = balance.Abandoned, context.Cause(ctx).Error()
		return false
	}
	a.outcome, a.detail = balance.Failed, "the stream broke off: "+err.Error()
	return false
}

// streamRelay passes on the events of one answer.
type streamRelay struct {
	call       *call
	ans        *exchange.Response
	a          *attempt
	backend    *balance.Backend
	last       time.Time
	callerLeft bool
}

// run returns io.EOF at the end of a whole stream.
func (s *streamRelay) run() error {
	reader := sse.NewReader(s.ans.Body)
	for {
		e, err := reader.Next()
		if err != nil {
			return err
		}
		if skip, err := s.check(e); err != nil || skip {
			if err != nil {
				return err
			}
			continue
		}
		if err := s.pass(e); err != nil {
			s.callerLeft = true
			return err
		}
	}
}

// check says whether an event was passed on before. It fails with a *sse.FormatError when an event is missing.
func (s *streamRelay) check(e sse.Event) (skip bool, err error) {
	if !e.HasNumericID || s.call.lastID == "" {
		return false, nil
	}
	last, err := strconv.ParseInt(s.call.lastID, 10, 64)
	if err != nil {
		return false, nil //nolint:nilerr // The ids of this stream are not numbers, so they have no order.
	}
	switch {
	case e.NumericID <= last:
		return true, nil
	case e.NumericID > last+1:
		return false, &sse.FormatError{Problem: "events are missing after " + s.call.lastID}
	}
	return false, nil
}

func (s *streamRelay) pass(e sse.Event) error {
	c := s.call
	now := time.Now()
	if !c.begun {
		c.copyHead(s.ans.Response, false, 0)
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
	c.observe(now, now.Sub(s.last))
	s.last = now
	if e.ID != "" {
		c.lastID = e.ID
	}
	c.events++
	return nil
}

// observe takes the time of an event for the limit of the group.
func (c *call) observe(now time.Time, pause time.Duration) {
	if c.events == 0 {
		c.firstAt = now.Sub(c.arrived)
	} else {
		c.longest = max(c.longest, pause)
	}
	switch {
	case c.place == nil:
	case c.events == 0:
		c.place.ObserveFirstEvent(c.firstAt-c.queued, now)
	default:
		c.place.ObserveGap(pause, c.route.MaxGap, now)
	}
}
