package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

const (
	// deadSilence is the time without a byte after which a connection is given up: four keep-alive frames.
	deadSilence = time.Second
	// outcomePause is the time between two questions about a call that still runs.
	outcomePause = 50 * time.Millisecond
)

// once delivers the calls that must not be repeated to the servers that can tell whether they have run. It may be used
// by any goroutine.
type once struct {
	client *http.Client
	// fresh makes a new connection for each request, because the one in use may be silent for good.
	fresh *http.Client
	// incarnations holds the newest known incarnation by server.
	incarnations sync.Map
}

func newOnce() *once {
	return &once{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout}},
		fresh:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// note remembers the incarnation in the load report of an answer.
func (o *once) note(h http.Header) {
	var load peerapi.Load
	if json.Unmarshal([]byte(h.Get(peerapi.HeaderLoad)), &load) == nil && load.Incarnation > 0 {
		o.incarnations.Store(load.Server, load.Incarnation)
	}
}

// incarnation returns the newest known incarnation of a server, or 0.
func (o *once) incarnation(server string) int64 {
	v, ok := o.incarnations.Load(server)
	if !ok {
		return 0
	}
	return v.(int64)
}

// delivery is the answer of one server. Broken says that there was none, and sent that the call may have arrived.
type delivery struct {
	result       *peerapi.CallResult
	err          *callerapi.Error
	broken, sent bool
}

// call delivers a call with a token or a key.
func (o *once) call(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" {
		return o.callToken(ctx, st, r)
	}
	return o.callKey(ctx, st, r)
}

// callKey delivers a call to the holders of its key in rank order. A delivery without an answer, or to a server that
// cannot run the call, is followed by one to the next holder; the key keeps the call from running twice. The refusal
// as not run is passed on only if no delivery before it may still run.
func (o *once) callKey(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	view := idempotency.ViewOf(st, r.Service)
	key := peerapi.CallKey{Service: r.Service, Customer: r.Customer, Key: r.Key}
	last := noReplica()
	lost := false
	for _, m := range view.SetsOf(idempotency.ShardOf(key)).New {
		d := o.deliver(ctx, m, r)
		if d.err == nil {
			return d.result, nil
		}
		if !d.broken && !movesOn(d.err) {
			return nil, afterLost(d.err, lost)
		}
		lost = lost || d.sent
		last = d.err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, afterLost(last, lost)
}

// movesOn says whether another holder may be able to run what this one refused.
func movesOn(e *callerapi.Error) bool {
	return e.Type == callerapi.NoReplica || e.Type == callerapi.Draining || e.Type == callerapi.Overloaded
}

// afterLost makes a refusal as not run unknown when an earlier delivery of the call may still run.
func afterLost(e *callerapi.Error, lost bool) *callerapi.Error {
	if !lost || e.Executed != callerapi.ExecutedNo || e.Type == callerapi.KeyReused {
		return e
	}
	return callerapi.Unknown(callerapi.OutcomeUnknown, "%s", e.Message).WithRetryAfter(noReplicaRetry)
}

// callToken delivers a call to the server that issued its token. When that incarnation is gone, the outcome may have
// been handed to one of the other servers, which never run the token.
func (o *once) callToken(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	token, ok := idempotency.ParseToken(r.Token)
	if !ok {
		return nil, callerapi.NotRun(callerapi.InvalidToken, "the token has not the form of a token")
	}
	view := idempotency.ViewOf(st, r.Service)
	order := idempotency.Ranked(token.Server, view.Servers)
	for _, m := range append(append([]cluster.Member{}, view.Servers...), view.Previous...) {
		if m.Name == token.Server {
			d := o.deliver(ctx, m, r)
			if d.err == nil || !d.broken && d.err.Type != callerapi.OutcomeUnknown {
				return d.result, d.err
			}
			break
		}
	}
	for _, m := range order {
		if m.Name == token.Server || ctx.Err() != nil {
			continue
		}
		if d := o.deliver(ctx, m, r); d.err == nil || !d.broken && d.err.Type != callerapi.OutcomeUnknown {
			return d.result, d.err
		}
	}
	return nil, callerapi.Unknown(callerapi.OutcomeUnknown, "the server that issued the token cannot be asked")
}

// deliver sends a call to one server and reads its answer.
func (o *once) deliver(ctx context.Context, m cluster.Member, r *peerapi.CallRequest) delivery {
	req := *r
	req.Server = m.Name
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineMs = max(1, time.Until(deadline).Milliseconds())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(deadSilence, cancel)
	defer watch.Stop()
	resp, err := postJSON(ctx, o.client, m.Address, peerapi.PathCall, &req)
	if err != nil {
		return lostDelivery(ctx, err)
	}
	defer resp.Body.Close()
	o.note(resp.Header)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrameBytes)
	for lines.Scan() {
		watch.Reset(deadSilence)
		var f peerapi.Frame
		switch {
		case json.Unmarshal(lines.Bytes(), &f) != nil || f.ID != r.ID:
			continue
		case f.Error != nil:
			return delivery{err: frameError(f.Error)}
		case f.End && f.Result != nil:
			return delivery{result: f.Result}
		}
	}
	return lostDelivery(ctx, lines.Err())
}

func lostDelivery(ctx context.Context, err error) delivery {
	if errors.Is(err, syscall.ECONNREFUSED) {
		e := callerapi.NotRun(callerapi.NoReplica, "server cannot be reached").WithRetryAfter(noReplicaRetry)
		return delivery{err: e, broken: true}
	}
	e := callerapi.Unknown(callerapi.OutcomeUnknown, "exchange broke: %v", err).WithRetryAfter(noReplicaRetry)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e = callerapi.Unknown(callerapi.DeadlineExceeded, "deadline passed before the answer came").WithRetryAfter(noReplicaRetry)
	}
	return delivery{err: e, broken: true, sent: true}
}

// outcome asks, on a new connection, what became of a call without token or key after its exchange broke. The
// incarnation is the one that was known before the call was sent, or 0.
func (o *once) outcome(
	ctx context.Context, address string, r *peerapi.CallRequest, incarnation int64, failure *callerapi.Error,
) (*peerapi.CallResult, *callerapi.Error) {
	for {
		out, err := o.askOutcome(ctx, address, &peerapi.OutcomeRequest{ID: r.ID, Incarnation: incarnation})
		switch {
		case err != nil:
			return nil, failure
		case out.Result != nil:
			return out.Result, nil
		case out.Executed == callerapi.ExecutedNo:
			return nil, callerapi.NotRun(callerapi.BackendFailed, "the server did not run the call").WithRetryAfter(noReplicaRetry)
		case !out.Running:
			return nil, failure
		}
		select {
		case <-time.After(outcomePause):
		case <-ctx.Done():
			return nil, failure
		}
	}
}

func (o *once) askOutcome(ctx context.Context, address string, q *peerapi.OutcomeRequest) (*peerapi.OutcomeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, deadSilence)
	defer cancel()
	resp, err := postJSON(ctx, o.fresh, address, peerapi.PathOutcome, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out peerapi.OutcomeResponse
	return &out, json.NewDecoder(resp.Body).Decode(&out)
}

func postJSON(ctx context.Context, client *http.Client, address, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.GetBody = nil // The transport must not repeat a request by itself.
	return client.Do(req)
}

// broken says whether an exchange ended without an answer of the side process.
func broken(e *callerapi.Error) bool {
	failed := e.Type == callerapi.BackendFailed || e.Type == callerapi.StreamBroken
	return failed && e.Executed == callerapi.ExecutedUnknown
}
