package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/entry/upstream"
	"lavendermoor.example/idempotency"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// startSidecars starts fake sidecars for three servers, which handle every request with serve, and returns their
// configuration with further objects.
func startSidecars(
	t *testing.T, serve func(name string, w http.ResponseWriter, r *http.Request), objects ...*operatorv1.Object,
) *cluster.State {
	objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: "shed"}}})
	for _, name := range []string{"a", "b", "c"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(name, w, r) }))
		t.Cleanup(srv.Close)
		objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
			Name: name, Address: srv.Listener.Addr().String(), FailureDomain: name, Service: "shed", Slots: 1,
		}}})
	}
	st, err := cluster.New(1, objects)
	require.NoError(t, err)
	return st
}

// newKeyedCalls returns a keyedCalls for the servers of a configuration.
func newKeyedCalls(t *testing.T, st *cluster.State) *keyedCalls {
	t.Helper()
	policy, err := routing.PolicyByName(routing.NameRandom)
	require.NoError(t, err)
	router := routing.NewRouter(policy, "a")
	tracker := membership.NewTracker(1, nil, nil)
	router.Update(st, tracker.View())
	return &keyedCalls{client: upstream.New(upstream.Options{Router: router, Members: tracker})}
}

func newCallRequest(key string) *peerapi.CallRequest {
	return &peerapi.CallRequest{Work: peerapi.Work{ID: "id", Customer: "crew", DeadlineMs: 9000}, Service: "shed", Key: key}
}

func sendFrame(w http.ResponseWriter, f peerapi.Frame) {
	f.ID = "id"
	_ = json.NewEncoder(w).Encode(f)
}

func holders(st *cluster.State, key string) []cluster.Member {
	v := idempotency.ViewOf(st, "shed")
	return v.HolderSets(idempotency.ShardOf(peerapi.CallKey{Service: "shed", Customer: "crew", Key: key})).New
}

// Guards against reporting a refused call as not run although an earlier delivery that got no response may still run.
func TestDeliveryWithoutResponseMakesRefusalUnknown(t *testing.T) {
	var abort atomic.Bool
	var calls atomic.Int64
	st := startSidecars(t, func(_ string, w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 && abort.Load() {
			panic(http.ErrAbortHandler) // The connection breaks after the request has arrived.
		}
		sendFrame(w, peerapi.Frame{Error: &peerapi.FrameError{Type: callerapi.Overloaded, Executed: callerapi.ExecutedNo}})
	})
	_, e := newKeyedCalls(t, st).call(t.Context(), st, newCallRequest("k"))
	require.Equal(t, callerapi.ExecutedNo, e.Executed)
	require.Equal(t, int64(3), calls.Swap(0))
	abort.Store(true)
	_, e = newKeyedCalls(t, st).call(t.Context(), st, newCallRequest("k"))
	require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
}

// Guards against the error type NoReplica for a call that may have run.
func TestUndecidedKeyedCallIsOutcomeUnknown(t *testing.T) {
	st := startSidecars(t, func(_ string, w http.ResponseWriter, _ *http.Request) {
		sendFrame(w, peerapi.Frame{Error: &peerapi.FrameError{Type: callerapi.NoReplica, Executed: callerapi.ExecutedUnknown}})
	})
	_, e := newKeyedCalls(t, st).call(t.Context(), st, newCallRequest("k"))
	require.Equal(t, callerapi.OutcomeUnknown, e.Type)
	require.Positive(t, e.RetryAfter)
}

// Guards against calls that wait for a silent holder instead of trying the next one, and against holders tried in an
// order other than the rendezvous order.
func TestSilentHolderIsSkipped(t *testing.T) {
	var called atomic.Pointer[[]string]
	called.Store(&[]string{})
	var first string
	st := startSidecars(t, func(name string, w http.ResponseWriter, r *http.Request) {
		list := append(append([]string{}, *called.Load()...), name)
		called.Store(&list)
		if name == first {
			_, _ = io.Copy(io.Discard, r.Body) // The server detects a disconnect only after the body has been read.
			<-r.Context().Done()
			return
		}
		sendFrame(w, peerapi.Frame{Result: &peerapi.CallResult{Status: 201}, End: true})
	})
	ranked := holders(st, "k")
	first = ranked[0].Name
	result, e := newKeyedCalls(t, st).call(t.Context(), st, newCallRequest("k"))
	require.Nil(t, e)
	require.Equal(t, 201, result.Status)
	require.Equal(t, []string{ranked[0].Name, ranked[1].Name}, *called.Load())
}

// Guards against delivering a call with a token to other servers before the issuer of the token, and against losing an
// outcome that was handed over to another server.
func TestTokenGoesToItsIssuerThenInRendezvousOrder(t *testing.T) {
	var called []string
	st := startSidecars(t, func(name string, w http.ResponseWriter, _ *http.Request) {
		called = append(called, name)
		f := peerapi.Frame{Error: &peerapi.FrameError{Type: callerapi.OutcomeUnknown, Executed: callerapi.ExecutedUnknown}}
		if len(called) == 3 {
			f = peerapi.Frame{Result: &peerapi.CallResult{Status: 201}, End: true}
		}
		sendFrame(w, f)
	})
	r := newCallRequest("")
	r.Token = "b.1.1.AAAA"
	result, e := newKeyedCalls(t, st).call(t.Context(), st, r)
	require.Nil(t, e)
	require.Equal(t, 201, result.Status)
	want := []string{"b"}
	for _, m := range idempotency.RendezvousOrder("b", idempotency.ViewOf(st, "shed").Servers) {
		if m.Name != "b" {
			want = append(want, m.Name)
		}
	}
	require.Equal(t, want, called)
	r.Token = "forged"
	_, e = newKeyedCalls(t, st).call(t.Context(), st, r)
	require.Equal(t, callerapi.InvalidToken, e.Type)
}

// Guards against an unknown outcome of a call with a token that lacks a Retry-After for the caller.
func TestUnknownTokenOutcomeHasRetryAfter(t *testing.T) {
	st := startSidecars(t, func(_ string, w http.ResponseWriter, _ *http.Request) {
		f := peerapi.Frame{Error: &peerapi.FrameError{Type: callerapi.OutcomeUnknown, Executed: callerapi.ExecutedUnknown}}
		sendFrame(w, f)
	})
	r := newCallRequest("")
	r.Token = "b.1.1.AAAA"
	_, e := newKeyedCalls(t, st).call(t.Context(), st, r)
	require.Equal(t, callerapi.OutcomeUnknown, e.Type)
	require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
	require.Positive(t, e.RetryAfter)
}
