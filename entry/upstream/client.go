// Package upstream exchanges requests with side processes: it chooses replicas, reads the frames of answers, and
// repeats or resumes what may be repeated or resumed.
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

// Options are the parts of a Client.
type Options struct {
	Router  *routing.Router
	Members *membership.Tracker
	// SilenceTimeout is the time without a byte after which a connection is given up; 0 for
	// membership.ConnectionSilence.
	SilenceTimeout time.Duration
}

// Client may be used by any goroutine.
type Client struct {
	opts     Options
	pooled   *http.Client
	unpooled *http.Client
	conns    conns
	rpc      *http.Client
	budget   *routing.RetryBudget
	hedger   routing.Hedger
	counters counters
}

// New returns a client with its req connections.
func New(opts Options) *Client {
	if opts.SilenceTimeout == 0 {
		opts.SilenceTimeout = membership.SilenceTimeout
	}
	c := &Client{opts: opts, rpc: newRPCClient(), budget: routing.NewRetryBudget(routing.DefaultRetryBudgetConfig())}
	pooled := newTransport(&c.conns)
	c.pooled = &http.Client{Transport: pooled}
	single := pooled.Clone()
	single.DisableKeepAlives = true
	c.unpooled = &http.Client{Transport: single}
	return c
}

// newRPCClient returns a client that uses a new connection for each call, for questions about a server or a request
// whose connection has failed.
func newRPCClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: membership.ProbeTimeout}
}

// Counts returns what the client has seen since its start.
func (c *Client) Counts() Counts { return c.counters.snapshot() }

// Picker returns the present picker, for requests that go to servers of the caller's choice.
func (c *Client) Picker() *routing.Picker { return c.opts.Router.Picker() }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// NoReplicaRetryAfter is how long a caller should wait when no replica can take its request.
const NoReplicaRetryAfter = time.Second

func noReplica(err error) *callerapi.Error {
	return callerapi.NotRun(callerapi.NoReplica, "%v", err).WithRetryAfter(NoReplicaRetryAfter)
}

// Bounds of the wait for a picker that follows a change of the configuration by a few milliseconds.
const (
	maxPickRetries    = 50
	pickRetryInterval = 2 * time.Millisecond
)

// pick chooses a replica. The configuration of the request may name a target that the picker does not have yet.
func (c *Client) pick(q routing.Query, revision int64) (*routing.Replica, error) {
	q.Random = rand.Uint64()
	for tries := 0; ; tries++ {
		q.Now = time.Now()
		picker := c.opts.Router.Picker()
		replica, err := picker.Pick(q)
		var unknown *routing.UnknownTargetError
		if tries == maxPickRetries || picker.Revision >= revision || !errors.As(err, &unknown) {
			return replica, err
		}
		time.Sleep(pickRetryInterval)
	}
}

// Call runs a call of a plain service.
func (c *Client) Call(ctx context.Context, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	c.budget.CountRequest(time.Now())
	f := c.newCallState(r)
	first, e := f.nextReplica()
	if e != nil {
		return nil, e
	}
	if delay, ok := c.hedger.Delay(&r.Work); ok {
		return c.callHedged(ctx, r, f, first, delay)
	}
	return f.run(ctx, first, r)
}

// Delivery is how one exchange of a call ended.
type Delivery struct {
	Result *peerapi.CallResult
	// Err says whether the call may have run; nil with a result.
	Err *callerapi.Error
	// Responded says that the side process refused the call, or ran it. Otherwise the exchange broke, and Sent says
	// whether the side process may have seen the call.
	Responded, Sent bool
}

// CallReplica makes one exchange of a call with one replica and repeats nothing.
func (c *Client) CallReplica(ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest) Delivery {
	res := c.attemptCall(ctx, replica, r, false)
	d := Delivery{Result: res.result, Responded: res.err == nil, Sent: res.sent}
	if !res.ok() {
		d.Result, d.Err = nil, callerError(ctx, &res, res.sent && !provablyNotRun(&res))
	}
	return d
}

func (c *Client) attemptCall(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, fresh bool,
) attemptResult {
	req := *r
	req.Server = replica.Name
	req.DeadlineMs = remainingMs(ctx, req.DeadlineMs)
	a := &attempt{
		c: c, replica: replica, path: peerapi.PathCall, id: req.ID, request: &req, onEvent: ignoreEvent, newConnection: fresh,
	}
	res := a.run(ctx)
	if res.ok() && res.result == nil {
		res.err = merry.Wrap(&IncompleteResponseError{Cause: &MissingResultError{}})
	}
	return res
}

func ignoreEvent([]byte) error { return nil }

// remainingMs returns the time until the deadline in milliseconds.
func remainingMs(ctx context.Context, limit int64) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// Token asks a side process of the service for a token. An issued token that nobody uses does no harm, so a
// failure is repeated elsewhere.
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
			return nil, callerapi.NotRun(callerapi.BackendFailed, "no token: %v", err).WithRetryAfter(NoReplicaRetryAfter)
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

// post makes one small call on a new connection.
func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return postJSON(ctx, c.rpc, address, path, body, out)
}
