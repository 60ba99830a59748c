package limit

import "time"

// observeArrival records the priority of a new request.
func (q *Queue) observeArrival(priority int, now time.Time) {
	q.precedence.observeArrival(priority, now)
	if !q.precedence.applies(now) {
		return
	}
	for _, g := range q.groups {
		g.limiter.SetCompetesUntil(now.Add(classMemory))
	}
}

// refusalByPriority returns the reason why a request must not wait among requests of other priorities, nil if it may.
// A retry, whose caller does not return, may unless the retries before it need all permits of its time.
func (q *Queue) refusalByPriority(w *waiter, opts AcquireOptions, err *RefusedError, now time.Time) *RefusedError {
	supply := q.supply(w.filter)
	wait, ahead := q.precedence.wait(w, q.waiting, supply, now)
	switch {
	case w.isRetry && shortestRetryWait(w, q.waiting, supply, now) <= opts.MaxWait:
		return nil
	case !w.isRetry && opts.MaxOnTimeWait > 0 && wait <= opts.MaxOnTimeWait:
		return nil
	case !w.isRetry:
		late := *w
		late.lateOnArrival = true
		wait, ahead = q.precedence.wait(&late, q.waiting, supply, now)
		if wait <= opts.MaxWait {
			return nil
		}
	}
	err.ByPriority, err.EstimatedWait, err.Ahead = true, wait, ahead
	return err
}

const (
	// longQueue is the number of waiting requests above which refuseUnservable runs at most once in longQueueInterval: it
	// sorts all of them, which takes milliseconds for thousands.
	longQueue         = 128
	longQueueInterval = 50 * time.Millisecond
)

// refuseUnservable refuses the waiting requests that more urgent ones have displaced so far that they are not expected
// to be served in time. Their callers can still return, which they cannot after waiting in vain.
func (q *Queue) refuseUnservable(now time.Time) {
	if len(q.waiting) == 0 || !q.precedence.applies(now) || q.noGroupUsable() {
		return
	}
	if len(q.waiting) > longQueue && now.Sub(q.checkedAt) < longQueueInterval {
		return
	}
	q.checkedAt = now
	for _, u := range q.precedence.unservable(q.waiting, q.supply(groupFilter{}), now) {
		q.remove(u.waiter)
		err := q.refusedError(groupFilter{}, u.ahead, now.Sub(u.waiter.arrived))
		err.ByPriority, err.EstimatedWait = true, u.wait
		u.waiter.refusal = err
		u.waiter.admitted <- nil
	}
}

// supply returns the permits that become free in all usable groups that the filter permits.
func (q *Queue) supply(filter groupFilter) permitSupply {
	var s permitSupply
	free := 0
	for _, g := range q.groups {
		if g.usable(filter) {
			s.rate += g.limiter.releaseRate()
			free += g.limiter.Limit() - g.limiter.InFlight()
		}
	}
	s.excess = max(-free, 0)
	return s
}
