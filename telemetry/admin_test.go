package telemetry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that fails because a long poll, or another request without an end, is still running.
func TestServeEndsRequestsThatStillRun(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	running := make(chan struct{})
	ended := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(ended)
	})
	ctx, stop := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- Serve(ctx, l, handler, 10*time.Millisecond) }()
	go func() {
		if resp, err := http.Get("http://" + l.Addr().String()); err == nil {
			resp.Body.Close()
		}
	}()
	<-running
	stop()
	require.NoError(t, <-result)
	<-ended
}
