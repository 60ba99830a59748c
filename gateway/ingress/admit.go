package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/limit"
)

// admit waits for a place at a group of model engines. Plain services queue by themselves. Requests to a service whose servers all
// take none for a while are refused at once.
func (c *call) admit(ctx context.Context) *Failure {
	if suspended := c.server.opts.Fleet.SuspendedFor(c.service, time.Now()); suspended > 0 {
		return c.suspensionFailure(suspended, "no server of the service takes requests at present")
	}
	service := c.catalog.Service(c.service)
	if c.route.Kind != catalog.Stream || service == nil || service.Engine == nil {
		return nil
	}
	q := c.server.queue(c.service)
	permit, err := q.Acquire(ctx, c.acquireOptions(q))
	c.queueTime = time.Since(c.arrived)
	if err != nil {
		return c.admissionFailure(err)
	}
	c.permit = permit
	return nil
}

const (
	// silence is the time after which callers give a stream up that shows nothing, first events included, unless the shares
	// below of the route's objective or pause are longer.
	silenceTimeout    = 2 * time.Second
	silenceObjectives = 4
	silenceGaps       = 8
	// holdMargin is by how much a stream may last longer than the mean one and still end in time.
	durationMargin = 1.2
	// firstMargin is the same for the time to the first event.
	firstEventMargin = 1.5
	// waitShare is the part of the time left that a caller which can come back is kept waiting at most.
	maxWaitShare = 0.3
)

// mayWait says for how long the stream may wait for a place.
func (c *call) acquireOptions(q *limit.Queue) limit.AcquireOptions {
	remaining := time.Until(c.deadline)
	firstEvent := q.FirstEventLatency()
	elapsed := c.elapsedBefore()
	opts := limit.AcquireOptions{MaxOnTimeWait: c.route.Objective - elapsed - firstEvent, TargetGap: c.route.MaxGap, IsRetry: elapsed > 0}
	opts.MaxWait = remaining - time.Duration(durationMargin*float64(q.StreamDuration()))
	if !opts.IsRetry {
		opts.MaxWait = min(opts.MaxWait, time.Duration(maxWaitShare*float64(remaining)))
	}
	patience := max(silenceTimeout, silenceObjectives*c.route.Objective, silenceGaps*c.route.MaxGap)
	opts.MaxWait = min(opts.MaxWait, patience-time.Duration(firstEventMargin*float64(firstEvent)))
	opts.MaxOnTimeWait = min(opts.MaxOnTimeWait, remaining)
	return opts
}

// returnedShare of the longest time that callers of a route give it is what one that comes for the first time has at least:
// callers differ in their patience.
const firstAttemptShare = 0.83

// usedBefore returns about the time that the caller has used with earlier attempts, 0 on the first one. Callers of a route give
// it about the same time, so that one which has much less has been here before.
func (c *call) elapsedBefore() time.Duration {
	if !c.meta.HasDeadline {
		return 0
	}
	longest := c.server.longestDeadline(c.route.Name, c.meta.Deadline)
	if float64(c.meta.Deadline) >= firstAttemptShare*float64(longest) {
		return 0
	}
	return longest - c.meta.Deadline
}

// usualDeadline returns the longest time that callers of a route have given it, this one included.
func (s *Server) longestDeadline(route string, deadline time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestDeadlines[route] = max(s.longestDeadlines[route], deadline)
	return s.longestDeadlines[route]
}

func (c *call) admissionFailure(err error) *Failure {
	var refused *limit.RefusedError
	if !errors.As(err, &refused) {
		return c.contextFailure(false)
	}
	f := &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonOverloaded, Detail: refused.Error(),
		RetryAfter: c.retryAfter(refused.EstimatedWait),
	}
	if refused.NoGroup {
		f.Reason, f.RetryAfter = reasonNoGroup, c.lateRetryAfter(c.groupFormTime())
	}
	return f
}

// formTime is the time that a group of the service takes at least until it serves again.
func (c *call) groupFormTime() time.Duration {
	if s := c.catalog.Service(c.service); s != nil && s.Engine != nil && s.Engine.FormTime > 0 {
		return s.Engine.FormTime
	}
	return noServerRetryAfter
}

// changeGroup takes a place in another group for a stream whose group cannot serve it any more. It returns false when there
// is none within the time that the caller waits.
func (c *call) changeGroup(ctx context.Context) bool {
	if c.permit == nil {
		return false
	}
	opts := c.acquireOptions(c.server.queue(c.service))
	opts.MaxOnTimeWait, opts.IsRetry = 0, false
	opts.MaxWait = max(min(opts.MaxWait, groupChangeWait), 0)
	return c.permit.Move(ctx, opts) == nil
}

// moveWait is how long a stream waits for a place in another group; callers give up what is silent for longer.
const groupChangeWait = 600 * time.Millisecond
