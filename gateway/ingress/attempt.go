package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/workload"
)

// attempt is one attempt to forward the request to a server.
type attempt struct {
	// ctx ends with the attempt. cancel gives the attempt up.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// from is the position of the stream from which the server continues.
	from    streamPosition
	backend *balance.Backend
	server  string
	// incarnation identifies the run of the server.
	incarnation catalog.Incarnation
	outcome     balance.Outcome
	// mayHaveExecuted is false if the server reported that it did not execute the request, or if the request was not
	// sent.
	mayHaveExecuted bool
	// sent is set just before the request is written.
	sent bool
	// broken is set if the server ended the exchange before the response was complete, answerBegun if it had sent the
	// header of a response by then.
	broken, answerBegun bool
	// absence is what the attempt shows of whether the server is at its address.
	absence balance.Absence
	// eventCount counts the events of this attempt with content.
	eventCount int
	tokens     int
	// firstByteAt is when the server has begun to respond, zero before. response is nil until then.
	sentAt, firstByteAt time.Time
	response            *exchange.Response
	// progress tracks the work of the attempt, nil if the request has no estimate.
	progress *workload.Progress
	// notRun is set if the server refused to continue a stream that another one was serving.
	notRun bool
	// suspected is set if the server crashed and a part of the prompt became a suspect.
	suspected bool
	// unwatch ends the watch for a block of the prompt's parts, endWork subtracts what is left of the work.
	unwatch, endWork func()
	// detail describes the outcome in the log, and in the response to the caller if the request fails.
	detail string
}

// streamPosition is how much of a stream the caller has received.
type streamPosition struct {
	lastEventID string
	eventCount  int
}

// position returns how much of the stream the caller has received.
func (c *call) position() streamPosition { return streamPosition{c.lastEventID, c.eventCount} }

// beginAttempt begins an attempt at a server, from a position of the stream on. It must be followed by one end of the attempt.
func (c *call) beginAttempt(ctx context.Context, b *balance.Backend, from streamPosition) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	tokens := c.tokenCost()
	b.Begin(tokens, now)
	server := b.Server()
	a := &attempt{
		ctx: ctx, cancel: cancel, from: from, backend: b, server: server.ID, incarnation: server.Incarnation(),
		tokens: tokens, mayHaveExecuted: true, sentAt: now, unwatch: c.watchQuarantine(cancel),
	}
	a.endWork = a.beginWork(c.work, from.eventCount)
	return a
}

// end ends the attempt and records its outcome at the server.
func (a *attempt) end() {
	a.unwatch()
	a.endWork()
	if !a.sent {
		a.backend.CancelSend()
	}
	latency := time.Duration(0)
	if !a.firstByteAt.IsZero() {
		latency = a.firstByteAt.Sub(a.sentAt)
	}
	a.backend.End(a.tokens, a.outcome, latency, time.Now())
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(nil)
}

// try sends the request to one server and relays the response. It returns false if the caller still needs a response
// from another attempt.
func (c *call) try(ctx context.Context, b *balance.Backend) bool {
	return c.complete(ctx, c.beginAttempt(ctx, b, c.position()))
}

// complete sends the request of an attempt, unless its server has accepted it already, and relays the response. It
// returns false if the caller still needs a response from another attempt. The attempt has then ended.
func (c *call) complete(ctx context.Context, a *attempt) (responded bool) {
	c.handover = c.watchServer(ctx, a)
	// A response that breaks off after its beginning was relayed ends this function with a panic, which cuts the caller's
	// connection.
	defer func() {
		unused := c.handover.settle(responded)
		a.end()
		c.server.reportAbsence(a)
		c.attempts = append(append(c.attempts, unused...), *a)
	}()
	if a.response == nil && !c.send(a) {
		return false
	}
	return c.relay(a)
}

// send sends the request of an attempt and reports whether its server has accepted it. If not, it sets the outcome.
func (c *call) send(a *attempt) (accepted bool) {
	b := a.backend
	req := c.newRequest(a)
	req.ShouldSend = func() bool {
		a.sent = b.IsIn(c.regions) && b.TrySend(time.Now())
		return a.sent
	}
	sent := time.Now()
	resp, err := b.Pool.Do(a.ctx, req)
	if err != nil {
		recordError(err, a)
		return false
	}
	a.response = resp
	if c.isForeign(resp, b) {
		a.recordForeign(resp)
		return false
	}
	if resp.Info.Signed && resp.Info.ID != "" && resp.StatusCode != http.StatusMisdirectedRequest {
		b.ConfirmAddress()
	}
	if a.mayBeElsewhere(resp) {
		a.absence = balance.NoAnswer // What the response says of a server applies to another one.
	} else {
		c.applyResponseInfo(resp, b, a)
	}
	if resp.Info.NotExecuted {
		c.recordRefusal(resp, b, a)
		return false
	}
	a.firstByteAt = time.Now()
	b.ObserveActivity(a.firstByteAt)
	if resp.StatusCode != http.StatusServiceUnavailable {
		b.ObserveAccepted(sent)
	}
	return true
}

