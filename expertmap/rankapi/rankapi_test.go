package rankapi

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an offer that counts as refused although the rank may have accepted it: a proxy, or a failing rank, has
// answered.
func TestOnlyARejectionIsARefusal(t *testing.T) {
	status := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(s.Close)
	base, err := url.Parse(s.URL)
	require.NoError(t, err)
	c := NewClient(base, &http.Client{Timeout: time.Minute})
	for _, status = range []int{http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed} {
		_, err := c.Offer(t.Context(), Offer{})
		var refused *RefusedError
		require.ErrorAs(t, err, &refused, "status %d", status)
		require.Equal(t, status, refused.Status)
	}
	for _, status = range []int{
		http.StatusNoContent, http.StatusNotModified, http.StatusRequestTimeout, http.StatusBadGateway, 600,
	} {
		_, err := c.Offer(t.Context(), Offer{})
		var unknown *StatusError
		require.ErrorAs(t, err, &unknown, "status %d", status)
	}
}
