package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/limit"
)

// maxHold is how long an event is held while another server is asked to continue the stream. If that server has not accepted
// the stream by then, the stream stays where it is.
const maxHold = time.Second

// lookAgainInterval is the time between two searches for a server that takes a stream of a degraded server.
const lookAgainInterval = 250 * time.Millisecond

// handover moves the stream of an attempt to another server when the server of the attempt has become slow or silent. The
// attempt goes on until another server has accepted the stream, so that a stream for which there is no other place stays
// where it is. While a server is asked, no event is relayed: the other server continues right after the last event that
// the caller has received.
type handover struct {
	call    *call
	attempt *attempt
	// callCtx is the context of the call. ctx ends the handover.
	callCtx, ctx context.Context
	cancel       context.CancelFunc
	// unregister ends the watch for a degraded server.
	unregister func()
	// running counts the goroutines of the handover.
	running sync.WaitGroup

	// mu is held while an event is relayed. It guards the position of the stream and the fields below.
	mu sync.Mutex
	// looking is set while another server is looked for, over when one has accepted the stream or may have run it, and when the
	// attempt has ended.
	looking, over bool
	// asking is closed when the server that is asked has answered, nil if none is asked. giveUp cancels the request to it.
	asking chan struct{}
	giveUp context.CancelCauseFunc
	// accepted is the attempt at the server that has accepted the stream, and permit its permit if it is in another group.
	accepted *attempt
	permit   *limit.Permit
	// unused are the attempts at servers that have not accepted the stream, or that were not needed in the end.
	unused []attempt
}

// movedError is the cancellation cause of an attempt whose stream another server has accepted.
type movedError struct{}

func (movedError) Error() string {
	return "the server has turned slow or silent; the stream goes on at another one"
}

// notAcceptedError is the cancellation cause of an attempt whose server has not accepted a stream in time.
type notAcceptedError struct{}

func (notAcceptedError) Error() string { return "the server has not accepted the stream in time" }

// watchServer returns the handover of an attempt, which starts when the server of the attempt becomes slow or silent, if the
// stream can continue at another server. It must be settled.
func (c *call) watchServer(ctx context.Context, a *attempt) *handover {
	h := &handover{call: c, attempt: a, callCtx: ctx, unregister: func() {}}
	h.ctx, h.cancel = context.WithCancel(ctx)
	if c.route.Kind != catalog.Stream || !c.route.Retryable() || c.sentAttempts()+1 >= c.route.MaxAttempts {
		h.over = true
		return h
	}
	// The caller of the function must not wait for an event that is being relayed.
	h.unregister = a.backend.OnDegraded(func() { go h.start() })
	return h
}

