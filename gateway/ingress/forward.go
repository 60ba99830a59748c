package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/limit"
)

// forward sends the request to servers until one has responded to it or no further attempt is allowed.
func (c *call) forward(ctx context.Context) {
	budget := c.server.budget(c.service)
	budget.CountRequest(c.arrived)
	c.work = c.estimateWork()
	defer c.abandonHandover()
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
		if f := c.stoppingFailure(time.Now()); f != nil && !c.mayHaveExecuted() {
			c.fail(f)
			return
		}
		if len(c.attempts) > 0 && !budget.TryRetry(time.Now()) {
			c.fail(c.finalFailure(ctx, &RetryBudgetError{}))
			return
		}
		if c.tryAndContinue(ctx, backend) {
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

// tryAndContinue sends the request to one server and relays the response. A stream continues at the servers to which it is
// handed over. It returns false if the caller still needs a response from another attempt.
func (c *call) tryAndContinue(ctx context.Context, b *balance.Backend) (responded bool) {
	responded = c.try(ctx, b)
	for !responded {
		c.examineCrashes(ctx)
		next := c.handover.take()
		if next == nil {
			return false
		}
		responded = c.complete(ctx, next)
	}
	return true
}

// abandonHandover ends the attempt at a server that was to continue the stream, if there is one.
func (c *call) abandonHandover() {
	if c.handover != nil {
		c.handover.abandon()
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
	return c.server.opts.Fleet.Pick(c.pickOptions(c.permit))
}

// pickOptions returns the options of the choice of a server that the request has not reached before, in the group of a
// permit if the request has one.
func (c *call) pickOptions(permit *limit.Permit) balance.PickOptions {
	group := ""
	if permit != nil {
		group = permit.Group()
	}
	tried := make([]*balance.Backend, len(c.attempts))
	for i, a := range c.attempts {
		tried[i] = a.backend
	}
	return balance.PickOptions{
		Service: c.service, HasGroup: permit != nil, Group: group, Tokens: c.tokenCost(), Tried: tried,
		Work:    c.work.pickWork(),
		Regions: c.regions,
		Random:  c.server.opts.Random, Now: time.Now(),
	}
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

// sentAttempts returns the number of attempts that reached a server, without those at servers that refused to continue a
// stream: the stream still needs its attempts if its own server fails.
func (c *call) sentAttempts() int {
	n := 0
	for _, a := range c.attempts {
		if a.outcome != balance.Unreachable && a.outcome != balance.Withdrawn && !a.notRun {
			n++
		}
	}
	return n
}

// maxUnsentAttempts limits the attempts that fail before the request is sent.
const maxUnsentAttempts = 3

// mayRetry reports whether the request may be sent to another server.
func (c *call) mayRetry() bool {
	if slices.ContainsFunc(c.attempts, func(a attempt) bool { return a.suspected }) || c.positionUnknown {
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
	now := time.Now()
	suspended, bounded := c.server.opts.Fleet.SuspendedFor(c.service, now), c.server.opts.Fleet.BoundFor(c.service, c.regions, now)
	switch {
	case c.server.opts.Fleet.IsEvacuated(c.service) && !c.mayHaveExecuted():
		return c.evacuationFailure(detail)
	case !c.mayHaveExecuted() && !c.server.opts.Fleet.HasServerIn(c.service, c.regions):
		return c.regionFailure(detail)
	case errors.As(cause, &notServing) && !c.mayHaveExecuted():
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonNoGroup, Detail: detail,
			RetryAfter: c.lateRetryAfter(c.groupFormTime()),
		}
	case c.mayHaveExecuted():
		return &Failure{Status: http.StatusBadGateway, Reason: reasonBackendFailed, Detail: detail}
	case suspended > 0:
		return c.suspensionFailure(suspended, detail)
	case bounded > 0:
		return c.boundFailure(bounded, detail)
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
