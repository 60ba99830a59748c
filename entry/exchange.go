package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lavendermoor.example/api/bearer"
	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/gateway/buffer"
)

// notReadyRetryAfter is the Retry-After of an entry that is starting or draining; the platform's load balancer sends
// the retry to another entry.
const notReadyRetryAfter = time.Second

// defaultPriority is the priority of requests that match no rule.
const defaultPriority = 4

// exchange is one request of a caller and its response. It is used by the request's goroutine only.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	id     string
	// startedAt is the time at which the request arrived.
	startedAt time.Time
	// kind is set when the request is classified.
	kind string

	state    *cluster.State
	customer *operatorv1.Customer
	// streaming is set once an event stream has started, after which errors are sent as events.
	streaming bool
	// tokens counts the streamed events.
	tokens int

	// share is what the body holds of the memory of all bodies, nil for a short one.
	share *buffer.Share
	// bodyPending is set until the body has arrived whole, bodyBegun once it is being read.
	bodyPending, bodyBegun bool
}

// prepare makes the checks common to all requests: the entry is ready, the headers are within the limit, and the
// customer is authenticated.
func (x *exchange) prepare() *callerapi.Error {
	x.w.Header().Set(callerapi.HeaderRequestID, x.id)
	x.state = x.server.opts.Configuration.State()
	if x.state == nil {
		return callerapi.NotExecuted(callerapi.NoReplica, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	if x.server.draining.Load() {
		return callerapi.NotExecuted(callerapi.Draining, "this entry is draining").WithRetryAfter(notReadyRetryAfter)
	}
	if limit := x.state.Limits().MaxHeaderBytes; headerBytes(x.r.Header) > limit {
		return callerapi.NotExecuted(callerapi.HeaderTooLarge, "headers are larger than %d bytes", limit)
	}
	return x.authenticate()
}

func headerBytes(h http.Header) int64 {
	var n int64
	for name, values := range h {
		for _, v := range values {
			n += int64(len(name) + len(v))
		}
	}
	return n
}

func (x *exchange) authenticate() *callerapi.Error {
	key, ok := bearer.Key(x.r.Header)
	if !ok {
		return callerapi.NotExecuted(callerapi.Unauthorized, "a bearer key is required")
	}
	customer, ok := x.state.CustomerByKey(key)
	if !ok {
		return callerapi.NotExecuted(callerapi.Unauthorized, "the key is not known")
	}
	x.customer = customer
	return nil
}

// classify returns the properties of the request, from the rule that matches it or else from the defaults. It also
// takes the request from the customer's quota.
func (x *exchange) classify(c cluster.Call) (peerapi.Work, *callerapi.Error) {
	w := peerapi.Work{
		ID: x.id, Customer: x.customer.GetName(), Weight: int(x.customer.GetWeight()), Priority: defaultPriority,
		Value: 1, Idempotent: c.Model != "" || isRead(c.Method), Revision: x.state.Revision,
	}
	w.Kind = defaultKind(c)
	limit := x.state.Limits().Deadline
	if rule := x.state.MatchRule(c); rule != nil {
		applyRule(&w, rule)
		if rule.GetDeadlineMs() > 0 {
			limit = time.Duration(rule.GetDeadlineMs()) * time.Millisecond
		}
	}
	x.kind = w.Kind
	timeout, e := x.requestTimeout(limit)
	w.DeadlineMs = timeout.Milliseconds()
	if e != nil {
		return w, e
	}
	return w, x.takeQuota()
}

func isRead(method string) bool { return method == http.MethodGet || method == http.MethodHead }

func defaultKind(c cluster.Call) string {
	switch {
	case c.Model != "":
		return peerapi.KindShort
	case isRead(c.Method):
		return peerapi.KindStatus
	}
	return peerapi.KindCommand
}

func applyRule(w *peerapi.Work, rule *operatorv1.Rule) {
	w.Kind = peerapi.KindOf(rule.GetKind())
	w.Priority = int(rule.GetPriority())
	w.Idempotent = rule.GetIdempotent()
	if rule.GetValue() > 0 {
		w.Value = rule.GetValue()
	}
}

// requestTimeout returns the time until the request's deadline. It is the time that the caller set, if any, but at most
// the limit.
func (x *exchange) requestTimeout(limit time.Duration) (time.Duration, *callerapi.Error) {
	text := x.r.Header.Get(callerapi.HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, callerapi.NotExecuted(callerapi.InvalidRequest, "%s is not a number of milliseconds", callerapi.HeaderDeadline)
	}
	if ms <= 0 {
		return 0, callerapi.NotExecuted(callerapi.DeadlineExceeded, "the deadline has passed")
	}
	return min(time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond, limit), nil
}

// withDeadline returns the request's context with the deadline of the work.
func (x *exchange) withDeadline(w *peerapi.Work) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), time.Duration(w.DeadlineMs)*time.Millisecond)
}

// writeError sends an error as an event if a stream has started, else as an error response.
func (x *exchange) writeError(e *callerapi.Error) {
	if x.streaming {
		x.writeErrorEvent(e)
		return
	}
	x.abandonBody()
	callerapi.WriteError(x.w, e, x.id)
}
