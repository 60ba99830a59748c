package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/gateway/buffer"
)

// Configuration provides the cluster configuration.
type Configuration interface {
	// State returns the active configuration, nil before the first one.
	State() *cluster.State
}

// Options configure a Server.
type Options struct {
	Name          string
	FailureDomain string
	Configuration Configuration
	Upstream      *Upstream
	// Quota limits the requests of customers; nil for no limit.
	Quota *Quota
	// Metrics records request metrics; nil for none.
	Metrics *Metrics
	Log     *zap.Logger
	// BodyBytes bounds the memory of request bodies, defaultBodyBytes if it is 0.
	BodyBytes int64
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	draining atomic.Bool
	running  atomic.Int64
	requests atomic.Int64
	failed   atomic.Int64
	// bodies is the memory for all request bodies.
	bodies *buffer.Budget
}

// New returns a server that accepts requests.
func New(opts Options) *Server {
	if opts.BodyBytes == 0 {
		opts.BodyBytes = defaultBodyBytes
	}
	return &Server{opts: opts, bodies: buffer.NewBudget(opts.BodyBytes)}
}

// Register adds the callers' routes to a router. The router then responds to unknown paths and methods with typed
// errors.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", s.handle(s.generate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handle(s.generate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.handle(s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/-/token", s.handle(s.token)).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}{path:/.*}", s.handle(s.call))
	r.NotFoundHandler = s.handle(func(*exchange) *callerapi.Error {
		return callerapi.NotExecuted(callerapi.NotFound, "no such path")
	})
	r.MethodNotAllowedHandler = s.handle(func(x *exchange) *callerapi.Error {
		return callerapi.NotExecuted(callerapi.MethodNotAllowed, "method %s is not supported here", x.r.Method)
	})
}

// Drain makes the server refuse new requests; running ones continue.
func (s *Server) Drain() { s.draining.Store(true) }

// Ready reports whether the server accepts new requests.
func (s *Server) Ready() bool { return !s.draining.Load() && s.opts.Configuration.State() != nil }

// Idle reports whether no request is running.
func (s *Server) Idle() bool { return s.running.Load() == 0 }

// Dump is the server's part of the state dump.
type Dump struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Draining bool   `json:"draining"`
	Running  int64  `json:"running"`
	Requests int64  `json:"requests"`
	Failed   int64  `json:"failed"`
}

// Dump returns the current counters and state of the server.
func (s *Server) Dump() Dump {
	d := Dump{
		Name: s.opts.Name, Draining: s.draining.Load(), Running: s.running.Load(),
		Requests: s.requests.Load(), Failed: s.failed.Load(),
	}
	if st := s.opts.Configuration.State(); st != nil {
		d.Revision = st.Revision
	}
	return d
}

// handle wraps a handler: it assigns the request an ID, authenticates the customer, writes the error, if any, records
// metrics, and logs the result.
func (s *Server) handle(fn func(*exchange) *callerapi.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		s.running.Add(1)
		defer s.running.Add(-1)
		x := &exchange{server: s, w: w, r: r, id: uuid.NewString(), startedAt: time.Now()}
		x.bodyPending = r.ContentLength != 0
		defer x.releaseBody()
		e := x.prepare()
		if e == nil {
			e = fn(x)
		}
		if e != nil {
			s.failed.Add(1)
			x.writeError(e)
		}
		s.opts.Metrics.recordRequest(x.kind, e, time.Since(x.startedAt))
		x.log(e)
	}
}

func (x *exchange) log(e *callerapi.Error) {
	fields := []zap.Field{
		zap.String("request", x.id), zap.String("method", x.r.Method), zap.String("path", x.r.URL.Path),
		zap.String("customer", x.customer.GetName()),
	}
	if e == nil {
		x.server.opts.Log.Debug("request completed", fields...)
		return
	}
	fields = append(fields,
		zap.String("type", string(e.Type)), zap.String("executed", string(e.Executed)), zap.String("error", e.Message))
	x.server.opts.Log.Info("request failed", fields...)
}
