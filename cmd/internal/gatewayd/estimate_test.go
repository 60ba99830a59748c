package gatewayd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// Guards against an error of the estimates that is not measured, or not apart for requests with and without a hint, and
// against a name of the metric that differs from the one in the docs.
func TestErrorOfEstimatesIsMeasuredByHint(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1")
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Replica-Seal", "s")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}))
	t.Cleanup(engine.Close)
	g.srv.SetCatalog(catalog.New(catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 8, StepsPerPass: 6}}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Timeout: 5 * time.Second, Objective: time.Second,
			Public: true, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}},
	}))
	server := catalog.Server{ID: "a", Service: "s", Address: engine.Listener.Addr().String(), Domain: "d", Slots: 8}
	g.fleet.Update([]catalog.Server{server}, time.Time{}, time.Now())
	entry := httptest.NewServer(g.srv)
	t.Cleanup(entry.Close)
	for i, hint := range []string{"60", "", ""} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.URL+"/x", nil)
		require.NoError(t, err)
		req.Host = "h"
		req.Header.Set("X-Attempt-Id", fmt.Sprint("id", i))
		req.Header.Set("X-Length-Hint", hint)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	}
	entry.Close() // Waits for the records of the requests.
	w := httptest.NewRecorder()
	g.controlHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	const name = "lavendermoor_gateway_estimate_error"
	require.Regexp(t, name+`_count\{[^}]*hint="yes"[^}]*\} 1\n`, w.Body.String())
	require.Regexp(t, name+`_count\{[^}]*hint="no"[^}]*\} 2\n`, w.Body.String())
	page, err := os.ReadFile("../../../docs/metrics-platform.md")
	require.NoError(t, err)
	require.Contains(t, string(page), "`"+name+"`")
}
