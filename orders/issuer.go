package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"lavendermoor.example/clients/httpstatus"
	"lavendermoor.example/clients/kv"
)

// RefusedError reports that the engine rejected the order, which had no effect. Status is the HTTP status.
type RefusedError struct {
	Status int
	Refusal
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the order with status %d: %s", e.Status, e.Message)
}

// StatusError reports a response with a status that says nothing of the order, which may have taken effect.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("engine answered status %d", e.Status) }

// FailedError reports that the engine accepted the order but could not execute it.
type FailedError struct{ Result }

func (e *FailedError) Error() string {
	return fmt.Sprintf("order %s ended as %s: %s", e.ID, e.State, e.Detail)
}

// UnknownOutcomeError reports that an order was sent and may have taken effect, but its result is not known. The order
// can be retried with the same ID.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("order %s may have taken effect: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// IssuerOptions are the dependencies and settings of an Issuer.
type IssuerOptions struct {
	Server string
	Lease  *Lease
	Store  kv.Store
	// Engine is the base URL of the engine.
	Engine *url.URL
	// ChecksFencing is set if the engine itself rejects stale fencing tokens.
	ChecksFencing bool
	HTTP          *http.Client
	// PollInterval is the delay between two polls for the result of a running order.
	PollInterval time.Duration
}

// Counts are the counters of an Issuer.
type Counts struct {
	// Sent counts requests with an order, including retries.
	Sent int64 `json:"sent"`
	Done int64 `json:"done"`
	// Withheld counts orders that were not sent because the lease was not held or the floor did not permit them.
	Withheld int64 `json:"withheld"`
}

// Issuer sends orders to one engine under a lease. It is safe for concurrent use.
type Issuer struct {
	opts IssuerOptions
	gate *FencingGate

	mu     sync.Mutex
	counts Counts
}

// NewIssuer returns an issuer. It acquires the lease to send an order and does not renew it while the order runs, so
// that a load of several minutes costs one read and one write of the key-value service.
func NewIssuer(opts IssuerOptions) *Issuer {
	return &Issuer{opts: opts, gate: NewFencingGate(opts.Server)}
}

// Counts returns the counters since the start.
func (i *Issuer) Counts() Counts {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counts
}

func (i *Issuer) count(fn func(c *Counts)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	fn(&i.counts)
}

// Issue sends an order and waits for its result. After a lost response it retries with the same ID as long as the
// lease is held. It fails with
//   - an *InvalidError, *LeaseExpiredError, *StaleError, *FloorUnknownError, *RefusedError or an error of
//     Lease.Ensure: this call had no effect;
//   - the error of the context: nothing was sent, or the engine rejected the order;
//   - a *FailedError: the engine accepted the order but could not execute it;
//   - an *UnknownOutcomeError: the order may have taken effect.
func (i *Issuer) Issue(ctx context.Context, o Order) (Result, error) {
	o.Server = i.opts.Server
	if err := o.Validate(); err != nil {
		return Result{}, merry.Wrap(err)
	}
	if err := i.prepare(ctx); err != nil {
		i.count(func(c *Counts) { c.Withheld++ })
		return Result{}, err
	}
	unresolved := false
	result, err := backoff.Retry(ctx, func() (Result, error) {
		return i.attempt(ctx, o, &unresolved)
	}, backoff.WithBackOff(retryBackOff()))
	return i.finish(ctx, o, result, err, unresolved)
}

func retryBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	return b
}

// prepare acquires the lease, and reads the floor before the first order to an engine that does not check fencing
// tokens.
func (i *Issuer) prepare(ctx context.Context) error {
	if err := i.opts.Lease.Ensure(ctx); err != nil {
		return err
	}
	if i.opts.ChecksFencing || i.gate.FloorKnown() {
		return nil
	}
	return i.gate.ReadFloor(ctx, i.opts.Store)
}

// attempt sends the order once. It sets unresolved if the order may have taken effect but no valid response arrived,
// and marks an error as permanent if a retry cannot succeed.
func (i *Issuer) attempt(ctx context.Context, o Order, unresolved *bool) (Result, error) {
	fence, err := i.fencingToken()
	if err != nil {
		i.count(func(c *Counts) { c.Withheld++ })
		return Result{}, backoff.Permanent(err)
	}
	o.Fence = fence
	result, sent, err := i.post(ctx, o)
	var refused *RefusedError
	isRefused := errors.As(err, &refused)
	if sent && err != nil && !isRefused {
		*unresolved = true
	}
	var expired *LeaseExpiredError
	if isRefused || errors.As(err, &expired) {
		return Result{}, backoff.Permanent(err)
	}
	return result, err
}

