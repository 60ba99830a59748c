// Package ingress serves callers that speak the backend servers' own HTTP interface: it authenticates the customer,
// finds the route, chooses a server, and passes the answer on unchanged.
package ingress

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/limit"
)

// Dialect translates the headers of callers and servers.
type Dialect interface {
	exchange.Dialect
	// ParseRequest decodes what a caller says of its request.
	ParseRequest(h http.Header) exchange.Metadata
	// SetAttemptHeaders sets the headers of one send; h is a copy of the caller's.
	SetAttemptHeaders(h http.Header, s exchange.Attempt)
	// MarkOwnResponse marks an answer of the gateway itself as that to a request.
	MarkOwnResponse(h http.Header, id string)
}

// RetryBudget bounds the sends beyond the first of each request.
type RetryBudget interface {
	CountRequest(now time.Time)
	TryRetry(now time.Time) bool
}

// Options are the parts of a Server.
type Options struct {
	Dialect Dialect
	Fleet   *balance.Fleet
	// NewBudget returns the retry budget of one more service.
	NewBudget func() RetryBudget
	Log       *zap.Logger
	Metrics   *Metrics
	// Random returns a number in [0, 1).
	Random func() float64
	// ConfigAge returns the time since the catalog was last confirmed as the latest.
	ConfigAge func() time.Duration
}

// Server handles the requests of callers. Its methods may be called from any goroutine.
type Server struct {
	opts    Options
	catalog atomic.Pointer[catalog.Catalog]
	// drain is nil until the process stops.
	drain  atomic.Pointer[drain]
	active atomic.Int64
	// share is the part of what all gateways share that is this one's own.
	capacityShare atomic.Pointer[float64]

	mu      sync.Mutex
	queues  map[string]*limit.Queue
	budgets map[string]RetryBudget
	// deadlines are the longest times that callers have given a route, by its name.
	longestDeadlines map[string]time.Duration
}

// New returns a server without a catalog, which refuses every request.
func New(opts Options) *Server {
	return &Server{
		opts: opts, queues: map[string]*limit.Queue{}, budgets: map[string]RetryBudget{}, longestDeadlines: map[string]time.Duration{},
	}
}

// SetCatalog puts a catalog in force unless it is older than the present one, and says whether it did.
func (s *Server) SetCatalog(c *catalog.Catalog) bool {
	if old := s.catalog.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	s.catalog.Store(c)
	return true
}

// Catalog returns the catalog in force, nil before the first.
func (s *Server) Catalog() *catalog.Catalog { return s.catalog.Load() }

// drain is the end of a process: it still serves what comes until refuseAfter, then only what ends before the end.
type drain struct{ refuseAfter, end time.Time }

// Drain makes the server tell callers to use another connection. Requests that come after refuseAfter are refused unless
// they end before the end in any case.
func (s *Server) Drain(refuseAfter, end time.Time) {
	s.drain.Store(&drain{refuseAfter: refuseAfter, end: end})
}

// Ready says whether the server wants new connections.
func (s *Server) Ready() bool { return s.drain.Load() == nil && s.catalog.Load() != nil }

// Active returns the number of requests that are not answered yet.
func (s *Server) Active() int64 { return s.active.Load() }

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
		out[i] = limit.GroupState{Name: g.Name, Slots: g.Slots, Share: s.ownCapacityShare(), EmptyPass: emptyPass, Unavailable: !g.Serving}
	}
	return out
}

// SetCapacityShare sets the part, 0 to 1, of what all gateways share that is this one's own.
func (s *Server) SetCapacityShare(share float64) { s.capacityShare.Store(&share) }

// unknownShare is the part of a gateway that does not know how many others there are.
const defaultCapacityShare = 1.0 / 16

func (s *Server) ownCapacityShare() float64 {
	if share := s.capacityShare.Load(); share != nil {
		return *share
	}
	return defaultCapacityShare
}

// RefreshGroups takes up what has become known of the groups of all services.
func (s *Server) RefreshGroups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for service, q := range s.queues {
		q.SetGroups(s.groupStates(service, now))
	}
}

// groupFailed takes an answer which shows that the group of a server does not serve.
func (s *Server) handleGroupFailure(b *balance.Backend, request, faultAt string) {
	group, changed := s.opts.Fleet.MarkGroupFailed(b, time.Now())
	if !changed {
		return
	}
	s.opts.Log.Info("group does not serve", zap.String("group", group), zap.String("server", b.Server().ID),
		zap.String("fault_at", faultAt), zap.String("request", request))
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

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{server: s, w: w, r: r, arrived: time.Now(), catalog: s.catalog.Load()}
	c.meta = s.opts.Dialect.ParseRequest(r.Header)
	c.lastEventID = c.meta.LastEventID
	defer s.record(c)
	c.serve()
}

// Dump is the state dump of a server.
type Dump struct {
	Version  int64                 `json:"catalog_version"`
	Draining bool                  `json:"draining"`
	Active   int64                 `json:"active"`
	Queues   map[string]limit.Dump `json:"queues"`
	Backends []balance.Dump        `json:"backends"`
}

// Dump returns the state dump.
func (s *Server) Dump() Dump {
	d := Dump{Draining: s.drain.Load() != nil, Active: s.active.Load(), Queues: map[string]limit.Dump{}}
	if c := s.catalog.Load(); c != nil {
		d.Version = c.Version
	}
	s.mu.Lock()
	for name, q := range s.queues {
		d.Queues[name] = q.Dump()
	}
	s.mu.Unlock()
	now := time.Now()
	for _, b := range s.opts.Fleet.All() {
		d.Backends = append(d.Backends, b.Dump(now))
	}
	return d
}

// RunHousekeeping closes connections that have been idle for too long, moves streams away from silent servers and takes up changes
// of the groups. It is called now and then until the context ends.
func (s *Server) RunHousekeeping(ctx context.Context) {
	const (
		every           = 100 * time.Millisecond
		ticksPerRefresh = 5
	)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.moveFromSilent(now)
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

// moveSilent moves streams away from servers that nothing is heard of. In a group that stands still all servers are silent, and
// its streams are moved only if there is another group.
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
