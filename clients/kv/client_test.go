package kv

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a write that is reported as having no effect although it may have taken effect: etcd reports its own
// timeouts with the same status as an outage.
func TestServiceTimeoutIsAnUnknownOutcome(t *testing.T) {
	message := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":14,"message":"` + message + `"}`))
	}))
	t.Cleanup(s.Close)
	base, err := url.Parse(s.URL)
	require.NoError(t, err)
	c := NewClient(base, time.Minute, nil)
	for _, message = range []string{
		"etcdserver: request timed out",
		"etcdserver: request timed out, possibly due to previous leader failure",
		"etcdserver: request timed out, possibly due to connection lost",
	} {
		_, err = c.Put(t.Context(), "key", nil, Absent, 0)
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown, message)
		require.Equal(t, "key", unknown.Key)
	}
	message = "etcdserver: no leader"
	_, err = c.Put(t.Context(), "key", nil, Absent, 0)
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Guards against a watch that hangs forever: etcd cancels a watch whose start revision is compacted, but keeps the
// connection open.
func TestWatchReportsCancellation(t *testing.T) {
	result := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"result":{"header":{"revision":"90"},"created":true}}` + "\n"))
		_, _ = w.Write([]byte(`{"result":{"header":{"revision":"90"},"canceled":true` + result + `}}` + "\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	base, err := url.Parse(s.URL)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c := NewClient(base, time.Minute, nil)

	result = `,"compact_revision":"70"`
	err = c.Watch(ctx, "config/", 5, func(Event) {})
	var compacted *CompactedError
	require.ErrorAs(t, err, &compacted)
	require.Equal(t, int64(70), compacted.Oldest)

	result = `,"cancel_reason":"permission denied"`
	err = c.Watch(ctx, "config/", 5, func(Event) {})
	var protocol *ProtocolError
	require.ErrorAs(t, err, &protocol)
	require.Contains(t, err.Error(), "permission denied")
}

// Guards against a write that is reported as failed although it may have taken effect: the service, or a load balancer
// in front of it, returned a server error during the call, or a status that states nothing about the write.
func TestServerErrorOnWriteIsAnUnknownOutcome(t *testing.T) {
	status := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(s.Close)
	base, err := url.Parse(s.URL)
	require.NoError(t, err)
	c := NewClient(base, time.Minute, nil)
	for _, status = range []int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusAccepted,
		http.StatusNotModified, http.StatusRequestTimeout, 600, 999,
	} {
		_, err = c.Put(t.Context(), "key", nil, Absent, 0)
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown, "status %d", status)
	}
	status = http.StatusBadRequest
	_, err = c.Put(t.Context(), "key", nil, Absent, 0)
	var protocol *ProtocolError
	require.ErrorAs(t, err, &protocol)
}

// endlessLine is the beginning of a line of a watch that never ends. It counts the bytes read.
type endlessLine struct{ read int64 }

func (l *endlessLine) Read(p []byte) (int, error) {
	n := 0
	if l.read == 0 {
		n = copy(p, `{"result":{"events":"`)
	}
	for i := n; i < len(p); i++ {
		p[i] = 'x'
	}
	l.read += int64(len(p))
	if l.read > 2*maxResponseBytes {
		return 0, io.ErrNoProgress
	}
	return len(p), nil
}

// Guards against a watch that reads a line without end into memory.
func TestEndlessLineOfAWatchIsRejected(t *testing.T) {
	l := &endlessLine{}
	err := readWatch(l, func(Event) {})
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.LessOrEqual(t, l.read, int64(maxResponseBytes))
}