// fencingToken returns the fencing token for an order to be sent now, or an error if none may be sent.
func (i *Issuer) fencingToken() (int64, error) {
	fence, err := i.opts.Lease.Check()
	if err != nil || i.opts.ChecksFencing {
		return fence, err
	}
	return fence, i.gate.Admit(fence)
}

// finish waits for the end of a running order. The rejection of a retry does not resolve an earlier request whose
// response was lost.
func (i *Issuer) finish(ctx context.Context, o Order, r Result, err error, unresolved bool) (Result, error) {
	for err == nil && r.State == Running {
		unresolved = true
		r, err = i.pollResult(ctx, o.ID, r)
	}
	switch {
	case err != nil && unresolved:
		return Result{}, merry.Wrap(&UnknownOutcomeError{ID: o.ID, Cause: err})
	case err != nil:
		return Result{}, err
	case r.State != Done:
		return r, merry.Wrap(&FailedError{Result: r})
	}
	i.count(func(c *Counts) { c.Done++ })
	return r, nil
}

// pollResult polls once for the result of a running order, which needs no lease. After a failed poll it returns the
// last result, so that finish polls again until the context ends.
func (i *Issuer) pollResult(ctx context.Context, id string, last Result) (Result, error) {
	select {
	case <-time.After(i.opts.PollInterval):
	case <-ctx.Done():
		return last, ctx.Err()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.opts.Engine.JoinPath(PathOrders, id).String(), nil)
	if err != nil {
		return last, merry.Wrap(err)
	}
	r, err := i.roundTrip(req)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return last, err // The engine has restarted and lost the order.
	}
	if err != nil {
		r = last
	}
	return r, nil
}

// checkedBody is a request body that checks the lease at the first read. The transport reads the body only once it
// has a connection, so the check comes after any wait for the connection. The transport may still read from another
// goroutine after it has returned an error.
type checkedBody struct {
	lease *Lease
	fence int64

	mu      sync.Mutex
	body    *bytes.Reader
	started bool
	// err is the error of all further reads: that of the failed lease check, or io.ErrClosedPipe after stop.
	err error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started && b.err == nil {
		fence, err := b.lease.Check()
		if err == nil && fence != b.fence {
			err = merry.Wrap(&LeaseExpiredError{Fence: b.fence})
		}
		b.started, b.err = err == nil, err
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.body.Read(p)
}

// stop makes further reads fail, so that nothing more is sent. It returns whether any of the body was sent, and the
// error of the lease check.
func (b *checkedBody) stop() (sent bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	err = b.err
	b.err = io.ErrClosedPipe
	return b.started, err
}

// post sends the order. The second result reports whether any of the order was sent.
func (i *Issuer) post(ctx context.Context, o Order) (Result, bool, error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return Result{}, false, merry.Wrap(err)
	}
	body := &checkedBody{lease: i.opts.Lease, fence: o.Fence, body: bytes.NewReader(raw)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.opts.Engine.JoinPath(PathOrders).String(), io.NopCloser(body))
	if err != nil {
		return Result{}, false, merry.Wrap(err)
	}
	req.ContentLength = int64(len(raw))
	r, err := i.roundTrip(req)
	sent, checkErr := body.stop()
	if sent {
		i.count(func(c *Counts) { c.Sent++ })
	}
	if checkErr != nil {
		return Result{}, false, checkErr
	}
	return r, sent, err
}

// maxResultBytes limits the response to an order.
const maxResultBytes = 1 << 20

func (i *Issuer) roundTrip(req *http.Request) (Result, error) {
	resp, err := i.opts.HTTP.Do(req)
	if err != nil {
		return Result{}, merry.Wrap(err)
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResultBytes))
	switch {
	case httpstatus.IsRejection(resp.StatusCode):
		refused := &RefusedError{Status: resp.StatusCode}
		_ = dec.Decode(&refused.Refusal)
		return Result{}, merry.Wrap(refused)
	case resp.StatusCode != http.StatusOK:
		return Result{}, merry.Wrap(&StatusError{Status: resp.StatusCode})
	}
	var r Result
	if err := dec.Decode(&r); err != nil {
		return Result{}, merry.Wrap(err)
	}
	return r, nil
}
