package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/limit"
)

// admit acquires a permit for a stream if its service has model engines. Other requests need no permit. Requests to a
// service whose servers are all evacuated, suspended, at a bound on their requests or outside the allowed regions, and
// prompts with a quarantined part, are refused immediately.
func (c *call) admit(ctx context.Context) *Failure {
	if f := c.checkQuarantine(); f != nil {
		return f
	}
	if f := c.serversUnavailable(); f != nil {
		return f
	}
	service := c.catalog.Service(c.service)
	if c.route.Kind != catalog.Stream || service == nil || service.Engine == nil {
		return nil
	}
	q := c.server.queue(c.service)
	permit, err := q.Acquire(ctx, c.acquireOptions(q))
	c.queueTime = time.Since(c.arrived)
	if err != nil {
		return c.admissionFailure(q, err)
	}
	c.permit, c.admission = permit, admitted
	return nil
}

// serversUnavailable returns the failure of a request to a service whose servers are all evacuated, suspended, or at a
// bound on their requests, or without a usable server in the allowed regions.
func (c *call) serversUnavailable() *Failure {
	if c.server.opts.Fleet.IsEvacuated(c.service) {
		return c.evacuationFailure("all servers of the service are in evacuated failure domains")
	}
	if !c.server.opts.Fleet.HasServerIn(c.service, c.regions) {
		return c.regionFailure("no server of the service is in an allowed region")
	}
	if suspended := c.server.opts.Fleet.SuspendedFor(c.service, time.Now()); suspended > 0 {
		return c.suspensionFailure(suspended, "no server of the service takes requests at present")
	}
	if wait := c.server.opts.Fleet.BoundFor(c.service, c.regions, time.Now()); wait > 0 {
		return c.boundFailure(wait, "each server of the service has got as many requests as it may get at present")
	}
	return nil
}

// boundFailure returns the failure of a request to a service whose servers have got as many requests from this gateway as
// the bounds on cold servers and the rate limits permit, or are suspended.
func (c *call) boundFailure(wait time.Duration, detail string) *Failure {
	f := &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonServersCold, Detail: detail, RetryAfter: c.retryAfter(wait),
	}
	if c.server.opts.Fleet.HasLimitedServer(c.service, c.regions, time.Now()) {
		f.Reason, f.RetryAfter = reasonServersLimited, max(wait, f.RetryAfter)
	}
	return f
}

// admission is the result of a stream's request for a permit.
type admission uint8

const (
	notAsked admission = iota
	admitted
	refused
)

// priority returns the priority of the request: that of its customer, or that of the route if the customer has none.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

const (
	// silenceTimeout is the time without events, the time to the first one included, after which callers abandon a
	// stream. If silenceObjectives times the route's objective or silenceGaps times its target gap is longer, the
	// longest of the three applies.
	silenceTimeout    = 2 * time.Second
	silenceObjectives = 4
	silenceGaps       = 8
	// durationMargin is the factor by which a stream may exceed the mean stream duration and still end in time.
	durationMargin = 1.2
	// firstEventMargin is the factor by which the latency of the first event may exceed its mean.
	firstEventMargin = 1.5
	// maxWaitFraction is the largest fraction of its remaining time for which a caller that can still retry is kept
	// waiting.
	maxWaitFraction = 0.3
)

// acquireOptions returns how long the stream may wait for a permit, and whether it is a retry.
func (c *call) acquireOptions(q *limit.Queue) limit.AcquireOptions {
	remaining := time.Until(c.deadline)
	firstEvent := q.FirstEventLatency()
	elapsed := c.elapsedBefore()
	opts := limit.AcquireOptions{
		MaxOnTimeWait: c.route.Objective - elapsed - firstEvent, TargetGap: c.route.TargetGap, IsRetry: elapsed > 0,
		Priority: c.priority(), AllowedGroups: c.server.opts.Fleet.GroupsIn(c.service, c.regions),
	}
	opts.MaxWait = remaining - time.Duration(durationMargin*float64(q.StreamDuration()))
	if !opts.IsRetry {
		opts.MaxWait = min(opts.MaxWait, time.Duration(maxWaitFraction*float64(remaining)))
	}
	maxSilence := max(silenceTimeout, silenceObjectives*c.route.Objective, silenceGaps*c.route.TargetGap)
	opts.MaxWait = min(opts.MaxWait, maxSilence-time.Duration(firstEventMargin*float64(firstEvent)))
	opts.MaxOnTimeWait = min(opts.MaxOnTimeWait, remaining)
	return opts
}