// start looks for another server until one has accepted the stream or may have run it, the server of the attempt has
// recovered, or the attempt has ended.
func (h *handover) start() {
	h.mu.Lock()
	if h.looking || h.over {
		h.mu.Unlock()
		return
	}
	h.looking = true
	h.running.Add(1)
	h.mu.Unlock()
	defer h.running.Done()
	for h.attempt.backend.IsDegraded() && !h.run() && h.ctx.Err() == nil {
		select {
		case <-h.ctx.Done():
		case <-time.After(lookAgainInterval):
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.looking = false
}

// run looks for another server, asks it to continue the stream, and ends the attempt if it accepts. It returns false if
// another one may be asked.
func (h *handover) run() (done bool) {
	b, permit := h.choose()
	if b == nil {
		return false
	}
	next := h.beginAsking(b)
	if next == nil {
		cancelReserved(permit)
		return false
	}
	if h.ask(next) {
		h.log("stream continues at another server", zap.String("to", next.server))
		h.accept(next, permit)
		return true
	}
	h.log("another server does not take a stream", zap.String("to", next.server), zap.String("detail", next.detail))
	next.notRun = !next.mayHaveExecuted
	next.end()
	h.call.server.reportAbsence(next)
	cancelReserved(permit)
	h.endAsking(func() {
		h.unused = append(h.unused, *next)
		h.over = h.over || !next.notRun
	})
	return !next.notRun
}

func (h *handover) log(message string, fields ...zap.Field) {
	h.call.server.opts.Log.Info(message, append(h.call.logFields(h.attempt), fields...)...)
}

// choose returns another server that takes requests, nil if there is none. If it is in another group, the stream has a
// permit of that group besides its own.
func (h *handover) choose() (*balance.Backend, *limit.Permit) {
	c := h.call
	if !c.server.opts.Quarantine.Check(c.service, c.parts, c.probes, time.Now()).Passes() {
		return nil, nil
	}
	if c.permit == nil {
		return h.pick(nil), nil
	}
	if !c.permit.GroupNotServing() && !c.permit.GroupStalled() {
		if b := h.pick(c.permit); b != nil {
			return b, nil
		}
	}
	if !c.permit.OtherGroupUsable(c.server.opts.Fleet.GroupsIn(c.service, c.regions)) {
		return nil, nil
	}
	permit, err := c.permit.Reserve(h.ctx, c.groupChangeOptions())
	if err != nil {
		return nil, nil
	}
	b := h.pick(permit)
	if b == nil {
		permit.Cancel()
		return nil, nil
	}
	return b, permit
}

// pick returns a server of the permit's group that takes requests, other than those that the request has reached.
func (h *handover) pick(permit *limit.Permit) *balance.Backend {
	opts := h.call.pickOptions(permit)
	opts.Tried = append(slices.Clip(opts.Tried), h.attempt.backend)
	for _, a := range h.unused {
		opts.Tried = append(opts.Tried, a.backend)
	}
	b, err := h.call.server.opts.Fleet.Pick(opts)
	if err != nil {
		return nil
	}
	return b
}

// cancelReserved gives back a reserved permit, if there is one.
func cancelReserved(permit *limit.Permit) {
	if permit != nil {
		permit.Cancel()
	}
}

// beginAsking begins an attempt at another server from the position of the stream, and stops the relaying of events. It
// returns nil if the attempt has ended, its server has recovered, or the stream cannot continue elsewhere.
func (h *handover) beginAsking(b *balance.Backend) *attempt {
	c := h.call
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || c.positionUnknown || !h.attempt.backend.IsDegraded() {
		return nil
	}
	if !c.server.budget(c.service).TryRetry(time.Now()) {
		return nil
	}
	next := c.beginAttempt(h.callCtx, b, c.position())
	h.asking, h.giveUp = make(chan struct{}), next.cancel
	return next
}

// ask sends the request and reports whether the server has begun to stream while that was needed.
func (h *handover) ask(next *attempt) (accepted bool) {
	stopWatch := context.AfterFunc(h.ctx, func() { next.cancel(context.Cause(h.ctx)) })
	accepted = h.call.send(next)
	isNeeded := stopWatch()
	switch {
	case !accepted:
		return false
	case !isNeeded || next.ctx.Err() != nil:
		next.cancel(notAcceptedError{}) // A function that has started may not have canceled the attempt yet.
		next.outcome, next.detail = balance.Abandoned, context.Cause(next.ctx).Error()
		return false
	case !next.startsStream():
		next.refuseContinuation()
		return false
	}
	return true
}

// accept ends the attempt in favor of the one whose server has accepted the stream.
func (h *handover) accept(next *attempt, permit *limit.Permit) {
	h.endAsking(func() {
		h.accepted, h.permit, h.over = next, permit, true
		h.attempt.cancel(movedError{})
	})
}

// endAsking records a result and lets events be relayed again.
func (h *handover) endAsking(record func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	record()
	close(h.asking)
	h.asking, h.giveUp = nil, nil
}

// lockPosition waits until no server is asked, for maxHold at most, and locks the position of the stream. It returns false,
// without the lock, if another server has accepted the stream.
func (h *handover) lockPosition() bool {
	for {
		h.mu.Lock()
		asking, giveUp := h.asking, h.giveUp
		switch {
		case h.accepted != nil:
			h.mu.Unlock()
			return false
		case asking == nil:
			return true
		}
		h.mu.Unlock()
		timeout := time.AfterFunc(maxHold, func() { giveUp(notAcceptedError{}) })
		<-asking
		timeout.Stop()
	}
}

func (h *handover) unlockPosition() { h.mu.Unlock() }

// end makes the stream stay with its server. It returns false if another server has accepted it already.
func (h *handover) end() bool {
	if !h.lockPosition() {
		return false
	}
	defer h.unlockPosition()
	h.over = true
	return true
}

// settle ends the handover with its attempt; take or abandon follows. It returns the attempts at servers that do not
// continue the stream. If the caller still needs a response, it waits for the answer of a server that is asked.
func (h *handover) settle(responded bool) (unused []attempt) {
	h.unregister()
	h.mu.Lock()
	h.over = true
	if responded || h.asking == nil {
		h.cancel()
	}
	h.mu.Unlock()
	h.running.Wait()
	h.cancel()
	if responded {
		h.abandon()
	}
	return h.unused
}

// take returns the attempt at the server that has accepted the stream, nil if there is none, and moves the permit of the
// stream to the group of that server. The handover must be settled.
func (h *handover) take() *attempt {
	next := h.accepted
	if next != nil && h.permit != nil {
		h.call.permit.Adopt(h.permit)
	}
	h.accepted, h.permit = nil, nil
	return next
}

// abandon ends the attempt at the server that has accepted the stream, if there is one. The handover must be settled.
func (h *handover) abandon() {
	next := h.accepted
	if next == nil {
		return
	}
	next.outcome, next.detail = balance.Abandoned, "the stream did not need another server"
	next.end()
	h.unused = append(h.unused, *next)
	cancelReserved(h.permit)
	h.accepted, h.permit = nil, nil
}
