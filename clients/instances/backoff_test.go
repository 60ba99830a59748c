package instances

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type failingTransport struct{}

// RoundTrip implements http.RoundTripper.
func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, context.DeadlineExceeded
}

// Guards against an unbounded backoff: a process must detect within 30 s that the list is available again.
func TestPollBackoffIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &Client{url: "http://list" + Path, http: &http.Client{Transport: failingTransport{}}, timeout: time.Second}
		last := time.Now()
		failures := 0
		c.Run(ctx, NewCache(), func() time.Duration { return time.Second }, func(error) {
			require.LessOrEqual(t, time.Since(last), 30*time.Second)
			last = time.Now()
			if failures++; failures == 60 {
				cancel()
			}
		})
		require.Equal(t, 60, failures)
	})
}
