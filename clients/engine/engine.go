// Package engine is the client of backend servers: model engines with an OpenAI-style HTTP interface and server-sent
// events, and plain services.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/httpstatus"
)

// UnreachableError reports that no connection to the backend server could be established, so nothing ran. Its text and
// those of the errors below can reach callers.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("backend server is not reachable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BrokenError reports an exchange that failed, or got a response with a status that HTTP does not have, after the request
// may have reached the backend server.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with the backend server broke: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// StatusError reports a response of an engine with a status other than 200.
type StatusError struct {
	Status int
	// Detail is the start of the response body.
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d: %s", e.Status, e.Detail)
}

// InvalidBodyError reports that a request body is not a JSON object; nothing was sent.
type InvalidBodyError struct{ Cause error }

func (e *InvalidBodyError) Error() string {
	return fmt.Sprintf("request body is not a JSON object: %v", e.Cause)
}

// ResultTooLargeError reports that the response of a plain service has more than Limit bytes. It is wrapped in a
// *BrokenError, as the call has run.
type ResultTooLargeError struct{ Limit int64 }

func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("answer has more than %d bytes", e.Limit)
}

// Client is a client of one backend server. It is safe for concurrent use.
type Client struct {
	base *url.URL
	http *http.Client
}

// Limits of the connections to the backend server, which runs on the same instance or next to it, and of its responses.
const (
	idleConnections = 256
	idleTimeout     = 15 * time.Second
	maxResultBytes  = 64 << 20
	maxEventBytes   = 1 << 20
	maxHeaderBytes  = 64 << 10
	maxErrorBytes   = 4 << 10
)

// NewClient returns a client of the backend server at base, an absolute URL.
func NewClient(base *url.URL) *Client {
	transport := &http.Transport{
		DialContext:  dial,
		MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{base: base, http: &http.Client{
		Transport: transport,
		// A redirect is returned to the caller. Following it would send a second request, possibly to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Generate runs a generation and calls fn for each event in order, except the final [DONE]. It returns nil only if the
// engine has completed the stream. A generation is idempotent, so the caller may run it again. Errors are
// *UnreachableError, *BrokenError, *StatusError, *InvalidBodyError, and those of fn.
func (c *Client) Generate(ctx context.Context, r *peerapi.GenerateRequest, fn EventFunc) error {
	body, err := generationBody(r)
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {r.ID}}
	if r.LastEventID != "" {
		header.Set(headerLastEventID, r.LastEventID)
	}
	resp, err := c.send(ctx, http.MethodPost, c.base.JoinPath(r.Path), header, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return merry.Wrap(&StatusError{Status: resp.StatusCode, Detail: string(detail)})
	}
	return readEvents(resp.Body, fn)
}

// generationBody returns the caller's body with the fields that the sidecar sets or overwrites.
func generationBody(r *peerapi.GenerateRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, merry.Wrap(&InvalidBodyError{Cause: err})
	}
	fields["stream"] = json.RawMessage("true")
	model := r.Model
	if r.Adapter != "" {
		model += ":" + r.Adapter
	}
	set := func(name string, v any) {
		fields[name], _ = json.Marshal(v) // Strings and integers always marshal.
	}
	set("model", model)
	set("priority", r.Priority)
	if r.ResumeFrom > 0 && r.LastEventID == "" {
		set("resume_from", r.ResumeFrom)
	}
	if len(r.Generated) > 0 {
		fields["generated"] = r.Generated
	}
	return json.Marshal(fields)
}

// headerLastEventID carries the ID after which a stream of server-sent events continues.
const headerLastEventID = "Last-Event-Id"

// EventFunc receives one event of a generation and its ID, which is empty if the engine gives none.
type EventFunc func(id string, event json.RawMessage) error

// doneEvent ends a stream in the OpenAI-style interface.
const doneEvent = "[DONE]"

func readEvents(body io.Reader, fn EventFunc) error {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return merry.Wrap(&BrokenError{Cause: err})
		}
		if ev.Data == doneEvent {
			return nil
		}
		if err := fn(ev.LastEventID, json.RawMessage(ev.Data)); err != nil {
			return err
		}
	}
	return merry.Wrap(&BrokenError{Cause: io.ErrUnexpectedEOF})
}

// Call runs one call of a plain service. After an *UnreachableError it did not run; after a *BrokenError it may have
// run.
func (c *Client) Call(ctx context.Context, r *peerapi.CallRequest) (*peerapi.CallResult, error) {
	u := c.base.JoinPath(r.Path)
	u.RawQuery = r.Query
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("X-Request-Id", r.ID)
	resp, err := c.send(ctx, r.Method, u, header, r.Body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := readResult(resp.Body)
	if err != nil {
		return nil, merry.Wrap(&BrokenError{Cause: err})
	}
	return &peerapi.CallResult{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readResult reads a complete response body. It fails with a *ResultTooLargeError if the body exceeds maxResultBytes.
func readResult(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResultBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResultBytes {
		return nil, &ResultTooLargeError{Limit: maxResultBytes}
	}
	return body, nil
}

func (c *Client) send(
	ctx context.Context, method string, u *url.URL, header http.Header, body []byte,
) (*http.Response, error) {
	// http.Transport retries a request if its body is empty or can be rewound and the method or an Idempotency-Key
	// header makes it look idempotent. Only the operators' rules decide what may be retried, so the body is wrapped in
	// a type that cannot be rewound.
	req, err := http.NewRequestWithContext(ctx, method, u.String(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, merry.Wrap(&UnreachableError{Cause: err})
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	resp, err := c.http.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, merry.Wrap(&UnreachableError{Cause: err})
	}
	if err == nil {
		err = c.checkStatus(resp)
	}
	if err != nil {
		return nil, merry.Wrap(&BrokenError{Cause: err})
	}
	return resp, nil
}

// checkStatus returns an *httpstatus.InvalidError for a response with a status that HTTP does not have. The response is then
// closed and its connection is not used again: what else arrives on it belongs to no request.
func (c *Client) checkStatus(resp *http.Response) error {
	err := httpstatus.CheckFinal(resp.StatusCode)
	if err != nil {
		resp.Body.Close()
		c.http.CloseIdleConnections()
	}
	return err
}
