package gatewayd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/telemetry"
)

// Guards against a gateway that reports ready before it knows any server, and then refuses every request. This occurs
// after a start on a busy machine, when the server list is read later than the configuration.
func TestNotReadyBeforeServerListIsRead(t *testing.T) {
	s := DefaultSettings()
	s.Name, s.FailureDomain, s.Store = "g", "d", "127.0.0.1:1"
	g, err := newGateway(s, telemetry.NewBoundedWriter(&bytes.Buffer{}))
	require.NoError(t, err)
	status := func() int {
		w := httptest.NewRecorder()
		g.readyHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/readyz", nil))
		return w.Code
	}
	g.srv.SetCatalog(catalog.New(catalog.Document{Version: 1}))
	require.Equal(t, http.StatusServiceUnavailable, status())
	g.onServersChange(&mirror.Snapshot{}, time.Time{})
	require.Equal(t, http.StatusOK, status())
}
