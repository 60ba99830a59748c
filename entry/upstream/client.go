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
	// Silence is the time without a byte after which a connection is given up; 0 for
	// membership.ConnectionSilence.
	Silence time.Duration
}

// Client may be used by any goroutine.
type Client struct {
	opts   Options
	http   *http.Client
	fresh  *http.Client
	conns  conns
	asks   *http.Client
	budget *routing.RetryBudget
	hedge  routing.Hedger
	counts counts
}

// New returns a client with its own connections.
func New(opts Options) *Client {
	if opts.Silence == 0 {
		opts.Silence = membership.ConnectionSilence
	}
	c := &Client{opts: opts, asks: newAsker(), budget: routing.NewRetryBudget(routing.DefaultRetryBudgetConfig())}
	pooled := newTransport(&c.conns)
	c.http = &http.Client{Transport: pooled}
	single := pooled.Clone()
	single.DisableKeepAlives = true
	c.fresh = &http.Client{Transport: single}
	return c
}

// newAsker returns a client that uses a new connection for each call, for questions about a server or a request
// whose connection has failed.
func newAsker() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: membership.ProbeTimeout}
}

// Counts returns what the client has seen since its start.
func (c *Client) Counts() Counts { return c.counts.snapshot() }

// Picker returns the present picker, for requests that go to servers of the caller's choice.
func (c *Client) Picker() *routing.Picker { return c.opts.Router.Picker() }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NoReplicaRetry is how long a caller should wait when no replica can take its request.
const NoReplicaRetry = time.Second

func noReplica(err error) *callerapi.Error {
	return callerapi.NotRun(callerapi.NoReplica, "%v", err).WithRetryAfter(NoReplicaRetry)
}

// Bounds of the wait for a picker that follows a change of the configuration by a few milliseconds.
const (
	pickerTries = 50
	pickerPause = 2 * time.Millisecond
)

// pick chooses a replica. The configuration of the request may name a target that the picker does not have yet.
func (c *Client) pick(q routing.Query, revision int64) (*routing.Replica, error) {
	q.Random = rand.Uint64()
	for tries := 0; ; tries++ {
		q.Now = time.Now()
		picker := c.opts.Router.Picker()
		replica, err := picker.Pick(q)
		var unknown *routing.UnknownTargetError
		if tries == pickerTries || picker.Revision >= revision || !errors.As(err, &unknown) {
			return replica, err
		}
		time.Sleep(pickerPause)
	}
}

// Call runs a call of a plain service.
func (c *Client) Call(ctx context.Context, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	c.budget.CountRequest(time.Now())
	f := c.newCall(r)
	first, e := f.next()
	if e != nil {
		return nil, e
	}
	if delay, ok := c.hedge.Delay(&r.Work); ok {
		return c.hedged(ctx, r, f, first, delay)
	}
	return f.run(ctx, first, r)
}

// Delivery is how one exchange of a call ended.
type Delivery struct {
	Result *peerapi.CallResult
	// Err says whether the call may have run; nil with a result.
	Err *callerapi.Error
	// Answered says that the side process refused the call, or ran it. Otherwise the exchange broke, and Sent says
	// whether the side process may have seen the call.
	Answered, Sent bool
}

// CallAt makes one exchange of a call with one replica and repeats nothing.
func (c *Client) CallAt(ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest) Delivery {
	o := c.exchangeCall(ctx, replica, r, false)
	d := Delivery{Result: o.result, Answered: o.err == nil, Sent: o.sent}
	if !o.ok() {
		d.Result, d.Err = nil, errorOf(ctx, &o, o.sent && !refusedUnrun(&o))
	}
	return d
}

func (c *Client) exchangeCall(
	ctx context.Context, replica *routing.Replica, r *peerapi.CallRequest, fresh bool,
) outcome {
	own := *r
	own.Server = replica.Name
	own.DeadlineMs = left(ctx, own.DeadlineMs)
	a := &attempt{
		c: c, replica: replica, path: peerapi.PathCall, id: own.ID, body: &own, event: noEvents, fresh: fresh,
	}
	o := a.run(ctx)
	if o.ok() && o.result == nil {
		o.err = merry.Wrap(&BrokenError{Cause: &MissingResultError{}})
	}
	return o
}

func noEvents([]byte) error { return nil }

// left returns the time until the deadline in milliseconds.
func left(ctx context.Context, limit int64) int64 {
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
		out, err := c.tokenAt(ctx, replica, r)
		if err == nil {
			return out, nil
		}
		q.Tried = append(q.Tried, replica)
		if ctx.Err() != nil || len(q.Tried) == maxAttempts || !c.mayRetry() {
			return nil, callerapi.NotRun(callerapi.BackendFailed, "no token: %v", err).WithRetryAfter(NoReplicaRetry)
		}
	}
}

func (c *Client) tokenAt(
	ctx context.Context, replica *routing.Replica, r *peerapi.TokenRequest,
) (*peerapi.TokenResponse, error) {
	var out peerapi.TokenResponse
	if err := c.ask(ctx, replica.Address, peerapi.PathToken, r, &out); err != nil {
		return nil, err
	}
	if out.Token == "" {
		return nil, merry.Wrap(&MissingTokenError{})
	}
	return &out, nil
}

// ask makes one small call on a new connection.
func (c *Client) ask(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return askBody(ctx, c.asks, address, path, body, out)
}
