package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/peerapi"
)

// Guards against a first response that looks like a replay because the backend server set the replay header.
func TestBackendCannotSetReplayHeaders(t *testing.T) {
	for _, replayed := range []bool{false, true} {
		w := httptest.NewRecorder()
		x := &exchange{w: w, id: "1"}
		x.writeCallResult(&peerapi.CallResult{
			Status: http.StatusCreated, Replayed: replayed,
			Header: http.Header{headerReplayed: {"true"}, headerTruncated: {"true"}, "Content-Type": {"text/plain"}},
		})
		require.Equal(t, replayed, w.Header().Get(headerReplayed) == "true")
		require.Empty(t, w.Header().Get(headerTruncated))
		require.Equal(t, "text/plain", w.Header().Get("Content-Type"))
	}
}
