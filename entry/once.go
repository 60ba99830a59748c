package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

// deadSilence is the time without a byte after which a connection is given up: four keep-alive frames.
const deadSilence = time.Second

// once delivers the calls that must not be repeated to the servers that can tell whether they have run. It may be used
// by any goroutine.
type once struct {
	client *http.Client
}

func newOnce() *once {
	return &once{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout}},
	}
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
