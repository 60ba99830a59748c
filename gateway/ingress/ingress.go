// Package ingress is the HTTP reverse proxy of the gateway. It authenticates the customer, finds the route, chooses a
// backend server, and relays the response unchanged.
package ingress

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/buffer"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/limit"
	"lavendermoor.example/gateway/quarantine"
)

// Dialect translates the headers of callers and servers.
type Dialect interface {
	exchange.Dialect
	// ParseRequest decodes the metadata of a caller's request.
	ParseRequest(h http.Header) exchange.Metadata
	// SetAttemptHeaders sets the headers of one attempt. h is a copy of the caller's headers.
	SetAttemptHeaders(h http.Header, s exchange.Attempt)
	// MarkOwnResponse sets the headers of a response that the gateway itself generates. id is the ID of the request.
	MarkOwnResponse(h http.Header, id string)
}

// RetryBudget limits the attempts after the first one of each request.
type RetryBudget interface {
	// CountRequest records an admitted request.
	CountRequest(now time.Time)
	// TryRetry takes one further attempt from the budget. It returns false if the budget is exhausted.
	TryRetry(now time.Time) bool
}

// QuarantineSharing makes what this gateway learns about parts of prompts known to the others.
type QuarantineSharing interface {
	// ShareCrash makes a crash known. first is the record of the part if it is the first crash.
	ShareCrash(first quarantine.Record)
	ShareCleared(part quarantine.Part)
	// ClaimProbe reports whether this gateway may send a request with a part whose block has ended.
	ClaimProbe(ctx context.Context, part quarantine.Part) bool
}

// Options are the dependencies of a Server.
type Options struct {
	Dialect Dialect
	Fleet   *balance.Fleet
	// NewBudget returns a new retry budget for a service.
	NewBudget func() RetryBudget
	Log       *zap.Logger
	// RequestLog gets a line for each request. It is Log if nil.
	RequestLog *zap.Logger
	Metrics    *Metrics
	// Random returns a number in [0, 1).
	Random func() float64
	// Quarantine keeps requests that crash servers from them.
	Quarantine *quarantine.Quarantine
	// Sharing tells the other gateways of suspected parts of prompts. It is nil if there are none.
	Sharing QuarantineSharing
	// BufferBytes bounds the memory of request bodies, long events and long bodies of servers, defaultBufferBytes if it
	// is 0.
	BufferBytes int64
	// ConfigAge returns the time since the catalog was last confirmed to be the latest.
	ConfigAge func() time.Duration
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	// buffers is the memory for all request bodies and for the long events and bodies of all responses.
	buffers *buffer.Budget
	// base is the context of all requests. cancelBase ends it with errStopped at the end of a graceful shutdown.
	base       context.Context
	cancelBase context.CancelCauseFunc
	// drain is nil until the process starts to stop.
	drain    atomic.Pointer[drain]
	inFlight atomic.Int64
	// capacityShare is this gateway's share of the capacity that all gateways use together, nil while it is unknown.
	capacityShare atomic.Pointer[float64]

	mu sync.Mutex
	// queues and budgets are by service name.
	queues  map[string]*limit.Queue
	budgets map[string]RetryBudget
	// longestTimeouts are the longest timeouts that callers have used, by route name.
	longestTimeouts map[string]time.Duration
	// work is by service name.
	work map[string]serviceWork
}

// New returns a server without a catalog, which refuses every request.
func New(opts Options) *Server {
	if opts.BufferBytes == 0 {
		opts.BufferBytes = defaultBufferBytes
	}
	if opts.RequestLog == nil {
		opts.RequestLog = opts.Log
	}
	s := &Server{
		opts: opts, queues: map[string]*limit.Queue{}, budgets: map[string]RetryBudget{},
		longestTimeouts: map[string]time.Duration{}, buffers: buffer.NewBudget(opts.BufferBytes),
		work: map[string]serviceWork{},
	}
	s.base, s.cancelBase = context.WithCancelCause(context.Background())
	return s
}

// defaultBufferBytes is the memory for long events and bodies if the options set none.
const defaultBufferBytes = 32 << 20

// BaseContext is the BaseContext of the HTTP server whose handler is s.
func (s *Server) BaseContext(net.Listener) context.Context { return s.base }

// SetCatalog applies a catalog if its version is newer than that of the active one, and reports whether it did.
func (s *Server) SetCatalog(c *catalog.Catalog) bool {
	if old := s.catalog.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	s.catalog.Store(c)
	return true
}

// Catalog returns the active catalog, nil before the first one.
func (s *Server) Catalog() *catalog.Catalog { return s.catalog.Load() }

// drain describes a graceful shutdown. Requests that arrive, or would be sent to a server, after refuseAfter are served
// only if their deadline is before lastDeadline.
type drain struct {
	begun, refuseAfter, lastDeadline time.Time
	// stop ends the requests that are still running at the end.
	stop *time.Timer
}

// stoppedError is the cancellation cause of requests that run at the end of a graceful shutdown.
type stoppedError struct{}

func (stoppedError) Error() string { return "this process has stopped" }

var errStopped = stoppedError{}

// Drain makes the server close each connection after its response. Requests that arrive, or would be sent to a server,
// after refuseAfter are refused unless their deadline is before lastDeadline. Those that still run at the end are given up:
// their callers get a response that says so, if none has begun.
func (s *Server) Drain(refuseAfter, lastDeadline, end time.Time) {
	stop := time.AfterFunc(time.Until(end), func() { s.cancelBase(errStopped) })
	if earlier := s.drain.Swap(&drain{begun: time.Now(), refuseAfter: refuseAfter, lastDeadline: lastDeadline, stop: stop}); earlier != nil {
		earlier.stop.Stop()
	}
}

