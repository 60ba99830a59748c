package instances

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
)

// maxListBytes limits a response: 4,000 instances of about 150 bytes each, with headroom for ten times as many.
const maxListBytes = 8 << 20

// maxPollInterval limits the interval between polls while the list cannot be read. The backoff adds jitter of up to
// half the interval, so the longest delay is 30 s.
const maxPollInterval = 20 * time.Second

// Client polls the platform's instance list. It is safe for concurrent use.
type Client struct {
	url     string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the platform at base, an absolute URL. A poll that takes longer than timeout fails.
func NewClient(base *url.URL, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 15 * time.Second}
	return &Client{url: base.JoinPath(Path).String(), http: &http.Client{Transport: transport}, timeout: timeout}
}

// Get reads the whole list. It fails with an *UnavailableError.
func (c *Client) Get(ctx context.Context) (List, error) {
	list, _, err := c.Poll(ctx, 0)
	return list, err
}

// Poll reads the list unless it still has the given version; changed is then false. It fails with an
// *UnavailableError.
func (c *Client) Poll(ctx context.Context, version int64) (list List, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	list, changed, err = c.fetch(ctx, version)
	if err != nil {
		return List{}, false, merry.Wrap(&UnavailableError{Cause: err})
	}
	return list, changed, nil
}

// ETag returns the entity tag of a version of the list.
func ETag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

func (c *Client) fetch(ctx context.Context, version int64) (list List, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, false, err
	}
	if version > 0 {
		req.Header.Set("If-None-Match", ETag(version))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list)
		return list, err == nil, err
	case http.StatusNotModified:
		return List{}, false, nil
	}
	return List{}, false, &StatusError{Status: resp.StatusCode}
}

// Run polls the list until the context ends and applies it to the cache. It calls interval for each delay and adds a
// jitter of ±10%, which spreads the polls of processes that start at the same time. After each failed poll it calls
// onError and backs off.
func (c *Client) Run(ctx context.Context, cache *Cache, interval func() time.Duration, onError func(error)) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.MaxInterval = maxPollInterval
	for {
		list, changed, err := c.Poll(ctx, cache.Version())
		wait := interval()
		wait += time.Duration((rand.Float64() - 0.5) * 0.2 * float64(wait))
		switch {
		case err == nil:
			retryBackoff.Reset()
			if changed {
				cache.ApplyList(list)
			}
		case ctx.Err() == nil:
			onError(err)
			wait = retryBackoff.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}
