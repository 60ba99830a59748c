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
	budget.Request(c.arrived)
	for {
		backend, err := c.choose(ctx)
		if err != nil {
			c.fail(c.exhausted(ctx, err))
			return
		}
		if len(c.attempts) > 0 && !c.moved.Swap(false) && !budget.Retry(time.Now()) {
			c.fail(c.exhausted(ctx, &BudgetError{}))
			return
		}
		if c.try(ctx, backend) {
			return
		}
		if ctx.Err() != nil {
			c.fail(c.ended(c.mayHaveRun()))
			return
		}
		if !c.mayRepeat() {
			c.fail(c.exhausted(ctx, &RepeatError{}))
			return
		}
	}
}

// BudgetError says that the budget of repeated sends is used up.
type BudgetError struct{}

func (e *BudgetError) Error() string { return "the budget of repeated requests is used up" }

// RepeatError says that the request must not be sent again.
type RepeatError struct{}

func (e *RepeatError) Error() string { return "the request must not be sent to another server" }

// ClosedError says that the group of a request's place does not serve, and that no other has room.
type ClosedError struct{ Group string }

func (e *ClosedError) Error() string {
	return "group " + e.Group + " does not serve, and no other has room"
}

// choose returns the server for the next send, of another group if that of the stream's place cannot serve it.
func (c *call) choose(ctx context.Context) (*balance.Backend, error) {
	if c.place == nil {
		return c.pick()
	}
	again := len(c.attempts) > 0
	if c.place.GroupUnavailable() || (again && c.place.GroupStalled()) {
		if !c.changeGroup(ctx) && (c.place.GroupUnavailable() || c.place.GroupStalled()) {
			return nil, &ClosedError{Group: c.place.Group()}
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
	if c.place != nil {
		group = c.place.Group()
	}
	tried := make([]*balance.Backend, len(c.attempts))
	for i, a := range c.attempts {
		tried[i] = a.backend
	}
	return c.server.opts.Fleet.Pick(balance.PickOptions{
		Service: c.service, HasGroup: c.place != nil, Group: group, Tokens: c.tokens(), Tried: tried, Random: c.server.opts.Random, Now: time.Now(),
	})
}

// promptShare is what reading a prompt token costs a server, in tokens written.
const promptShare = 0.05

func (c *call) tokens() int { return c.meta.MaxTokens + int(promptShare*float64(c.meta.PromptTokens)) }

// mayHaveRun says whether a server may have run the request.
func (c *call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if a.mayHaveRun {
			return true
		}
	}
	return false
}

// sent counts the servers that the request reached.
func (c *call) sent() int {
	n := 0
	for _, a := range c.attempts {
		if a.outcome != balance.Unreachable && a.outcome != balance.Withdrawn {
			n++
		}
	}
	return n
}

// maxUnreachable bounds the servers that a request is not sent to after they were chosen.
const maxUnreachable = 3

// mayRepeat says whether the request may be sent to another server.
func (c *call) mayRepeat() bool {
	if c.sent() >= c.route.MaxAttempts || len(c.attempts)-c.sent() >= maxUnreachable {
		return false
	}
	return c.route.Repeatable() || !c.mayHaveRun()
}

// exhausted returns the failure of a request that is not sent to any further server.
func (c *call) exhausted(ctx context.Context, why error) *Failure {
	if ctx.Err() != nil {
		return c.ended(c.mayHaveRun())
	}
	detail := why.Error()
	if n := len(c.attempts); n > 0 {
		detail += "; the last server: " + c.attempts[n-1].detail
	}
	var closed *ClosedError
	held := c.server.opts.Fleet.SuspendedFor(c.service, time.Now())
	switch {
	case errors.As(why, &closed) && !c.mayHaveRun():
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonNoGroup, Detail: detail,
			RetryAfter: c.comeBackLate(c.formTime()),
		}
	case c.mayHaveRun():
		return &Failure{Status: http.StatusBadGateway, Reason: reasonBroken, Detail: detail}
	case held > 0:
		return c.heldFailure(held, detail)
	case len(c.attempts) == 0:
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: reasonNoServer, Detail: detail,
			RetryAfter: c.comeBack(noServerWait),
		}
	}
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonRefused, Detail: detail,
		RetryAfter: c.comeBack(refusedWait),
	}
}

// heldFailure refuses a request to a service whose servers all take none for a time.
func (c *call) heldFailure(held time.Duration, detail string) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonHeld, Detail: detail, RetryAfter: c.comeBackAfter(held),
	}
}

const (
	// noServerWait is about the time after which a lost server is back in the list or replaced.
	noServerWait = time.Second
	// refusedWait is the time that a full server needs to have room.
	refusedWait = 300 * time.Millisecond
)

// try sends the request to one server and passes its answer on. It returns false when the request may be sent to
// another server, as far as this one is concerned.
func (c *call) try(ctx context.Context, b *balance.Backend) bool {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer c.moveInTrouble(b, end)()
	tokens := c.tokens()
	started := time.Now()
	b.Begin(tokens, started)
	a := attempt{backend: b, server: b.Server().ID, mayHaveRun: true}
	res := c.exchange(ctx, b, &a)
	now := time.Now()
	latency := time.Duration(0)
	if !res.firstByte.IsZero() {
		latency = res.firstByte.Sub(started)
	}
	b.End(tokens, a.outcome, latency, now)
	c.attempts = append(c.attempts, a)
	return res.answered
}