// Ready reports whether the server accepts new connections.
func (s *Server) Ready() bool { return s.drain.Load() == nil && s.catalog.Load() != nil }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// BufferedBytes returns the memory that request bodies and long responses hold.
func (s *Server) BufferedBytes() int64 { return s.buffers.Held() }

func (s *Server) queue(service string) *limit.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if !ok {
		now := time.Now()
		q = limit.NewQueue(now)
		q.SetGroups(s.groupStates(service, now))
		s.queues[service] = q
	}
	return q
}

func (s *Server) groupStates(service string, now time.Time) []limit.GroupState {
	groups := s.opts.Fleet.Groups(service, now)
	emptyPass := time.Duration(0)
	if c := s.catalog.Load(); c != nil {
		if svc := c.Service(service); svc != nil && svc.Engine != nil {
			emptyPass = svc.Engine.EmptyPass()
		}
	}
	out := make([]limit.GroupState, len(groups))
	for i, g := range groups {
		out[i] = limit.GroupState{
			Name: g.Name, Slots: g.Slots, Share: s.ownCapacityShare(), EmptyPass: emptyPass, NotServing: !g.Serving,
		}
	}
	return out
}

// SetCapacityShare sets this gateway's share, from 0 to 1, of the capacity that all gateways use together.
func (s *Server) SetCapacityShare(share float64) { s.capacityShare.Store(&share) }

// defaultCapacityShare is the share of a gateway while the number of gateways is unknown.
const defaultCapacityShare = 1.0 / 16

func (s *Server) ownCapacityShare() float64 {
	if share := s.capacityShare.Load(); share != nil {
		return *share
	}
	return defaultCapacityShare
}

// RefreshGroups updates the queues of all services to the current state of their groups.
func (s *Server) RefreshGroups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for service, q := range s.queues {
		q.SetGroups(s.groupStates(service, now))
	}
}

// handleGroupFailure marks the group of a server as failed after a response which shows that the group does not serve,
// and updates the queues.
func (s *Server) handleGroupFailure(b *balance.Backend, request, faultyServer string) {
	group, changed := s.opts.Fleet.MarkGroupFailed(b, time.Now())
	if !changed {
		return
	}
	s.opts.Log.Info("group does not serve", zap.String("group", group), zap.String("server", b.Server().ID),
		zap.String("fault_at", faultyServer), zap.String("request", request))
	s.RefreshGroups()
}

func (s *Server) budget(service string) RetryBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = s.opts.NewBudget()
		s.budgets[service] = b
	}
	return b
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{server: s, w: w, r: r, arrived: time.Now(), catalog: s.catalog.Load()}
	c.meta = s.opts.Dialect.ParseRequest(r.Header)
	c.lastEventID = c.meta.LastEventID
	defer s.record(c)
	c.serve()
}

// Dump is the state dump of a Server.
type Dump struct {
	Version  int64                 `json:"catalog_version"`
	Draining bool                  `json:"draining"`
	InFlight int64                 `json:"active"`
	Queues   map[string]limit.Dump `json:"queues"`
	Backends []balance.Dump        `json:"backends"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []string `json:"evacuated,omitempty"`
	// Gateways is the number of gateways that share the cold servers.
	Gateways int `json:"gateways"`
	// Quarantine lists the suspected parts of prompts.
	Quarantine []quarantine.Dump `json:"quarantine,omitempty"`
}

// Dump returns the current state.
func (s *Server) Dump() Dump {
	d := Dump{Draining: s.drain.Load() != nil, InFlight: s.inFlight.Load(), Queues: map[string]limit.Dump{}}
	if c := s.catalog.Load(); c != nil {
		d.Version = c.Version
	}
	s.mu.Lock()
	for name, q := range s.queues {
		d.Queues[name] = q.Dump()
	}
	s.mu.Unlock()
	now := time.Now()
	d.Evacuated, d.Gateways = s.opts.Fleet.Evacuated(), s.opts.Fleet.CountGateways()
	d.Quarantine = s.opts.Quarantine.Dump(now)
	for _, b := range s.opts.Fleet.All() {
		d.Backends = append(d.Backends, b.Dump(now))
	}
	return d
}

// RunHousekeeping closes expired idle connections, ends bodies that have stalled, moves streams away from silent servers
// and refreshes the groups. It runs until the context ends.
func (s *Server) RunHousekeeping(ctx context.Context) {
	const (
		interval        = 100 * time.Millisecond
		ticksPerRefresh = 5
	)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.moveFromSilent(now)
			s.buffers.EvictStalled(now)
			if n%ticksPerRefresh == 0 {
				s.closeExpiredConnections(now)
				s.RefreshGroups()
			}
		}
	}
}

func (s *Server) closeExpiredConnections(now time.Time) {
	for _, b := range s.opts.Fleet.All() {
		b.Pool.CloseExpired(now)
	}
}

// moveFromSilent moves streams away from silent servers. In a stalled group all servers are silent, so its streams are
// moved only if there is a group that is not stalled.
func (s *Server) moveFromSilent(now time.Time) {
	s.mu.Lock()
	queues := maps.Clone(s.queues)
	s.mu.Unlock()
	for service, q := range queues {
		stalled := q.StalledGroups()
		if len(stalled) > 0 && len(s.opts.Fleet.Groups(service, now)) > len(stalled) {
			stalled = nil
		}
		for _, server := range s.opts.Fleet.MoveFromSilent(service, stalled, now) {
			s.opts.Log.Info("backend server is silent", zap.String("server", server.ID), zap.String("service", service))
		}
	}
}
