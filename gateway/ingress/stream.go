package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/sse"
)

// relayStream relays a stream event by event. It returns false if the stream was interrupted and may continue on
// another server.
func (c *call) relayStream(ctx context.Context, resp *exchange.Response, a *attempt) bool {
	r := streamRelay{call: c, resp: resp, attempt: a, lastEventAt: time.Now()}
	err := r.run()
	switch {
	case errors.Is(err, io.EOF) && !endsBeforeFirstEvent(resp, a):
		c.recordAnswer(a)
		resp.MarkComplete()
		if !c.responseStarted {
			c.copyHeaders(resp.Response, false, 0) // The caller resumed the stream after its last event.
		}
		c.completed = true
		c.observeLength()
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
	return resp.EndsWithConnection() && a.eventCount == 0
}

// streamRelay relays the events of one response.
type streamRelay struct {
	call               *call
	resp               *exchange.Response
	attempt            *attempt
	lastEventAt        time.Time
	callerDisconnected bool
}

// run relays events until the stream ends. It returns io.EOF if the stream is complete.
func (s *streamRelay) run() error {
	reader := sse.NewReader(s.resp.Body, s.call.server.buffers)
	defer reader.Close()
	for {
		e, err := reader.Next()
		if err != nil {
			return err
		}
		if s.alreadyRelayed(e) {
			continue
		}
		if !s.call.handover.lockPosition() {
			return movedError{}
		}
		err = s.relayEvent(e)
		s.call.handover.unlockPosition()
		if err != nil {
			s.callerDisconnected = true
			return err
		}
	}
}

// alreadyRelayed reports whether the caller has received an event before. The IDs of a stream increase, by any amounts:
// an event may hold several tokens, and its ID may count them. A gap therefore does not show that an event is missing.
func (s *streamRelay) alreadyRelayed(e sse.Event) bool {
	last := s.call.lastEventID
	if e.ID == "" || last == "" {
		return false
	}
	if order, ok := sse.CompareIDs(e.ID, last); ok {
		return order <= 0
	}
	return e.ID == last
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
	s.attempt.observeActivity(now)
	c.observeEvent(now, now.Sub(s.lastEventAt))
	s.lastEventAt = now
	s.attempt.eventCount++
	c.observeAnswerProgress(s.attempt)
	c.positionUnknown = e.ID == ""
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
