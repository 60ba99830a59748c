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

// testSilence replaces the second of the design page, so that tests of silence end soon.
const testSilence = 100 * time.Millisecond

// side is a side process that follows a script.
type side struct {
	name string
	// address is where the client reaches it; a relay may stand in between.
	address  string
	server   *httptest.Server
	load     peerapi.Load
	generate func(o *out, r *peerapi.GenerateRequest, n int)
	call     func(o *out, r *peerapi.CallRequest, n int)
	outcome  func(id string) peerapi.OutcomeResponse

	mu        sync.Mutex
	generated []peerapi.GenerateRequest
	called    []peerapi.CallRequest
}

// out writes the lines of one answer.
type out struct {
	w   http.ResponseWriter
	id  string
	ctx context.Context
}

func (o *out) line(text string) {
	_, _ = io.WriteString(o.w, text+"\n")
	_ = http.NewResponseController(o.w).Flush()
}

func (o *out) frame(f peerapi.Frame) {
	if f.ID == "" {
		f.ID = o.id
	}
	line, _ := json.Marshal(f)
	o.line(string(line))
}

func word(i int) string { return fmt.Sprintf("w%d ", i) }

func eventOf(i int) json.RawMessage {
	return fmt.Appendf(nil, `{"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]}`, word(i))
}

// data sends the events from first to last-1.
func (o *out) data(first, last int) {
	for i := first; i < last; i++ {
		o.frame(peerapi.Frame{Seq: int64(i), Data: eventOf(i)})
	}
}

func (o *out) end(n int) { o.frame(peerapi.Frame{Seq: int64(n), End: true}) }

func (o *out) refuse(t callerapi.ErrorType) {
	o.frame(peerapi.Frame{Error: &peerapi.FrameError{Type: t, Message: "refused", Executed: callerapi.ExecutedNo, RetryAfterMs: 100}})
}

func (o *out) result(status int) {
	o.frame(peerapi.Frame{End: true, Result: &peerapi.CallResult{Status: status, Body: []byte("body")}})
}

// cut breaks the connection.
func (o *out) cut() { panic(http.ErrAbortHandler) }

func newSide(t testing.TB, name string) *side {
	s := &side{name: name, load: peerapi.Load{Server: name, Incarnation: 1, Limit: 16}}
	mux := http.NewServeMux()
	mux.HandleFunc(peerapi.PathGenerate, func(w http.ResponseWriter, r *http.Request) {
		var in peerapi.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.generated = append(s.generated, in)
		n, generate := len(s.generated), s.generate
		s.mu.Unlock()
		generate(s.begin(w, r, in.ID), &in, n)
	})
	mux.HandleFunc(peerapi.PathCall, func(w http.ResponseWriter, r *http.Request) {
		var in peerapi.CallRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.called = append(s.called, in)
		n, call := len(s.called), s.call
		s.mu.Unlock()
		call(s.begin(w, r, in.ID), &in, n)
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

func (s *side) begin(w http.ResponseWriter, r *http.Request, id string) *out {
	load, _ := json.Marshal(s.load)
	w.Header().Set(peerapi.HeaderLoad, string(load))
	w.WriteHeader(http.StatusOK)
	o := &out{w: w, id: id, ctx: r.Context()}
	o.frame(peerapi.Frame{})
	return o
}

// change replaces the script while the side is in use.
func (s *side) change(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *side) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.called)
}

func (s *side) generations() []peerapi.GenerateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]peerapi.GenerateRequest(nil), s.generated...)
}

// fixed is a configuration that does not change.
type fixed struct{ state *cluster.State }

func (f fixed) State() *cluster.State    { return f.state }
func (f fixed) Changed() <-chan struct{} { return nil }

// client returns a client of the sides, which serve the model "m" and the service "s" by turns of their names.
func client(t testing.TB, sides ...*side) *Client {
	objects := []*operatorv1.Object{
		{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: "m"}}},
		{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: "s"}}},
	}
	for _, s := range sides {
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
	ctl := NewControl(fixed{st}, policy, "", 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); ctl.Run(ctx) }()
	c := New(Options{Router: ctl.Router, Members: ctl.Members, Silence: testSilence})
	t.Cleanup(func() { cancel(); <-done; c.Close() })
	for len(c.Picker().Replicas()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// answer is what a caller of a generation got.
type answer struct {
	text strings.Builder
	e    *callerapi.Error
}

func generate(t *testing.T, c *Client) *answer { return generateWith(t, c, func() {}) }

// generateWith calls event for each event that is passed on.
func generateWith(t *testing.T, c *Client, event func()) *answer {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a := &answer{}
	r := &peerapi.GenerateRequest{
		Work:  peerapi.Work{ID: "r1", Idempotent: true, DeadlineMs: 20_000, Kind: peerapi.KindShort},
		Model: "m", Body: json.RawMessage(`{}`),
	}
	a.e = c.Generate(ctx, r, func(data json.RawMessage) error {
		text, ok := textOf(data)
		require.True(t, ok)
		a.text.Write(text)
		event()
		return nil
	})
	return a
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

// relay passes bytes between a client and a side until it is told to stop for the connections that are open.
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
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			select {
			case <-frozen:
				return // The connection stays open and shows no byte.
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
	go pass(up, c)
	go pass(c, up)
}

// freeze stops passing bytes on all open connections; new ones work.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frozen {
		close(f)
	}
	r.frozen = nil
}
