package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/routing"
)

// testSilenceTimeout replaces the default of 1 s, so that tests of silent connections are short.
const testSilenceTimeout = 100 * time.Millisecond

// fakeSidecar is a sidecar with scripted responses. The scripts generate and call receive the number n of the request,
// counted from 1.
type fakeSidecar struct {
	name string
	// address is where the client reaches the sidecar, directly or through a relay.
	address  string
	server   *httptest.Server
	load     peerapi.LoadReport
	generate func(resp *fakeResponse, r *peerapi.GenerateRequest, n int)
	call     func(resp *fakeResponse, r *peerapi.CallRequest, n int)
	outcome  func(id string) peerapi.OutcomeResponse

	mu        sync.Mutex
	generated []peerapi.GenerateRequest
	called    []peerapi.CallRequest
}

// fakeResponse writes the frames of one response.
type fakeResponse struct {
	w   http.ResponseWriter
	id  string
	ctx context.Context
}

func (resp *fakeResponse) line(text string) {
	_, _ = io.WriteString(resp.w, text+"\n")
	_ = http.NewResponseController(resp.w).Flush()
}

func (resp *fakeResponse) frame(f peerapi.Frame) {
	if f.ID == "" {
		f.ID = resp.id
	}
	line, _ := json.Marshal(f)
	resp.line(string(line))
}

func word(i int) string { return fmt.Sprintf("w%d ", i) }

func eventOf(i int) json.RawMessage {
	return fmt.Appendf(nil, `{"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]}`, word(i))
}

// data sends the events from first to end-1.
func (resp *fakeResponse) data(first, end int) {
	for i := first; i < end; i++ {
		resp.frame(peerapi.Frame{Seq: int64(i), Data: eventOf(i)})
	}
}

func (resp *fakeResponse) end(n int) { resp.frame(peerapi.Frame{Seq: int64(n), End: true}) }

func (resp *fakeResponse) refuse(t callerapi.ErrorType) {
	resp.frame(peerapi.Frame{Error: &peerapi.FrameError{Type: t, Message: "refused", Executed: callerapi.ExecutedNo, RetryAfterMs: 100}})
}

func (resp *fakeResponse) result(status int) {
	resp.frame(peerapi.Frame{End: true, Result: &peerapi.CallResult{Status: status, Body: []byte("body")}})
}

// abort breaks the connection.
func (resp *fakeResponse) abort() { panic(http.ErrAbortHandler) }

func newFakeSidecar(t testing.TB, name string) *fakeSidecar {
	s := &fakeSidecar{name: name, load: peerapi.LoadReport{Server: name, Incarnation: 1, Limit: 16}}
	mux := http.NewServeMux()
	mux.HandleFunc(peerapi.PathGenerate, func(w http.ResponseWriter, r *http.Request) {
		var in peerapi.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.generated = append(s.generated, in)
		n, generate := len(s.generated), s.generate
		s.mu.Unlock()
		generate(s.beginResponse(w, r, in.ID), &in, n)
	})
	mux.HandleFunc(peerapi.PathCall, func(w http.ResponseWriter, r *http.Request) {
		var in peerapi.CallRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.called = append(s.called, in)
		n, call := len(s.called), s.call
		s.mu.Unlock()
		call(s.beginResponse(w, r, in.ID), &in, n)
	})
	mux.HandleFunc(peerapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.load) })
	mux.HandleFunc(peerapi.PathOutcome, func(w http.ResponseWriter, r *http.Request) {
		var in peerapi.OutcomeRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(s.outcome(in.ID))
	})
	s.server = httptest.NewServer(mux)
	s.address = s.server.Listener.Addr().String()
	t.Cleanup(func() { s.server.CloseClientConnections(); s.server.Close() })
	return s
}

func (s *fakeSidecar) beginResponse(w http.ResponseWriter, r *http.Request, id string) *fakeResponse {
	load, _ := json.Marshal(s.load)
	w.Header().Set(peerapi.HeaderLoad, string(load))
	w.WriteHeader(http.StatusOK)
	resp := &fakeResponse{w: w, id: id, ctx: r.Context()}
	resp.frame(peerapi.Frame{})
	return resp
}

