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
)

// forward sends the request to servers until one has responded to it or no further attempt is allowed.
func (c *call) forward(ctx context.Context) {
	budget := c.server.budget(c.service)
	budget.CountRequest(c.arrived)
	for {
		backend, err := c.choose(ctx)
		if err != nil {
			c.fail(c.finalFailure(ctx, err))
			return
		}
		if f := c.claimProbes(ctx); f != nil {
			c.fail(f)
			return
		}
		if len(c.attempts) > 0 && !c.moved.Swap(false) && !budget.TryRetry(time.Now()) {
			c.fail(c.finalFailure(ctx, &RetryBudgetError{}))
			return
		}
		if c.try(ctx, backend) {
			return
		}
		c.examineCrash(ctx)
		if ctx.Err() != nil {
			c.fail(c.contextFailure(c.mayHaveExecuted()))
			return
		}
		if !c.mayRetry() {
			c.fail(c.finalFailure(ctx, &NotRetryableError{}))
			return
		}
	}
}

// RetryBudgetError reports that the retry budget is exhausted.
type RetryBudgetError struct{}

func (e *RetryBudgetError) Error() string { return "the budget of repeated requests is used up" }

// NotRetryableError reports that the request must not be sent to another server.
type NotRetryableError struct{}

func (e *NotRetryableError) Error() string { return "the request must not be sent to another server" }

// GroupNotServingError reports that the group of a request's permit does not serve and that no other group has
// capacity.
type GroupNotServingError struct{ Group string }

func (e *GroupNotServingError) Error() string {
	return "group " + e.Group + " does not serve, and no other has room"
}

// choose returns the server for the next attempt. It moves a stream to another group if its group can no longer serve
// it.
func (c *call) choose(ctx context.Context) (*balance.Backend, error) {
	if c.permit == nil {
		return c.pick()
	}
	retrying := len(c.attempts) > 0
	if c.permit.GroupNotServing() || (retrying && c.permit.GroupStalled()) {
		if !c.changeGroup(ctx) && (c.permit.GroupNotServing() || c.permit.GroupStalled()) {
			return nil, &GroupNotServingError{Group: c.permit.Group()}
		}
	}
	backend, err := c.pick()
	if err != nil && c.changeGroup(ctx) {
		return c.pick()
	}
	return backend, err
}

func (c *call) pick() (*balance.Backend, error) {
	group := ""
	if c.permit != nil {
		group = c.permit.Group()
	}
	tried := make([]*balance.Backend, len(c.attempts))
	for i, a := range c.attempts {
		tried[i] = a.backend
	}
	return c.server.opts.Fleet.Pick(balance.PickOptions{
		Service: c.service, HasGroup: c.permit != nil, Group: group, Tokens: c.tokenCost(), Tried: tried,
		Random: c.server.opts.Random, Now: time.Now(),
	})
}

// promptTokenWeight is the cost of prefilling a prompt token relative to generating a token.
const promptTokenWeight = 0.05

func (c *call) tokenCost() int {
	return c.meta.MaxTokens + int(promptTokenWeight*float64(c.meta.PromptTokens))
}

// mayHaveExecuted reports whether a server may have executed the request.
func (c *call) mayHaveExecuted() bool {
	for _, a := range c.attempts {
		if a.mayHaveExecuted {
			return true
		}
	}
	return false
}

// sentAttempts returns the number of attempts that reached a server.
func (c *call) sentAttempts() int {
	n := 0
	for _, a := range c.attempts {
		if a.outcome != balance.Unreachable && a.outcome != balance.Withdrawn {
			n++
		}
	}
	return n
}

// maxUnsentAttempts limits the attempts that fail before the request is sent.
const maxUnsentAttempts = 3

// mayRetry reports whether the request may be sent to another server.
func (c *call) mayRetry() bool {
	if n := len(c.attempts); n > 0 && c.attempts[n-1].suspected {
		return false
	}
	if c.sentAttempts() >= c.route.MaxAttempts || len(c.attempts)-c.sentAttempts() >= maxUnsentAttempts {
		return false
	}
	return c.route.Retryable() || !c.mayHaveExecuted()
}

// finalFailure returns the failure of a request that is not sent to another server. cause is the reason why it is not.
func (c *call) finalFailure(ctx context.Context, cause error) *Failure {
	if ctx.Err() != nil {
		return c.contextFailure(c.mayHaveExecuted())
	}
	detail := cause.Error()
	if n := len(c.attempts); n > 0 {
		detail += "; the last server: " + c.attempts[n-1].detail
	}
	var notServing *GroupNotServingError
	suspended := c.server.opts.Fleet.SuspendedFor(c.service, time.Now())
	switch {
	case errors.As(cause, &notServing) && !c.mayHaveExecuted():
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonNoGroup, Detail: detail,
			RetryAfter: c.lateRetryAfter(c.groupFormTime()),
		}
	case c.mayHaveExecuted():
		return &Failure{Status: http.StatusBadGateway, Reason: reasonBackendFailed, Detail: detail}
	case suspended > 0:
		return c.suspensionFailure(suspended, detail)
	case len(c.attempts) == 0:
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonNoServer, Detail: detail,
			RetryAfter: c.retryAfter(noServerRetryAfter),
		}
	}
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonRefusedByServer, Detail: detail,
		RetryAfter: c.retryAfter(refusedRetryAfter),
	}
}

// suspensionFailure returns the failure of a request to a service whose servers are all suspended.
func (c *call) suspensionFailure(suspended time.Duration, detail string) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonServersRefusing, Detail: detail,
		RetryAfter: c.retryAfterSuspension(suspended),
	}
}

