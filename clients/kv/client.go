package kv

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/clients/httpstatus"
)

// Client is a Store that calls the JSON gateway of etcd v3 over HTTP. It is safe for concurrent use.
type Client struct {
	base        *url.URL
	http        *http.Client
	timeout     time.Duration
	observeCall func(call string, err error)
}

// maxResponseBytes limits a response. The largest ones are lists of values in base64.
const maxResponseBytes = 64 << 20

// NewClient returns a client of the service at base, an absolute URL. A call that takes longer than timeout fails. If
// observeCall is not nil, it is called once for each call with its name and error, for metrics.
func NewClient(base *url.URL, timeout time.Duration, observeCall func(call string, err error)) *Client {
	if observeCall == nil {
		observeCall = func(string, error) {}
	}
	// The idle timeout is short: an idle connection may break without notice, and the next call on it would fail.
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 15 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout, observeCall: observeCall}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var out WireRangeResponse
	if err := c.call(ctx, "get", PathRange, &WireRange{Key: []byte(key)}, &out); err != nil {
		return Entry{}, err
	}
	if len(out.KVs) == 0 {
		return Entry{}, merry.Wrap(&NotFoundError{Key: key})
	}
	return entryOf(out.KVs[0]), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, from string, limit int) ([]Entry, error) {
	if from < prefix {
		from = prefix
	}
	in := &WireRange{Key: []byte(from), RangeEnd: PrefixEnd(prefix), Limit: int64(limit)}
	var out WireRangeResponse
	if err := c.call(ctx, "list", PathRange, in, &out); err != nil {
		return nil, err
	}
	entries := make([]Entry, len(out.KVs))
	for i, kv := range out.KVs {
		entries[i] = entryOf(kv)
	}
	return entries, nil
}

func entryOf(kv WireKV) Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, CreateRevision: kv.CreateRevision}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64, lease LeaseID) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, merry.Wrap(&ValueTooLargeError{Key: key, Bytes: len(value)})
	}
	op := WireOp{RequestPut: &WirePut{Key: []byte(key), Value: value, Lease: int64(lease)}}
	return c.write(ctx, "put", key, expected, op)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	op := WireOp{RequestDeleteRange: &WireDelete{Key: []byte(key)}}
	_, err := c.write(ctx, "delete", key, expected, op)
	return err
}

func (c *Client) write(ctx context.Context, call, key string, expected int64, op WireOp) (int64, error) {
	in := &WireTxn{
		Compare: []WireCompare{{Target: "MOD", Result: "EQUAL", Key: []byte(key), ModRevision: expected}},
		Success: []WireOp{op},
	}
	var out WireTxnResponse
	if err := c.call(ctx, call, PathTxn, in, &out); err != nil {
		var unknown *UnknownOutcomeError
		if errors.As(err, &unknown) {
			unknown.Key = key
		}
		return 0, err
	}
	if !out.Succeeded {
		return 0, merry.Wrap(&ConflictError{Key: key, Expected: expected})
	}
	return out.Header.Revision, nil
}

// Grant implements Store. If the response is lost, the lease expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out WireLease
	in := &WireLease{TTL: int64((ttl + time.Second - 1) / time.Second)}
	err := c.call(ctx, "grant", PathGrant, in, &out)
	return LeaseID(out.ID), err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var out WireLeaseKeepAlive
	if err := c.call(ctx, "keepalive", PathKeepAlive, &WireLease{ID: int64(id)}, &out); err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, merry.Wrap(&LeaseExpiredError{ID: id})
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, "revoke", PathRevoke, &WireLease{ID: int64(id)}, &struct{}{})
}

// call makes one call. Errors are *UnavailableError if the request cannot have taken effect, *UnknownOutcomeError if it
// may have, and *ProtocolError.
func (c *Client) call(ctx context.Context, name, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.roundTrip(ctx, path, in, out)
	c.observeCall(name, err)
	return err
}

func (c *Client) roundTrip(ctx context.Context, path string, in, out any) error {
	resp, err := c.post(ctx, path, in)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return merry.Wrap(&UnknownOutcomeError{Cause: err})
	}
	if err := statusError(resp.StatusCode, body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return merry.Wrap(&UnknownOutcomeError{Cause: err})
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base.JoinPath(path).String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not retry a request by itself, so an unknown outcome is reported.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

// transportError distinguishes a refused connection, on which nothing was sent, from failures that may have occurred
// later.
func transportError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return merry.Wrap(&UnavailableError{Cause: err})
	}
	return merry.Wrap(&UnknownOutcomeError{Cause: err})
}

// etcdTimeoutPrefix is the prefix of the messages of etcd's own timeouts. They have status 503 like other
// unavailability, but the proposal was made and may still be applied.
const etcdTimeoutPrefix = "etcdserver: request timed out"

func statusError(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var e WireError
	if json.Unmarshal(body, &e) != nil {
		e.Message = string(body)
	}
	detail := &ProtocolError{Status: status, Detail: e.Message}
	switch {
	case strings.HasPrefix(e.Message, etcdTimeoutPrefix):
		return merry.Wrap(&UnknownOutcomeError{Cause: detail})
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return merry.Wrap(&UnavailableError{Cause: detail})
	case !httpstatus.IsRejection(status):
		// The service, or a load balancer in front of it, failed during the call, or the status says nothing about it.
		return merry.Wrap(&UnknownOutcomeError{Cause: detail})
	}
	return merry.Wrap(detail)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error {
	create := WireWatchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if after > 0 {
		create.StartRevision = after + 1
	}
	resp, err := c.post(ctx, PathWatch, &WireWatch{CreateRequest: create})
	c.observeCall("watch", err)
	if err != nil {
		return merry.Wrap(&UnavailableError{Cause: err})
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, nil)
	}
	return readWatch(resp.Body, fn)
}

func readWatch(body io.Reader, fn func(Event)) error {
	limited := &io.LimitedReader{R: body}
	dec := json.NewDecoder(bufio.NewReader(limited))
	for {
		limited.N = maxResponseBytes // A line without end must not be read into memory.
		var line WireWatchLine
		if err := dec.Decode(&line); err != nil {
			return merry.Wrap(&UnavailableError{Cause: err})
		}
		if line.Result == nil {
			return merry.Wrap(&ProtocolError{Status: http.StatusOK, Detail: string(line.Error)})
		}
		for _, e := range line.Result.Events {
			fn(Event{Entry: entryOf(e.KV), Deleted: e.Type == "DELETE"})
		}
		if line.Result.Canceled {
			return cancellationError(line.Result)
		}
	}
}

// cancellationError returns the error for a watch that the service has canceled. The watch must end with it, because
// the service keeps the connection open after a cancellation.
func cancellationError(r *WireWatchResult) error {
	if r.CompactRevision > 0 {
		return merry.Wrap(&CompactedError{Oldest: r.CompactRevision})
	}
	return merry.Wrap(&ProtocolError{Status: http.StatusOK, Detail: "watch canceled: " + r.CancelReason})
}