// movedError is the cause of a send that was ended because its server turned slow.
type movedError struct{}

func (movedError) Error() string {
	return "the server has turned slow or silent; the stream goes on at another one"
}

// moveInTrouble has the send ended when its server turns slow or silent, if the stream can go on at another server. It
// returns the end of that.
func (c *call) moveInTrouble(b *balance.Backend, end context.CancelCauseFunc) (forget func()) {
	if c.route.Kind != catalog.Stream || !c.route.Repeatable() || c.sent()+1 >= c.route.MaxAttempts {
		return func() {}
	}
	return b.OnDegraded(func() {
		if c.elsewhere() && c.server.budget(c.service).Retry(time.Now()) {
			c.moved.Store(true)
			end(movedError{})
		}
	})
}

// elsewhere says whether a stream in trouble would be better off at another server. While its whole group stands still, that
// is one of another group.
func (c *call) elsewhere() bool {
	if c.place != nil && (c.place.GroupStalled() || c.place.GroupUnavailable()) {
		return c.place.OtherGroupUsable()
	}
	return c.server.opts.Fleet.Usable(c.service) > 1
}

// result is how one send ended.
type result struct {
	// answered says that the caller has its whole answer.
	answered  bool
	firstByte time.Time
}

func (c *call) exchange(ctx context.Context, b *balance.Backend, a *attempt) result {
	req := c.request(a.server)
	req.ShouldSend = func() bool { return b.Accepts(time.Now()) }
	sent := time.Now()
	ans, err := b.Pool.Do(ctx, req)
	if err != nil {
		c.classify(ctx, err, a)
		return result{}
	}
	defer ans.Close()
	c.takeVerdict(ans, b, a)
	if ans.Info.NotExecuted {
		c.refused(ans, b, a)
		return result{}
	}
	first := time.Now()
	b.ObserveActivity(first)
	if ans.StatusCode != http.StatusServiceUnavailable {
		b.ObserveAccepted(sent)
	}
	if isStream(ans) && ans.StatusCode < http.StatusMultipleChoices {
		return result{answered: c.relayStream(ctx, ans, a), firstByte: first}
	}
	if c.begun {
		a.outcome, a.detail = balance.Failed, "the stream was not continued: status "+strconv.Itoa(ans.StatusCode)
		return result{firstByte: first}
	}
	return result{answered: c.relayBody(ctx, ans, a), firstByte: first}
}

// takeVerdict takes what the server says of itself: that it leaves, or that it takes no requests for a while. The answer of another
// server at the address says neither of this one.
func (c *call) takeVerdict(ans *exchange.Response, b *balance.Backend, a *attempt) {
	v := ans.Info
	if ans.StatusCode == http.StatusMisdirectedRequest && v.FaultyServer != a.server {
		return
	}
	if v.Leaving && b.MarkLeaving() {
		c.server.opts.Log.Info("backend server says that it leaves", c.logFields(a)...)
		c.server.RefreshGroups()
	}
	if ans.StatusCode == http.StatusServiceUnavailable && v.RetryAfter > 0 {
		b.Suspend(v.RetryAfter, time.Now())
		c.server.opts.Log.Info("backend server refuses requests for a while",
			append(c.logFields(a), zap.Duration("retry_after", v.RetryAfter))...)
	}
}

// logFields names a send in a log line.
func (c *call) logFields(a *attempt) []zap.Field {
	return []zap.Field{zap.String("server", a.server), zap.String("service", c.service), zap.String("request", c.meta.ID)}
}

// refused takes an answer by which the server says that it did not run the request.
func (c *call) refused(ans *exchange.Response, b *balance.Backend, a *attempt) {
	a.mayHaveRun = false
	a.outcome = balance.Refused
	if ans.StatusCode == http.StatusMisdirectedRequest {
		a.outcome = balance.Moved
	}
	a.detail = "status " + http.StatusText(ans.StatusCode) + ", not run"
	if fault := ans.Info.FaultyServer; fault != "" {
		a.detail += ", at fault: " + fault
		if fault != a.server && ans.StatusCode == http.StatusServiceUnavailable {
			c.server.groupFailed(b, c.meta.ID, fault)
		}
	}
	ans.Drain()
}

// classify sets the outcome of a send that got no answer.
func (c *call) classify(ctx context.Context, err error, a *attempt) {
	a.detail = err.Error()
	var connect *exchange.ConnectError
	var withdrawn *exchange.WithdrawnError
	switch {
	case errors.As(err, &withdrawn):
		a.outcome, a.mayHaveRun = balance.Withdrawn, false
	case errors.As(err, &connect):
		a.outcome, a.mayHaveRun = balance.Unreachable, false
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
func (c *call) request(server string) *exchange.Request {
	h := c.r.Header.Clone()
	exchange.RemoveHopByHopHeaders(h)
	priority := c.route.Priority
	send := exchange.Attempt{Server: server, Remaining: time.Until(c.expires), Priority: &priority, LastEventID: c.lastID}
	if c.customer != nil {
		send.Customer = c.customer.Name
		if c.customer.Priority != nil {
			priority = *c.customer.Priority
		}
	}
	c.server.opts.Dialect.Forward(h, send)
	return &exchange.Request{
		ID: c.meta.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.hasBody,
	}
}
