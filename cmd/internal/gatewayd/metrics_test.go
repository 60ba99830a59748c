package gatewayd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/telemetry"
)

var exposedName = regexp.MustCompile(`(?m)^# TYPE (lavendermoor_\w+) `)

// Guards against undocumented metrics.
func TestGatewayMetricsAreDocumented(t *testing.T) {
	s := DefaultSettings()
	s.Name, s.FailureDomain, s.Store = "g", "d", "127.0.0.1:1"
	g, err := newGateway(s, telemetry.NewBoundedWriter(&bytes.Buffer{}))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	g.srv.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	w = httptest.NewRecorder()
	g.controlHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../../../docs/metrics-platform.md")
	require.NoError(t, err)
	names := exposedName.FindAllStringSubmatch(w.Body.String(), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.Contains(t, string(page), "`"+name[1]+"`")
	}
}
