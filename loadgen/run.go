package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Limits of the load tool's connections.
const (
	maxIdleConnsPerEntry = 4096
	idleTimeout          = 10 * time.Second
)

// NewHTTPClient returns a client for many concurrent requests.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEntry, IdleConnTimeout: idleTimeout,
	}}
}

// Run sends each request at its scheduled time and returns the results in order of arrival. It stops when the context
// ends. Requests that were not sent have a nil result.
func Run(ctx context.Context, c *Client, arrivals []Arrival) []*Result {
	results := make([]*Result, len(arrivals))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		scheduled := start.Add(a.At)
		if !sleepUntil(ctx, scheduled) {
			break
		}
		wg.Go(func() {
			// The timeout is twice the deadline, to measure how late a response is and still bound the duration of the run.
			requestCtx, cancel := context.WithTimeout(ctx, 2*a.Class.Deadline)
			defer cancel()
			results[i] = c.send(requestCtx, a, scheduled)
		})
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