// startsStream reports whether the server has responded with a stream.
func (a *attempt) startsStream() bool {
	return isStream(a.response) && a.response.StatusCode == http.StatusOK
}

// refuseContinuation sets the outcome of an attempt whose response cannot continue a stream.
func (a *attempt) refuseContinuation() {
	a.outcome, a.detail = balance.Failed, "the stream was not continued: status "+strconv.Itoa(a.response.StatusCode)
}

// relay relays the response of an attempt. It returns false if the caller still needs a response from another attempt.
func (c *call) relay(a *attempt) (responded bool) {
	switch {
	case a.startsStream():
		return c.relayStream(a.ctx, a.response, a)
	case c.responseStarted:
		a.refuseContinuation()
		return false
	case !c.handover.end(): // No other server can continue a body.
		a.outcome, a.detail = balance.Abandoned, movedError{}.Error()
		return false
	}
	return c.relayBody(a.ctx, a.response, a)
}

// applyResponseInfo records that the server is leaving and what it says of its rate limit, and suspends it for the
// Retry-After of a 503 response. A response from another server at the same address is ignored.
func (c *call) applyResponseInfo(resp *exchange.Response, b *balance.Backend, a *attempt) {
	info := resp.Info
	if resp.StatusCode == http.StatusMisdirectedRequest && info.FaultyServer != a.server {
		return
	}
	c.observeLimit(info.Limit, b, a)
	if info.Leaving && b.MarkLeaving() {
		c.server.opts.Log.Info("backend server says that it leaves", c.logFields(a)...)
		c.server.RefreshGroups()
	}
	if resp.StatusCode == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		b.Suspend(info.RetryAfter, time.Now())
		c.server.opts.Log.Info("backend server refuses requests for a while",
			append(c.logFields(a), zap.Duration("retry_after", info.RetryAfter))...)
	}
}

// observeLimit records what a response says of the rate limit of its server.
func (c *call) observeLimit(stated exchange.RateLimit, b *balance.Backend, a *attempt) {
	change := b.ObserveLimit(stated, time.Now())
	if change.Kind == balance.LimitUnchanged {
		return
	}
	c.server.opts.Log.Info("rate limit of a backend server changed", append(c.logFields(a),
		zap.Stringer("change", change.Kind), zap.Float64("old", change.Old), zap.Float64("new", change.New),
		zap.Int("share", change.Share), zap.Int("gateways", change.Gateways))...)
}

// logFields returns the log fields that identify an attempt.
func (c *call) logFields(a *attempt) []zap.Field {
	return []zap.Field{zap.String("server", a.server), zap.String("service", c.service), zap.String("request", c.meta.ID)}
}

// recordRefusal sets the outcome of an attempt whose request the server did not execute. It also marks the server's
// group as failed if the response reports that another server of the group is faulty.
func (c *call) recordRefusal(resp *exchange.Response, b *balance.Backend, a *attempt) {
	a.mayHaveExecuted = false
	a.outcome = balance.Refused
	if resp.StatusCode == http.StatusMisdirectedRequest {
		a.outcome = balance.Misdirected
		if resp.Info.FaultyServer != a.server {
			a.absence = balance.OtherAnswers
		}
	}
	a.detail = "status " + http.StatusText(resp.StatusCode) + ", not run"
	if fault := resp.Info.FaultyServer; fault != "" {
		a.detail += ", at fault: " + fault
		if fault != a.server && resp.StatusCode == http.StatusServiceUnavailable {
			c.server.handleGroupFailure(b, c.meta.ID, fault)
		}
	}
	resp.Drain()
}

// recordError sets the outcome of an attempt without a response.
func recordError(err error, a *attempt) {
	a.detail = err.Error()
	var unreachable *exchange.UnreachableError
	var withdrawn *exchange.WithdrawnError
	switch {
	case errors.As(err, &withdrawn):
		a.outcome, a.mayHaveExecuted = balance.Withdrawn, false
	case errors.As(err, &unreachable):
		a.outcome, a.mayHaveExecuted, a.absence = balance.Unreachable, false, balance.NoAnswer
		if a.ctx.Err() != nil {
			a.outcome, a.absence = balance.Abandoned, balance.NotAbsent
		}
	case a.ctx.Err() != nil:
		a.outcome = balance.Abandoned
		if time.Since(a.sentAt) >= absentAfter {
			a.absence = balance.NoAnswer
		}
	default:
		var broken *exchange.BrokenError
		a.outcome, a.broken, a.absence = balance.Failed, errors.As(err, &broken), balance.NoAnswer
	}
}

// newRequest returns the request to send to the server of an attempt.
func (c *call) newRequest(a *attempt) *exchange.Request {
	h := c.r.Header.Clone()
	exchange.RemoveHopByHopHeaders(h)
	priority := c.priority()
	attempt := exchange.Attempt{
		Server: a.server, Remaining: time.Until(c.deadline), Priority: &priority, LastEventID: a.from.lastEventID,
	}
	if c.customer != nil {
		attempt.Customer = c.customer.Name
	}
	c.server.opts.Dialect.SetAttemptHeaders(h, attempt)
	return &exchange.Request{
		ID: c.meta.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.hasBody,
	}
}
