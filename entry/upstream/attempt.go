package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// maxDrainBytes bounds the bytes read after the last frame. The connection can be reused only after the body has been
// read to its end.
const maxDrainBytes = 4 << 10

// attempt is one exchange of a request with one replica.
type attempt struct {
	c       *Client
	replica *routing.Replica
	path    string
	id      string
	request any
	// nextSeq is the sequence number of the first event that has not been received from a sidecar; run advances it.
	nextSeq int64
	// lastEventID is the engine's ID of the event before nextSeq, empty if it gave none; run advances it.
	lastEventID string
	// onEvent receives the data of each event, which is valid until onEvent returns.
	onEvent func(data []byte) error
	// newConnection forces a new connection after one to the same replica has failed, because other pooled connections
	// may fail likewise.
	newConnection bool
	// reserveRetry reports whether the request can be retried if this exchange, which is silent, is canceled. If so, it
	// takes the retry from the budget. If reserveRetry is nil, a silent exchange is always canceled.
	reserveRetry func() bool

	conn   net.Conn
	reused bool
	// sent is set once a connection has been obtained; from then on, the sidecar may have received the request.
	sent           atomic.Bool
	headerReceived atomic.Bool
}

// attemptResult is the result of an attempt: a call result, a refusal by the sidecar, or an error.
type attemptResult struct {
	result  *peerapi.CallResult
	refusal *peerapi.FrameError
	err     error
	// sent is set if the sidecar may have received the request.
	sent bool
	// staleConnection is set if only the connection may have failed, not the server: it became silent, or it was reused
	// and broke before the response header arrived.
	staleConnection bool
}

func (res *attemptResult) ok() bool { return res.refusal == nil && res.err == nil }

// run makes the exchange and reports its result to the membership tracker and the replica.
func (a *attempt) run(ctx context.Context) attemptResult {
	a.replica.Begin()
	defer a.replica.End()
	// release drains the response body after run has returned, when the caller's context may have ended. The exchange
	// therefore has a context of its own; maxDrainBytes and the watchdog bound the drain.
	attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	watchdog := newWatchdog(a, cancel)
	resp, err := a.post(httptrace.WithClientTrace(attemptCtx, a.trace()))
	if err == nil {
		a.headerReceived.Store(true)
		watchdog.reset()
	}
	var res attemptResult
	if err == nil {
		res = a.read(resp, &watchedReader{r: resp.Body, watchdog: watchdog})
	} else {
		res.err = err
	}
	watchdog.endExchange()
	res.sent = a.sent.Load()
	a.classifyError(ctx, attemptCtx, &res)
	a.reportHealth(ctx, &res)
	detach()
	a.release(resp, res.err != nil, func() { watchdog.stop(); cancel(nil) })
	return res
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.conn, a.reused = info.Conn, info.Reused
		a.c.conns.acquire(info.Conn, a)
		a.sent.Store(true)
	}}
}

func (a *attempt) post(ctx context.Context) (*http.Response, error) {
	body, err := json.Marshal(a.request)
	if err != nil {
		return nil, err
	}
	target := "http://" + a.replica.Address + a.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.GetBody = nil // The transport must not retry a request by itself.
	if a.newConnection {
		return a.c.unpooled.Do(req)
	}
	return a.c.pooled.Do(req)
}

func (a *attempt) read(resp *http.Response, body io.Reader) attemptResult {
	if resp.StatusCode != http.StatusOK {
		return attemptResult{err: &StatusError{Status: resp.StatusCode}}
	}
	a.observeLoad(resp.Header.Get(peerapi.HeaderLoad))
	frames := newFrameReader(body, a.id, a.nextSeq, &a.c.counters)
	frames.lastEventID = a.lastEventID
	for {
		data, last, err := frames.read()
		a.nextSeq, a.lastEventID = frames.nextSeq, frames.lastEventID
		switch {
		case err != nil:
			return attemptResult{err: err}
		case last != nil && last.Error != nil:
			return attemptResult{refusal: last.Error}
		case last != nil:
			return attemptResult{result: last.Result}
		}
		if err := a.onEvent(data); err != nil {
			return attemptResult{err: &CallerDisconnectedError{Cause: err}}
		}
	}
}

// observeLoad records the load report in the response header.
func (a *attempt) observeLoad(text string) {
	var l peerapi.LoadReport
	if text == "" || json.Unmarshal([]byte(text), &l) != nil || l.Server != a.replica.Name {
		return
	}
	a.replica.ObserveReport(time.Now(), routing.Report{
		Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, SupportsContinuation: l.SupportsContinuation,
	})
	a.c.opts.Members.ObserveReport(membershipReport(&l))
}

func membershipReport(l *peerapi.LoadReport) membership.Report {
	return membership.Report{Server: l.Server, Incarnation: l.Incarnation, Draining: l.Draining, Slow: l.Slow}
}

// classifyError replaces the attempt's error by one of the types of this package. The error of an exchange that the
// watchdog canceled becomes a *SilentConnectionError.
func (a *attempt) classifyError(ctx, attemptCtx context.Context, res *attemptResult) {
	if res.err == nil {
		return
	}
	var silent *SilentConnectionError
	if ctx.Err() == nil && errors.As(context.Cause(attemptCtx), &silent) {
		res.err = silent
	}
	var urlErr *url.Error
	switch {
	case !res.sent:
		res.err = &NotSentError{Cause: res.err}
	case errors.As(res.err, &urlErr):
		res.err = &IncompleteResponseError{Cause: res.err}
	}
	res.err = merry.Wrap(res.err)
}

// reportHealth reports what the exchange showed about the server's health. An exchange ended by the caller or the
// deadline shows nothing. A reused connection that breaks before the response header arrives shows nothing either,
// because the server may have closed it while it was idle.
func (a *attempt) reportHealth(ctx context.Context, res *attemptResult) {
	var silent *SilentConnectionError
	var incomplete *IncompleteResponseError
	var unsent *NotSentError
	members, name := a.c.opts.Members, a.replica.Name
	switch {
	case res.err == nil:
		members.ObserveSuccess(name, a.replica.Domain)
		if res.refusal != nil && res.refusal.Type == callerapi.Overloaded {
			a.replica.ObserveRefusal(time.Now())
		}
	case ctx.Err() != nil:
	case errors.As(res.err, &unsent):
		members.ObserveFailure(name)
	case errors.As(res.err, &silent):
		res.staleConnection = true
		a.c.counters.silent.Add(1)
		a.c.counters.staleConnections.Add(int64(a.c.conns.closeIdle(a.replica.Address)))
		members.ObserveSilence(name)
	case errors.As(res.err, &incomplete):
		a.c.counters.broken.Add(1)
		res.staleConnection = a.reused && !a.headerReceived.Load()
		if !res.staleConnection {
			members.ObserveFailure(name)
		}
	}
}

// release ends the exchange and releases its connection. After a complete response, it drains the body in the
// background, which lets the connection be reused without delaying the caller.
func (a *attempt) release(resp *http.Response, failed bool, stop func()) {
	if resp == nil {
		stop()
		return
	}
	if failed {
		stop()
		resp.Body.Close()
		return
	}
	go func() {
		defer stop()
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
		a.c.conns.release(a.conn, a)
		resp.Body.Close()
	}()
}
