// Package upstream exchanges requests with sidecars: it picks replicas, reads the frames of responses, and retries,
// hedges or resumes requests where that is safe.
package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// Options configure a Client.
type Options struct {
	Router  *routing.Router
	Members *membership.Tracker
	// SilenceTimeout is the time without a received byte after which an exchange is aborted; 0 means
	// membership.SilenceTimeout.
	SilenceTimeout time.Duration
}

// Client sends requests to sidecars. It is safe for concurrent use.
type Client struct {
	opts     Options
	pooled   *http.Client
	unpooled *http.Client
	conns    connTracker
	rpc      *http.Client
	budget   *routing.RetryBudget
	hedger   routing.Hedger
	counters counters
}

// New returns a client with its own connections.
func New(opts Options) *Client {
	if opts.SilenceTimeout == 0 {
		opts.SilenceTimeout = membership.SilenceTimeout
	}
	c := &Client{opts: opts, rpc: newRPCClient(), budget: routing.NewRetryBudget(routing.DefaultRetryBudgetConfig())}
	pooled := newTransport(&c.conns)
	c.pooled = &http.Client{Transport: pooled}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	c.unpooled = &http.Client{Transport: unpooled}
	return c
}

// newRPCClient returns a client that opens a new connection for each request. A probe of a server, or a query for the
// outcome of a call, must not depend on a pooled connection, because it often follows the failure of one.
func newRPCClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: membership.ProbeTimeout}
}

// Counts returns the counters since the client's start.
func (c *Client) Counts() Counts { return c.counters.snapshot() }

// Picker returns the current picker, for callers that choose the replica themselves.
func (c *Client) Picker() *routing.Picker { return c.opts.Router.Picker() }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// NoReplicaRetryAfter is the Retry-After when no replica can take a request.
const NoReplicaRetryAfter = time.Second

func noReplica(err error) *callerapi.Error {
	return callerapi.NotExecuted(callerapi.NoReplica, "%v", err).WithRetryAfter(NoReplicaRetryAfter)
}

// Bounds of the wait for the picker, which is updated a few milliseconds after the configuration has changed.
const (
	maxPickRetries    = 50
	pickRetryInterval = 2 * time.Millisecond
)

// pick picks a replica. The request was classified with the configuration of the given revision, which may contain a
// target that the picker does not have yet. In that case, pick waits until the picker has reached the revision,
// within the bounds above.
func (c *Client) pick(q routing.Query, revision int64) (*routing.Replica, error) {
	q.Random = rand.Uint64()
	for retries := 0; ; retries++ {
		q.Now = time.Now()
		picker := c.opts.Router.Picker()
		replica, err := picker.Pick(q)
		var unknown *routing.UnknownTargetError
		if retries == maxPickRetries || picker.Revision >= revision || !errors.As(err, &unknown) {
			return replica, err
		}
		time.Sleep(pickRetryInterval)
	}
}

// Call runs a call of a plain service.
func (c *Client) Call(ctx context.Context, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	c.budget.CountRequest(time.Now())
	state := c.newCallState(r)
	first, e := state.nextReplica()
	if e != nil {
		return nil, e
	}
	if delay, ok := c.hedger.Delay(&r.Work); ok {
		return c.callHedged(ctx, r, state, first, delay)
	}
	return state.run(ctx, first, r)
}

// Delivery is the result of one exchange of a call.
type Delivery struct {
	Result *peerapi.CallResult
	// Err is the error, which reports whether the call may have run; nil with a result.
	Err *callerapi.Error
	// Responded is set if the sidecar refused or ran the call. Otherwise the exchange failed, and Sent is set if the
	// sidecar may have received the call.
	Responded, Sent bool
}

// CallReplica sends a call to one replica, without retries.
func (c *Client) CallReplica(ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest) Delivery {
	res := c.attemptCall(ctx, replica, r, callOptions{})
	d := Delivery{Result: res.result, Responded: res.err == nil, Sent: res.sent}
	if !res.ok() {
		d.Result, d.Err = nil, callerError(ctx, &res, res.sent && !provablyNotRun(&res))
	}
	return d
}

// callOptions are the fields of an attempt that differ between the attempts of a call.
type callOptions struct {
	newConnection bool
	reserveRetry  func() bool
}

func (c *Client) attemptCall(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, opts callOptions,
) attemptResult {
	req := *r
	req.Server = replica.Name
	req.DeadlineMs = remainingMs(ctx, req.DeadlineMs)
	a := &attempt{
		c: c, replica: replica, path: peerapi.PathCall, id: req.ID, request: &req, onEvent: ignoreEvent,
		newConnection: opts.newConnection, reserveRetry: opts.reserveRetry,
	}
	res := a.run(ctx)
	if res.ok() && res.result == nil {
		res.err = merry.Wrap(&IncompleteResponseError{Cause: &MissingResultError{}})
	}
	return res
}

func ignoreEvent([]byte) error { return nil }

// remainingMs returns the time until the deadline in milliseconds, at least 1, or limit without a deadline.
func remainingMs(ctx context.Context, limit int64) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// Token requests a call token from a sidecar of the service. Unused tokens have no effect, so a failed request is
// retried at another replica.
func (c *Client) Token(
	ctx context.Context, st *cluster.State, r *peerapi.TokenRequest,
) (*peerapi.TokenResponse, *callerapi.Error) {
	q := routing.Query{Target: routing.Target{Service: r.Service}}
	c.budget.CountRequest(time.Now())
	for {
		replica, err := c.pick(q, st.Revision)
		if err != nil {
			return nil, noReplica(err)
		}
		out, err := c.requestToken(ctx, replica, r)
		if err == nil {
			return out, nil
		}
		q.Tried = append(q.Tried, replica)
		if ctx.Err() != nil || len(q.Tried) == maxAttempts || !c.takeRetry() {
			return nil, callerapi.NotExecuted(callerapi.BackendFailed, "no token: %v", err).WithRetryAfter(NoReplicaRetryAfter)
		}
	}
}

func (c *Client) requestToken(
	ctx context.Context, replica *routing.Replica, r *peerapi.TokenRequest,
) (*peerapi.TokenResponse, error) {
	var out peerapi.TokenResponse
	if err := c.post(ctx, replica.Address, peerapi.PathToken, r, &out); err != nil {
		return nil, err
	}
	if out.Token == "" {
		return nil, merry.Wrap(&MissingTokenError{})
	}
	return &out, nil
}

// post sends a small JSON request over a new connection.
func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return postJSON(ctx, c.rpc, address, path, body, out)
}
