package idempotency

import (
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

const (
	// unkeyedRetention is how long the outcome of a call without token or key can be queried. The entry queries it
	// right after a connection broke, so the retention only has to cover the longest usual deadline.
	unkeyedRetention    = 10 * time.Minute
	maxUnkeyedCalls     = 65_536
	maxUnkeyedBodyBytes = 16 << 20
)

type unkeyedCall struct {
	running bool
	// blocked means that the outcome was queried before the call arrived, and that the call was reported as not run.
	blocked bool
	outcome *peerapi.Outcome
	// beganAt is the time of the last Begin, or that of the query for a blocked call.
	beganAt time.Time
}

// unkeyedExpiry is an entry of the expiry queue, which is in order of time.
type unkeyedExpiry struct {
	id string
	at time.Time
}

// UnkeyedCalls keeps, by request ID, the outcomes of non-idempotent calls that have neither token nor key. It is not
// safe for concurrent use.
type UnkeyedCalls struct {
	incarnation int64
	calls       map[string]*unkeyedCall
	expiryQueue []unkeyedExpiry
	bodyBytes   int
	// evictedAt is the last time at which a call was removed before its retention had passed, to stay within
	// maxUnkeyedCalls.
	evictedAt time.Time
}

// NewUnkeyedCalls returns the initial state of an incarnation.
func NewUnkeyedCalls(incarnation int64) *UnkeyedCalls {
	return &UnkeyedCalls{incarnation: incarnation, calls: map[string]*unkeyedCall{}}
}

// Begin reports whether a call may run. It may not if its ID is already stored: the call has arrived before, or was
// reported to its sender as not run. Only a call that was refused before its run may be sent again.
func (u *UnkeyedCalls) Begin(now time.Time, id string) bool {
	u.expire(now)
	if c := u.calls[id]; c != nil {
		if !c.refused() {
			return false
		}
		c.running, c.outcome, c.beganAt = true, nil, now
		return true
	}
	u.add(now, id, &unkeyedCall{running: true, beganAt: now})
	return true
}

func (c *unkeyedCall) refused() bool {
	return c.outcome != nil && c.outcome.Failure != nil && c.outcome.Failure.Executed == callerapi.ExecutedNo
}

func (u *UnkeyedCalls) add(now time.Time, id string, c *unkeyedCall) {
	u.calls[id] = c
	u.expiryQueue = append(u.expiryQueue, unkeyedExpiry{id, now})
}

// End stores the outcome of a call that had begun.
func (u *UnkeyedCalls) End(id string, o peerapi.Outcome) {
	c := u.calls[id]
	if c == nil {
		return
	}
	c.running = false
	c.outcome = truncateOutcome(o, maxUnkeyedBodyBytes-u.bodyBytes)
	u.bodyBytes += bodyBytes(c.outcome)
}

// expire removes the calls whose retention has passed, and the oldest ones beyond maxUnkeyedCalls. A call that is
// running, or that has begun again since, is kept: after its removal it would be reported as not run.
func (u *UnkeyedCalls) expire(now time.Time) {
	for range len(u.expiryQueue) {
		oldest := u.expiryQueue[0]
		withinRetention := now.Sub(oldest.at) <= unkeyedRetention
		if withinRetention && len(u.expiryQueue) < maxUnkeyedCalls {
			return
		}
		u.expiryQueue = u.expiryQueue[1:]
		c := u.calls[oldest.id]
		if c.running || !withinRetention && now.Sub(c.beganAt) <= unkeyedRetention {
			u.expiryQueue = append(u.expiryQueue, unkeyedExpiry{oldest.id, now})
			continue
		}
		if withinRetention {
			u.evictedAt = now
		}
		u.bodyBytes -= bodyBytes(c.outcome)
		delete(u.calls, oldest.id)
	}
}

// Outcome returns the outcome of a call. The incarnation is the newest one that the sender had seen before it sent the
// call. If it is this one, no earlier incarnation can have received the call; a call that has not arrived is then
// blocked and reported as not run.
func (u *UnkeyedCalls) Outcome(now time.Time, id string, incarnation int64) peerapi.OutcomeResponse {
	u.expire(now)
	c := u.calls[id]
	switch {
	case c == nil && u.canBlock(now, incarnation):
		u.add(now, id, &unkeyedCall{blocked: true, beganAt: now})
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedNo}
	case c == nil:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown}
	case c.blocked:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedNo}
	case c.running:
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown, Running: true}
	}
	return responseOf(c.outcome)
}

func (u *UnkeyedCalls) canBlock(now time.Time, incarnation int64) bool {
	evictedRecently := !u.evictedAt.IsZero() && now.Sub(u.evictedAt) <= unkeyedRetention
	return incarnation == u.incarnation && !evictedRecently
}

func responseOf(o *peerapi.Outcome) peerapi.OutcomeResponse {
	if o.Result == nil {
		return peerapi.OutcomeResponse{Executed: o.Failure.Executed}
	}
	return peerapi.OutcomeResponse{Executed: callerapi.ExecutedYes, Result: o.Result}
}
