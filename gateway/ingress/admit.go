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
	if held := c.server.opts.Fleet.SuspendedFor(c.service, time.Now()); held > 0 {
		return c.heldFailure(held, "no server of the service takes requests at present")
	}
	service := c.catalog.Service(c.service)
	if c.route.Kind != catalog.Stream || service == nil || service.Engine == nil {
		return nil
	}
	q := c.server.queue(c.service)
	place, err := q.Acquire(ctx, c.mayWait(q))
	c.queued = time.Since(c.arrived)
	if err != nil {
		return c.notAdmitted(err)
	}
	c.place = place
	return nil
}

const (
	// silence is the time after which callers give a stream up that shows nothing, first events included, unless the shares
	// below of the route's objective or pause are longer.
	silence          = 2 * time.Second
	silenceObjective = 4
	silencePauses    = 8
	// holdMargin is by how much a stream may last longer than the mean one and still end in time.
	holdMargin = 1.2
	// firstMargin is the same for the time to the first event.
	firstMargin = 1.5
	// waitShare is the part of the time left that a caller which can come back is kept waiting at most.
	waitShare = 0.3
)

// mayWait says for how long the stream may wait for a place.
func (c *call) mayWait(q *limit.Queue) limit.AcquireOptions {
	left := time.Until(c.expires)
	first := q.FirstEventLatency()
	used := c.usedBefore()
	w := limit.AcquireOptions{MaxOnTimeWait: c.route.Objective - used - first, TargetGap: c.route.MaxGap, IsRetry: used > 0}
	w.MaxWait = left - time.Duration(holdMargin*float64(q.StreamDuration()))
	if !w.IsRetry {
		w.MaxWait = min(w.MaxWait, time.Duration(waitShare*float64(left)))
	}
	patience := max(silence, silenceObjective*c.route.Objective, silencePauses*c.route.MaxGap)
	w.MaxWait = min(w.MaxWait, patience-time.Duration(firstMargin*float64(first)))
	w.MaxOnTimeWait = min(w.MaxOnTimeWait, left)
	return w
}

// returnedShare of the longest time that callers of a route give it is what one that comes for the first time has at least:
// callers differ in their patience.
const returnedShare = 0.83

// usedBefore returns about the time that the caller has used with earlier attempts, 0 on the first one. Callers of a route give
// it about the same time, so that one which has much less has been here before.
func (c *call) usedBefore() time.Duration {
	if !c.meta.HasDeadline {
		return 0
	}
	usual := c.server.usualDeadline(c.route.Name, c.meta.Deadline)
	if float64(c.meta.Deadline) >= returnedShare*float64(usual) {
		return 0
	}
	return usual - c.meta.Deadline
}

// usualDeadline returns the longest time that callers of a route have given it, this one included.
func (s *Server) usualDeadline(route string, deadline time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines[route] = max(s.deadlines[route], deadline)
	return s.deadlines[route]
}

func (c *call) notAdmitted(err error) *Failure {
	var full *limit.RefusedError
	if !errors.As(err, &full) {
		return c.ended(false)
	}
	f := &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonOverloaded, Detail: full.Error(),
		RetryAfter: c.comeBack(full.EstimatedWait),
	}
	if full.NoGroup {
		f.Reason, f.RetryAfter = reasonNoGroup, c.comeBackLate(c.formTime())
	}
	return f
}

// formTime is the time that a group of the service takes at least until it serves again.
func (c *call) formTime() time.Duration {
	if s := c.catalog.Service(c.service); s != nil && s.Engine != nil && s.Engine.FormTime > 0 {
		return s.Engine.FormTime
	}
	return noServerWait
}

// changeGroup takes a place in another group for a stream whose group cannot serve it any more. It returns false when there
// is none within the time that the caller waits.
func (c *call) changeGroup(ctx context.Context) bool {
	if c.place == nil {
		return false
	}
	w := c.mayWait(c.server.queue(c.service))
	w.MaxOnTimeWait, w.IsRetry = 0, false
	w.MaxWait = max(min(w.MaxWait, moveWait), 0)
	return c.place.Move(ctx, w) == nil
}

// moveWait is how long a stream waits for a place in another group; callers give up what is silent for longer.
const moveWait = 600 * time.Millisecond