// firstAttemptFraction is the smallest timeout of a caller's first attempt as a fraction of the longest timeout of
// the route. Callers of a route use somewhat different timeouts.
const firstAttemptFraction = 0.83

// elapsedBefore estimates the time that the caller has spent on earlier attempts, 0 on the first one. Callers of a
// route use about the same timeout, so one that has much less time left has tried before.
func (c *call) elapsedBefore() time.Duration {
	if !c.meta.HasTimeout {
		return 0
	}
	longest := c.server.longestTimeout(c.route.Name, c.meta.Timeout)
	if float64(c.meta.Timeout) >= firstAttemptFraction*float64(longest) {
		return 0
	}
	return longest - c.meta.Timeout
}

// longestTimeout returns the longest timeout that callers of a route have used, including the given one.
func (s *Server) longestTimeout(route string, timeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestTimeouts[route] = max(s.longestTimeouts[route], timeout)
	return s.longestTimeouts[route]
}

func (c *call) admissionFailure(q *limit.Queue, err error) *Failure {
	var refusal *limit.RefusedError
	if !errors.As(err, &refusal) {
		return c.contextFailure(false)
	}
	c.admission = refused
	if c.server.opts.Fleet.IsEvacuated(c.service) {
		return c.evacuationFailure(refusal.Error())
	}
	if !c.server.opts.Fleet.HasServerIn(c.service, c.regions) {
		return c.regionFailure(refusal.Error())
	}
	f := &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonOverloaded, Detail: refusal.Error(),
		RetryAfter: c.retryAfter(refusal.EstimatedWait),
	}
	switch {
	case refusal.NoGroup:
		f.Reason, f.RetryAfter = reasonNoGroup, c.lateRetryAfter(c.groupFormTime())
	case refusal.ByPriority:
		f.RetryAfter = c.competingRetryAfter(q, refusal.EstimatedWait)
	}
	return f
}

// evacuationFailure returns the failure of a request to a service whose servers are all in evacuated failure domains.
// The time at which the operator takes a domain back is unknown.
func (c *call) evacuationFailure(detail string) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonEvacuated, Detail: detail,
		RetryAfter: c.lateRetryAfter(noServerRetryAfter),
	}
}

// allowedRegions returns the regions to which the route and the customer restrict the request.
func (c *call) allowedRegions() balance.Regions {
	if c.customer == nil {
		return balance.IntersectRegions(c.route.AllowedRegions, nil)
	}
	return balance.IntersectRegions(c.route.AllowedRegions, c.customer.AllowedRegions)
}

// regionFailure returns the failure of a request to a service without a usable server in the allowed regions. The time
// at which one is listed is unknown.
func (c *call) regionFailure(detail string) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonNoRegion, Detail: detail,
		RetryAfter: c.lateRetryAfter(noServerRetryAfter),
	}
}

// groupFormTime returns the minimum time until a group of the service that does not serve can serve again.
func (c *call) groupFormTime() time.Duration {
	if s := c.catalog.Service(c.service); s != nil && s.Engine != nil && s.Engine.FormTime > 0 {
		return s.Engine.FormTime
	}
	return noServerRetryAfter
}

// changeGroup acquires a permit in another group for a stream whose group can no longer serve it. It returns false if
// no permit becomes free within the time that the stream may wait.
func (c *call) changeGroup(ctx context.Context) bool {
	if c.permit == nil {
		return false
	}
	return c.permit.Move(ctx, c.groupChangeOptions()) == nil
}

// groupChangeOptions returns the options of a permit in another group for a stream that has a permit.
func (c *call) groupChangeOptions() limit.AcquireOptions {
	opts := c.acquireOptions(c.server.queue(c.service))
	opts.MaxOnTimeWait, opts.IsRetry = 0, false
	opts.MaxWait = max(min(opts.MaxWait, groupChangeWait), 0)
	return opts
}

// groupChangeWait is the longest time that a stream waits for a permit in another group. Callers abandon streams that
// are silent for longer.
const groupChangeWait = 600 * time.Millisecond
