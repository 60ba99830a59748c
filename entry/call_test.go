package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
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

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ state *cluster.State }

func (c fixedConfiguration) State() *cluster.State { return c.state }

// Guards against a result with a status that HTTP does not have, such as 000: net/http panics on some of them, which cuts
// the caller's connection, and sends the others.
func TestInvalidStatusOfAResultIsAFailure(t *testing.T) {
	const callerKey = "caller-key"
	status := 0
	st := startSidecars(t, func(_ string, w http.ResponseWriter, r *http.Request) {
		var in peerapi.CallRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(peerapi.Frame{
			ID: in.ID, End: true, Result: &peerapi.CallResult{Status: status, Body: []byte("bad")},
		})
	}, customerObject("crew", callerKey))
	s := New(Options{Configuration: fixedConfiguration{st}, Upstream: NewUpstream(newKeyedCalls(t, st).client), Log: zap.NewNop()})
	router := mux.NewRouter()
	s.Register(router)
	srv := httptest.NewServer(router)
	defer srv.Close()
	for _, status = range []int{0, 20, 99, 101, 600, 999} {
		for _, idempotencyKey := range []string{"", "k"} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/services/shed/x", nil)
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+callerKey)
			if idempotencyKey != "" {
				req.Header.Set(callerapi.HeaderIdempotencyKey, idempotencyKey)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err, "status %d", status)
			var body callerapi.ErrorBody
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&body), "status %d", status)
			resp.Body.Close()
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.Equal(t, callerapi.ExecutedUnknown, body.Error.Executed)
		}
	}
}

// customerObject returns a customer with one key.
func customerObject(name, key string) *operatorv1.Object {
	sum := sha256.Sum256([]byte(key))
	return &operatorv1.Object{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
		Name: name, Weight: 1, Keys: []*operatorv1.Key{{Id: "k", Sha256: hex.EncodeToString(sum[:])}},
	}}}
}