// setScript runs fn, which replaces the script, while the sidecar is in use.
func (s *fakeSidecar) setScript(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *fakeSidecar) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.called)
}

func (s *fakeSidecar) generations() []peerapi.GenerateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]peerapi.GenerateRequest(nil), s.generated...)
}

// staticConfig is a configuration that does not change.
type staticConfig struct{ state *cluster.State }

func (f staticConfig) State() *cluster.State    { return f.state }
func (f staticConfig) Changed() <-chan struct{} { return nil }

// newTestClient returns a client of the sidecars. Those whose names begin with "m" serve the model "m", the others the
// service "s".
func newTestClient(t testing.TB, sidecars ...*fakeSidecar) *Client {
	objects := []*operatorv1.Object{
		{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: "m"}}},
		{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: "s"}}},
	}
	for _, s := range sidecars {
		server := &operatorv1.BackendServer{Name: s.name, Address: s.address, FailureDomain: s.name, Slots: 16}
		if strings.HasPrefix(s.name, "m") {
			server.Group = "g" + s.name
			objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Group{
				Group: &operatorv1.Group{Name: server.Group, Model: "m", Ranks: 1},
			}})
		} else {
			server.Service = "s"
		}
		objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: server}})
	}
	st, err := cluster.New(1, objects)
	require.NoError(t, err)
	policy, err := routing.PolicyByName(routing.NameRoundRobin)
	require.NoError(t, err)
	discovery := NewDiscovery(staticConfig{st}, policy, "", 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); discovery.Run(ctx) }()
	c := New(Options{Router: discovery.Router, Members: discovery.Members, SilenceTimeout: testSilenceTimeout})
	t.Cleanup(func() { cancel(); <-done; c.Close() })
	for len(c.Picker().Replicas()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// generateResult is what a caller of a generation received.
type generateResult struct {
	text strings.Builder
	e    *callerapi.Error
}

func generate(t *testing.T, c *Client) *generateResult { return generateWith(t, c, func() {}) }

// generateWith runs a generation and calls afterEvent after each event that has been relayed.
func generateWith(t *testing.T, c *Client, afterEvent func()) *generateResult {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	result := &generateResult{}
	r := &peerapi.GenerateRequest{
		Work:  peerapi.Work{ID: "r1", Idempotent: true, DeadlineMs: 20_000, Kind: peerapi.KindShort},
		Model: "m", Body: json.RawMessage(`{}`),
	}
	result.e = c.Generate(ctx, r, func(data json.RawMessage) error {
		text, ok := escapedText(data)
		require.True(t, ok)
		result.text.Write(text)
		afterEvent()
		return nil
	})
	return result
}

func words(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(word(i))
	}
	return b.String()
}

func callRequest(kind string, idempotent bool) *peerapi.CallRequest {
	return &peerapi.CallRequest{
		Work:    peerapi.Work{ID: "r1", Idempotent: idempotent, DeadlineMs: 20_000, Kind: kind},
		Service: "s", Method: http.MethodPost, Path: "/bookings",
	}
}

// relay forwards bytes between a client and a sidecar. freeze stops forwarding on the open connections.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	frozen   []chan struct{}
	open     []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target}
	t.Cleanup(func() {
		l.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.open {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.serve(c)
		}
	}()
	return r
}

func (r *relay) serve(c net.Conn) {
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		c.Close()
		return
	}
	frozen := make(chan struct{})
	r.mu.Lock()
	r.frozen = append(r.frozen, frozen)
	r.open = append(r.open, c, up)
	r.mu.Unlock()
	forward := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			select {
			case <-frozen:
				return // The connection stays open but forwards no more bytes.
			default:
			}
			if n > 0 {
				_, _ = dst.Write(buf[:n])
			}
			if err != nil {
				dst.Close()
				return
			}
		}
	}
	go forward(up, c)
	go forward(c, up)
}

// freeze stops forwarding on all open connections; new connections work.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frozen {
		close(f)
	}
	r.frozen = nil
}
