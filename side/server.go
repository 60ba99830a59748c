package side

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/engine"
	"lavendermoor.example/config/cluster"
)

// Configuration provides the active configuration. State returns nil before the first one is applied.
type Configuration interface {
	State() *cluster.State
}

// Admission controls when requests run.
type Admission interface {
	// Acquire waits for a slot. After an error the request has not run. The release function must be called once, when
	// the run has ended. If ok is true, the duration and tokens of the run update the predictions for later requests.
	Acquire(ctx context.Context, w *peerapi.Work, maxTokens int) (release func(tokens int, ok bool), err *callerapi.Error)
	// Drain refuses all further requests.
	Drain()
	// Load fills in the queue's fields of a load report.
	Load(l *peerapi.LoadReport)
}

// CallExecutor executes calls of a plain service under the rules for calls that are not idempotent.
type CallExecutor interface {
	// Call executes a call with run, or returns the stored result of an earlier execution.
	Call(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error)
}

// RunFunc executes a call once at the backend server.
type RunFunc = func(ctx context.Context) (*peerapi.CallResult, *callerapi.Error)

// Options configure a Server.
type Options struct {
	Name          string
	Incarnation   int64
	Configuration Configuration
	Backend       *engine.Client
	Admission     Admission
	Calls         CallExecutor
	Log           *zap.Logger
	// Slow reports whether the group has a persistently slow rank. It may be nil if there is no group.
	Slow func() bool
	// SupportsContinuation declares that the engine can continue a response that another engine began.
	SupportsContinuation bool
}

// Server handles the entries' requests for one backend server. Its methods are safe for concurrent use.
type Server struct {
	opts     Options
	draining atomic.Bool
	// served counts admitted requests, refused those that were not admitted.
	served, refused atomic.Int64
	// inFlight counts requests whose response is not complete.
	inFlight atomic.Int64
}

// New returns a server that accepts requests immediately.
func New(opts Options) *Server { return &Server{opts: opts} }

// Register adds the server's routes to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(peerapi.PathGenerate, s.generate).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathCall, s.call).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathLoad, s.load).Methods(http.MethodPost, http.MethodGet)
}

// Drain makes the server refuse new requests. Running and waiting requests complete.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.opts.Admission.Drain()
}

// Draining reports whether Drain was called or an operator drains the server in the configuration.
func (s *Server) Draining() bool {
	if s.draining.Load() {
		return true
	}
	st := s.opts.Configuration.State()
	return st != nil && st.Server(s.opts.Name).GetDraining()
}

// Ready reports whether the server accepts new requests.
func (s *Server) Ready() bool { return !s.Draining() && s.opts.Configuration.State() != nil }

// Idle reports whether no request runs or waits.
func (s *Server) Idle() bool { return s.inFlight.Load() == 0 }

// Load returns the current load report.
func (s *Server) Load() peerapi.LoadReport {
	l := peerapi.LoadReport{Server: s.opts.Name, Incarnation: s.opts.Incarnation, Draining: s.Draining()}
	l.SupportsContinuation = s.opts.SupportsContinuation
	if st := s.opts.Configuration.State(); st != nil {
		l.Revision = st.Revision
	}
	l.Slow = s.opts.Slow != nil && s.opts.Slow()
	s.opts.Admission.Load(&l)
	return l
}

// Dump is the state dump of the server.
type Dump struct {
	Load    peerapi.LoadReport `json:"load"`
	Served  int64              `json:"served"`
	Refused int64              `json:"refused"`
}

// Dump returns the state dump.
func (s *Server) Dump() Dump {
	return Dump{Load: s.Load(), Served: s.served.Load(), Refused: s.refused.Load()}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the peer has disconnected. No further action is needed.
	_ = json.NewEncoder(w).Encode(s.Load())
}

// defaultRetryAfter is the Retry-After of the errors sent while this process is draining or has no configuration, and
// while the backend server is unreachable or overloaded.
const defaultRetryAfter = time.Second

// checkWork returns an error for a request that this server must not accept.
func (s *Server) checkWork(w *peerapi.Work) *callerapi.Error {
	if w.Server != s.opts.Name {
		return callerapi.NotExecuted(callerapi.NoReplica, "request is for server %q, this is %q", w.Server, s.opts.Name)
	}
	if s.Draining() {
		return callerapi.NotExecuted(callerapi.Draining, "server %q is draining", s.opts.Name).WithRetryAfter(defaultRetryAfter)
	}
	if s.opts.Configuration.State() == nil {
		return callerapi.NotExecuted(callerapi.NoReplica, "server %q has no configuration", s.opts.Name).WithRetryAfter(defaultRetryAfter)
	}
	if w.DeadlineMs <= 0 {
		return callerapi.NotExecuted(callerapi.DeadlineExceeded, "no time is left")
	}
	return nil
}