const (
	// noServerRetryAfter is the approximate time after which a lost server is listed again or replaced.
	noServerRetryAfter = time.Second
	// refusedRetryAfter is the time after which a server at capacity is expected to accept requests again.
	refusedRetryAfter = 300 * time.Millisecond
)

// try sends the request to one server and relays the response. It returns false if the caller still needs a response
// from another attempt.
func (c *call) try(ctx context.Context, b *balance.Backend) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.moveWhenDegraded(b, cancel)()
	tokens := c.tokenCost()
	started := time.Now()
	b.Begin(tokens, started)
	server := b.Server()
	a := attempt{
		backend: b, server: server.ID, incarnation: incarnation(server), mayHaveExecuted: true, sentAt: started, unwatch: c.watchQuarantine(cancel),
	}
	defer a.unwatch()
	result := c.roundTrip(ctx, b, &a)
	now := time.Now()
	latency := time.Duration(0)
	if !result.firstByte.IsZero() {
		latency = result.firstByte.Sub(started)
	}
	b.End(tokens, a.outcome, latency, now)
	c.attempts = append(c.attempts, a)
	return result.responded
}

// movedError is the cancellation cause of an attempt whose server became slow or silent.
type movedError struct{}

func (movedError) Error() string {
	return "the server has turned slow or silent; the stream goes on at another one"
}

// moveWhenDegraded cancels the attempt when its server becomes slow or silent, if the stream can continue on another
// server. It does so until unregister is called.
func (c *call) moveWhenDegraded(b *balance.Backend, cancel context.CancelCauseFunc) (unregister func()) {
	if c.route.Kind != catalog.Stream || !c.route.Retryable() || c.sentAttempts()+1 >= c.route.MaxAttempts {
		return func() {}
	}
	return b.OnDegraded(func() {
		if c.canMove() && c.server.budget(c.service).TryRetry(time.Now()) {
			c.moved.Store(true)
			cancel(movedError{})
		}
	})
}

// canMove reports whether another server could serve a stream whose server is slow or silent. While its whole group is
// stalled or does not serve, that must be a server of another group.
func (c *call) canMove() bool {
	if c.permit != nil && (c.permit.GroupStalled() || c.permit.GroupNotServing()) {
		return c.permit.OtherGroupUsable()
	}
	return c.server.opts.Fleet.CountNotLeaving(c.service) > 1
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// responded is true if the response was relayed or the caller has disconnected, so that no further attempt is made.
	responded bool
	firstByte time.Time
}

func (c *call) roundTrip(ctx context.Context, b *balance.Backend, a *attempt) attemptResult {
	req := c.newRequest(a.server)
	req.ShouldSend = func() bool { return b.Accepts(time.Now()) }
	sent := time.Now()
	resp, err := b.Pool.Do(ctx, req)
	if err != nil {
		c.recordError(ctx, err, a)
		return attemptResult{}
	}
	defer resp.Close()
	c.applyResponseInfo(resp, b, a)
	if resp.Info.NotExecuted {
		c.recordRefusal(resp, b, a)
		return attemptResult{}
	}
	firstByte := time.Now()
	b.ObserveActivity(firstByte)
	if resp.StatusCode != http.StatusServiceUnavailable {
		b.ObserveAccepted(sent)
	}
	if isStream(resp) && resp.StatusCode == http.StatusOK {
		return attemptResult{responded: c.relayStream(ctx, resp, a), firstByte: firstByte}
	}
	if c.responseStarted {
		a.outcome, a.detail = balance.Failed, "the stream was not continued: status "+strconv.Itoa(resp.StatusCode)
		return attemptResult{firstByte: firstByte}
	}
	return attemptResult{responded: c.relayBody(ctx, resp, a), firstByte: firstByte}
}

// applyResponseInfo records that the server is leaving, and suspends it for the Retry-After of a 503 response. A
// response from another server at the same address is ignored.
func (c *call) applyResponseInfo(resp *exchange.Response, b *balance.Backend, a *attempt) {
	info := resp.Info
	if resp.StatusCode == http.StatusMisdirectedRequest && info.FaultyServer != a.server {
		return
	}
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
func (c *call) recordError(ctx context.Context, err error, a *attempt) {
	a.detail = err.Error()
	var unreachable *exchange.UnreachableError
	var withdrawn *exchange.WithdrawnError
	switch {
	case errors.As(err, &withdrawn):
		a.outcome, a.mayHaveExecuted = balance.Withdrawn, false
	case errors.As(err, &unreachable):
		a.outcome, a.mayHaveExecuted = balance.Unreachable, false
		if ctx.Err() != nil {
			a.outcome = balance.Abandoned
		}
	case ctx.Err() != nil:
		a.outcome = balance.Abandoned
	default:
		var broken *exchange.BrokenError
		a.outcome, a.broken = balance.Failed, errors.As(err, &broken)
	}
}

// newRequest returns the request to send to a server.
func (c *call) newRequest(server string) *exchange.Request {
	h := c.r.Header.Clone()
	exchange.RemoveHopByHopHeaders(h)
	priority := c.route.Priority
	attempt := exchange.Attempt{
		Server: server, Remaining: time.Until(c.deadline), Priority: &priority, LastEventID: c.lastEventID,
	}
	if c.customer != nil {
		attempt.Customer = c.customer.Name
		if c.customer.Priority != nil {
			priority = *c.customer.Priority
		}
	}
	c.server.opts.Dialect.SetAttemptHeaders(h, attempt)
	return &exchange.Request{
		ID: c.meta.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.hasBody,
	}
}
