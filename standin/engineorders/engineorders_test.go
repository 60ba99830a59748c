package engineorders

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
)

// Guards against a load that finishes after its result was evicted and adds it again, beyond MaxOrders.
func TestFinishedLoadDoesNotExceedMaxOrders(t *testing.T) {
	e := New(Settings{MaxOrders: 1})
	load := orders.Order{ID: "load", Kind: orders.Load, Model: "m", Version: "1"}
	e.retainResult("load")
	e.results["load"] = orders.Result{ID: "load", State: orders.Running}
	_, stale := e.Accept(orders.Order{ID: "role", Kind: orders.SetRole, Role: "prefill"})
	require.Nil(t, stale)
	e.load(load)
	require.Len(t, e.results, 1)
	require.Contains(t, e.results, "role")
	require.Equal(t, []string{"m@1:"}, e.Dump().Loaded)
}

// Guards against a failed load that is reported with the status "200 OK" of a truncated response.
func TestTruncatedLoadReportsReadError(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("1"))
	}))
	defer srv.Close()
	weights, err := url.Parse(srv.URL)
	require.NoError(t, err)
	state, detail := New(Settings{Weights: weights}).fetch(orders.Order{Model: "m", Version: "1"})
	require.Equal(t, orders.Failed, state)
	require.Contains(t, detail, "unexpected EOF")
}
