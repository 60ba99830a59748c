package ingress

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFragileGateway starts a gateway with servers that crash when they begin to answer a prompt with the part "deadly".
// Sound requests that hold the part "common" have been answered.
func newFragileGateway(t *testing.T, servers int) (*testGateway, []*testBackend) {
	t.Helper()
	var backends []*testBackend
	for i := range servers {
		backends = append(backends, newFragileBackend(t, strconv.Itoa(i), "deadly"))
	}
	g := newGateway(t, backends...)
	for range 20 {
		requireAnswered(t, g, "common")
	}
	return g, backends
}

func requireAnswered(t *testing.T, g *testGateway, prompt string) {
	t.Helper()
	resp, body, err := g.get(t, "/stream/x", testPrompt, prompt)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, eventsText(3), body)
}

func countCrashed(backends []*testBackend) int {
	n := 0
	for _, b := range backends {
		if b.hasCrashed() {
			n++
		}
	}
	return n
}

// Guards against requests with a part that crashes servers reaching one server after another.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	g, backends := newFragileGateway(t, 8)
	for i := range 10 {
		resp, _, _ := g.get(t, "/stream/x", testPrompt, "common,deadly")
		if i > 0 {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
		requireAnswered(t, g, "common")
	}
	require.Equal(t, 1, countCrashed(backends))
}
