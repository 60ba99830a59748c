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

// drainBytes bounds what is read after the last frame, so that the connection can be used again.
const drainBytes = 4 << 10

// attempt is one exchange of a request with one replica.
type attempt struct {
	c       *Client
	replica *routing.Replica
	path    string
	id      string
	body    any
	// next is the sequence number of the first event wanted, and after the run of the first one missing.
	next int64
	// event receives the data of each event, which is valid during the call only.
	event func(data []byte) error
	// fresh makes the exchange use a new connection, after one to the same replica has failed. The pool may hold
	// others that fail likewise.
	fresh bool

	conn   net.Conn
	reused bool
	// sent is set when a connection was obtained: the side process may have seen the request.
	sent atomic.Bool
	// answered is set when the first byte of the answer came.
	answered atomic.Bool
}

// outcome is how an attempt ended: with a result, a refusal by the side process, or an error.
type outcome struct {
	result  *peerapi.CallResult
	refusal *peerapi.FrameError
	err     error
	// sent says that the side process may have seen the request.
	sent bool
	// stale says that the connection may have failed alone: it went silent, or it was idle before.
	stale bool
}

func (o *outcome) ok() bool { return o.refusal == nil && o.err == nil }

// run makes the exchange. It tells the membership and the replica what it saw.
func (a *attempt) run(ctx context.Context) outcome {
	a.replica.Begin()
	defer a.replica.End()
	silence := a.c.opts.Silence
	// The exchange outlives the caller's context by the drain of its connection, which release bounds.
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	watchdog := time.AfterFunc(silence, func() { cancel(&SilentError{For: silence}) })
	resp, err := a.post(httptrace.WithClientTrace(inner, a.trace()))
	if err == nil {
		a.answered.Store(true)
		watchdog.Reset(silence)
	}
	var o outcome
	if err == nil {
		o = a.read(resp, &watched{r: resp.Body, timer: watchdog, silence: silence})
	} else {
		o.err = err
	}
	o.sent = a.sent.Load()
	a.classify(ctx, inner, &o)
	a.tell(ctx, &o)
	detach()
	a.release(resp, o.err != nil, func() { watchdog.Stop(); cancel(nil) })
	return o
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.conn, a.reused = info.Conn, info.Reused
		a.c.conns.take(info.Conn, a)
		a.sent.Store(true)
	}}
}

func (a *attempt) post(ctx context.Context) (*http.Response, error) {
	body, err := json.Marshal(a.body)
	if err != nil {
		return nil, err
	}
	target := "http://" + a.replica.Address + a.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.GetBody = nil // The transport must not repeat a request by itself.
	if a.fresh {
		return a.c.fresh.Do(req)
	}
	return a.c.http.Do(req)
}

// watched restarts the watchdog with every byte.
type watched struct {
	r       io.Reader
	timer   *time.Timer
	silence time.Duration
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if n > 0 {
		w.timer.Reset(w.silence)
	}
	return n, err
}

func (a *attempt) read(resp *http.Response, body io.Reader) outcome {
	if resp.StatusCode != http.StatusOK {
		return outcome{err: &StatusError{Status: resp.StatusCode}}
	}
	a.report(resp.Header.Get(peerapi.HeaderLoad))
	frames := newFrameReader(body, a.id, a.next, &a.c.counts)
	for {
		data, last, err := frames.read()
		a.next = frames.next
		switch {
		case err != nil:
			return outcome{err: err}
		case last != nil && last.Error != nil:
			return outcome{refusal: last.Error}
		case last != nil:
			return outcome{result: last.Result}
		}
		if err := a.event(data); err != nil {
			return outcome{err: &CallerGoneError{Cause: err}}
		}
	}
}

// report takes the load report that comes with every answer.
func (a *attempt) report(text string) {
	var l peerapi.Load
	if text == "" || json.Unmarshal([]byte(text), &l) != nil || l.Server != a.replica.Name {
		return
	}
	a.replica.ObserveReport(time.Now(), routing.Report{
		Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, SupportsContinuation: l.Continues,
	})
	a.c.opts.Members.Report(reportOf(&l))
}

func reportOf(l *peerapi.Load) membership.Report {
	return membership.Report{Server: l.Server, Incarnation: l.Incarnation, Draining: l.Draining, Slow: l.Slow}
}

// classify replaces the error of a cancelled exchange by its cause.
func (a *attempt) classify(ctx, inner context.Context, o *outcome) {
	if o.err == nil {
		return
	}
	var silent *SilentError
	if ctx.Err() == nil && errors.As(context.Cause(inner), &silent) {
		o.err = silent
	}
	var broken *url.Error
	switch {
	case !o.sent:
		o.err = &NotSentError{Cause: o.err}
	case errors.As(o.err, &broken):
		o.err = &BrokenError{Cause: o.err}
	}
	o.err = merry.Wrap(o.err)
}

// tell reports what the exchange showed of the server. An exchange that the caller or the deadline ended shows
// nothing, and neither does a reused connection that the other side had closed while it was idle.
func (a *attempt) tell(ctx context.Context, o *outcome) {
	var silent *SilentError
	var broken *BrokenError
	var unsent *NotSentError
	members, name := a.c.opts.Members, a.replica.Name
	switch {
	case o.err == nil:
		members.Connected(name, a.replica.Domain)
		if o.refusal != nil && o.refusal.Type == callerapi.Overloaded {
			a.replica.ObserveRefusal(time.Now())
		}
	case ctx.Err() != nil:
	case errors.As(o.err, &unsent):
		members.Failed(name)
	case errors.As(o.err, &silent):
		o.stale = true
		a.c.counts.silent.Add(1)
		a.c.counts.staleConnections.Add(int64(a.c.conns.closeIdle(a.replica.Address)))
		members.Silent(name)
	case errors.As(o.err, &broken):
		a.c.counts.broken.Add(1)
		o.stale = a.reused && !a.answered.Load()
		if !o.stale {
			members.Failed(name)
		}
	}
}

// release frees the exchange. After a whole answer the rest of the body is read, which makes the connection
// available again; this needs no wait of the caller.
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
		_, _ = io.CopyN(io.Discard, resp.Body, drainBytes)
		a.c.conns.leave(a.conn, a)
		resp.Body.Close()
	}()
}
