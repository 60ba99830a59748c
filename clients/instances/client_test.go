package instances

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

// Guards against a client that misreads the list, or treats an error response as an empty list.
func TestGetDistinguishesErrorFromList(t *testing.T) {
	status := http.StatusOK
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, Path, r.URL.Path)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"version":3,"instances":[{"name":"s1","address":"127.0.0.1:1",
			"failure_domain":"Lahti","program":"side","state":"leaving"}]}`)
	}))
	defer srv.Close()
	base, err := url.Parse(srv.URL)
	require.NoError(t, err)
	c := NewClient(base, time.Minute)
	list, err := c.Get(context.Background())
	require.NoError(t, err)
	require.Equal(t, List{Version: 3, Instances: []Instance{
		{Name: "s1", Address: "127.0.0.1:1", FailureDomain: "Lahti", Program: ProgramSide, State: Leaving},
	}}, list)

	status = http.StatusServiceUnavailable
	var unavailable *UnavailableError
	_, err = c.Get(context.Background())
	require.ErrorAs(t, err, &unavailable)
	var statusErr *StatusError
	require.ErrorAs(t, err, &statusErr)
}
