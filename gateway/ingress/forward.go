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

// forward sends the request to servers until one has answered it or no further send is allowed.
func (c *call) forward(ctx context.Context) {
	budget := c.server.budget(c.service)
	budget.CountRequest(c.arrived)
	for {
		backend, err := c.choose(ctx)
		if err != nil {
			c.fail(c.finalFailure(ctx, err))
			return
		}
		if len(c.attempts) > 0 && !c.moved.Swap(false) && !budget.TryRetry(time.Now()) {
			c.fail(c.finalFailure(ctx, &RetryBudgetError{}))
			return
		}
		if c.try(ctx, backend) {
			return
		}
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

// RetryBudgetError says that the budget of repeated sends is used up.
type RetryBudgetError struct{}

func (e *RetryBudgetError) Error() string { return "the budget of repeated requests is used up" }

// NotRetryableError says that the request must not be sent again.
type NotRetryableError struct{}

func (e *NotRetryableError) Error() string { return "the request must not be sent to another server" }

// GroupUnavailableError says that the group of a request's place does not serve, and that no other has room.
type GroupUnavailableError struct{ Group string }

func (e *GroupUnavailableError) Error() string {
	return "group " + e.Group + " does not serve, and no other has room"
}

// choose returns the server for the next send, of another group if that of the stream's place cannot serve it.
func (c *call) choose(ctx context.Context) (*balance.Backend, error) {
	if c.permit == nil {
		return c.pick()
	}
	retrying := len(c.attempts) > 0
	if c.permit.GroupUnavailable() || (retrying && c.permit.GroupStalled()) {
		if !c.changeGroup(ctx) && (c.permit.GroupUnavailable() || c.permit.GroupStalled()) {
			return nil, &GroupUnavailableError{Group: c.permit.Group()}
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
		Service: c.service, HasGroup: c.permit != nil, Group: group, Tokens: c.tokenCost(), Tried: tried, Random: c.server.opts.Random, Now: time.Now(),
	})
}

// promptShare is what reading a prompt token costs a server, in tokens written.
const promptTokenWeight = 0.05

func (c *call) tokenCost() int {
	return c.meta.MaxTokens + int(promptTokenWeight*float64(c.meta.PromptTokens))
}

// mayHaveRun says whether a server may have run the request.
func (c *call) mayHaveExecuted() bool {
	for _, a := range c.attempts {
		if a.mayHaveExecuted {
			return true
		}
	}
	return false
}

// sent counts the servers that the request reached.
func (c *call) sentAttempts() int {
	n := 0
	for _, a := range c.attempts {
		if a.outcome != balance.Unreachable && a.outcome != balance.Withdrawn {
			n++
		}
	}
	return n
}

// maxUnreachable bounds the servers that a request is not sent to after they were chosen.
const maxUnsentAttempts = 3

// mayRepeat says whether the request may be sent to another server.
func (c *call) mayRetry() bool {
	if c.sentAttempts() >= c.route.MaxAttempts || len(c.attempts)-c.sentAttempts() >= maxUnsentAttempts {
		return false
	}
	return c.route.Repeatable() || !c.mayHaveExecuted()
}

// exhausted returns the failure of a request that is not sent to any further server.
func (c *call) finalFailure(ctx context.Context, why error) *Failure {
	if ctx.Err() != nil {
		return c.contextFailure(c.mayHaveExecuted())
	}
	detail := why.Error()
	if n := len(c.attempts); n > 0 {
		detail += "; the last server: " + c.attempts[n-1].detail
	}
	var closed *GroupUnavailableError
	suspended := c.server.opts.Fleet.SuspendedFor(c.service, time.Now())
	switch {
	case errors.As(why, &closed) && !c.mayHaveExecuted():
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

// heldFailure refuses a request to a service whose servers all take none for a time.
func (c *call) suspensionFailure(suspended time.Duration, detail string) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonServersRefusing, Detail: detail, RetryAfter: c.retryAfterSuspension(suspended),
	}
}

const (
	// noServerWait is about the time after which a lost server is back in the list or replaced.
	noServerRetryAfter = time.Second
	// refusedWait is the time that a full server needs to have room.
	refusedRetryAfter = 300 * time.Millisecond
)

// try sends the request to one server and passes its answer on. It returns false when the request may be sent to
// another server, as far as this one is concerned.
func (c *call) try(ctx context.Context, b *balance.Backend) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.moveWhenDegraded(b, cancel)()
	tokens := c.tokenCost()
	started := time.Now()
	b.Begin(tokens, started)
	a := attempt{backend: b, server: b.Server().ID, mayHaveExecuted: true}
	res := c.roundTrip(ctx, b, &a)
	now := time.Now()
	latency := time.Duration(0)
	if !res.firstByte.IsZero() {
		latency = res.firstByte.Sub(started)
	}
	b.End(tokens, a.outcome, latency, now)
	c.attempts = append(c.attempts, a)
	return res.responded
}

// movedError is the cause of a send that was ended because its server turned slow.
type movedError struct{}

func (movedError) Error() string {
	return "the server has turned slow or silent; the stream goes on at another one"
}

// moveInTrouble has the send ended when its server turns slow or silent, if the stream can go on at another server. It
// returns the end of that.
func (c *call) moveWhenDegraded(b *balance.Backend, cancel context.CancelCauseFunc) (unregister func()) {
	if c.route.Kind != catalog.Stream || !c.route.Repeatable() || c.sentAttempts()+1 >= c.route.MaxAttempts {
		return func() {}
	}
	return b.OnDegraded(func() {
		if c.canMove() && c.server.budget(c.service).TryRetry(time.Now()) {
			c.moved.Store(true)
			cancel(movedError{})
		}
	})
}

// elsewhere says whether a stream in trouble would be better off at another server. While its whole group stands still, that
// is one of another group.
func (c *call) canMove() bool {
	if c.permit != nil && (c.permit.GroupStalled() || c.permit.GroupUnavailable()) {
		return c.permit.OtherGroupUsable()
	}
	return c.server.opts.Fleet.Usable(c.service) > 1
}

// result is how one send ended.
type attemptResult struct {
	// answered says that the caller has its whole answer.
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
	first := time.Now()
	b.ObserveActivity(first)
	if resp.StatusCode != http.StatusServiceUnavailable {
		b.ObserveAccepted(sent)
	}
	if isStream(resp) && resp.StatusCode < http.StatusMultipleChoices {
		return attemptResult{responded: c.relayStream(ctx, resp, a), firstByte: first}
	}
	if c.responseStarted {
		a.outcome, a.detail = balance.Failed, "the stream was not continued: status "+strconv.Itoa(resp.StatusCode)
		return attemptResult{firstByte: first}
	}
	return attemptResult{responded: c.relayBody(ctx, resp, a), firstByte: first}
}

// takeVerdict takes what the server says of itself: that it leaves, or that it takes no requests for a while. The answer of another
// server at the address says neither of this one.
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

// logFields names a send in a log line.
func (c *call) logFields(a *attempt) []zap.Field {
	return []zap.Field{zap.String("server", a.server), zap.String("service", c.service), zap.String("request", c.meta.ID)}
}

// refused takes an answer by which the server says that it did not run the request.
func (c *call) recordRefusal(resp *exchange.Response, b *balance.Backend, a *attempt) {
	a.mayHaveExecuted = false
	a.outcome = balance.Refused
	if resp.StatusCode == http.StatusMisdirectedRequest {
		a.outcome = balance.Moved
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

// classify sets the outcome of a send that got no answer.
func (c *call) recordError(ctx context.Context, err error, a *attempt) {
	a.detail = err.Error()
	var connect *exchange.ConnectError
	var withdrawn *exchange.WithdrawnError
	switch {
	case errors.As(err, &withdrawn):
		a.outcome, a.mayHaveExecuted = balance.Withdrawn, false
	case errors.As(err, &connect):
		a.outcome, a.mayHaveExecuted = balance.Unreachable, false
		if ctx.Err() != nil {
			a.outcome = balance.Abandoned
		}
	case ctx.Err() != nil:
		a.outcome = balance.Abandoned
	default:
		a.outcome = balance.Failed
	}
}

// request returns what is sent to a server.
func (c *call) newRequest(server string) *exchange.Request {
	h := c.r.Header.Clone()
	exchange.RemoveHopByHopHeaders(h)
	priority := c.route.Priority
	attempt := exchange.Attempt{Server: server, Remaining: time.Until(c.deadline), Priority: &priority, LastEventID: c.lastEventID}
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
