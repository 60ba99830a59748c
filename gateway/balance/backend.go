// Package balance chooses a backend server for each request from this process's view of the servers: the list,
// its own requests in flight, and the outcomes of recent ones. Its only I/O is closing connections.
package balance

import (
	"sync"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/workload"
)

const (
	// failureWeight and latencyWeight are the weights of the newest sample in the moving averages.
	failureWeight = 0.2
	latencyWeight = 0.1
	// ejectAfter is the number of consecutive failures after which a server is ejected. The first ejection lasts
	// minEjection, and each further one twice as long as the one before, up to maxEjection. A served request resets the
	// duration.
	ejectAfter  = 3
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// minBackoff and maxBackoff bound the backoff after a server has refused a request.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// refusingAfter is the number of consecutive refusals after which a server gets no requests at all during the
	// backoff, even if there is no other server.
	refusingAfter = 3
)

// Outcome is the result of a request at a server.
type Outcome uint8

// The outcomes.
const (
	// Served: the server sent a complete response.
	Served Outcome = iota
	// Refused: the server is at capacity or reported that it did not execute the request.
	Refused
	// Failed: the server reported a failure or broke off its response.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Abandoned: the caller disconnected or the deadline passed before the response was complete.
	Abandoned
	// Misdirected: another server has the address.
	Misdirected
	// Withdrawn: nothing was sent because the server stopped accepting requests after it was chosen.
	Withdrawn
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "abandoned", "moved", "withdrawn"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Backend is the state of one listed server. Its methods are safe for concurrent use.
type Backend struct {
	Pool *exchange.Pool
	// evacuations, warmups, gateways and regions are those of the fleet.
	evacuations *evacuations
	warmups     *warmups
	gateways    *gatewayTable
	regions     *regionTable
	// idHash is the hash of the server's ID.
	idHash uint64

	mu sync.Mutex
	// position is the place of the server in the order of its service's servers, as a fraction of their number.
	position float64
	server   catalog.Server
	// drainChangedAt is when the entries last told that the server drains, or that it does not.
	drainChangedAt time.Time
	// refutation holds the entries that spoke against the last one that called the server draining.
	refutation refutation
	// group is nil while it is unknown. selfReported is set when the server's own agent reported it.
	group        *Group
	selfReported bool
	// polledAt is when the server's agent was last polled for its group.
	polledAt time.Time
	removed  bool
	// missing is set while the server is absent from the list but still kept.
	missing  bool
	inFlight int
	tokens   int
	// left is the work that the requests in flight still have to do, as far as they were given an estimate.
	left workload.Amount
	// lastActivity is when the server last showed activity, or when a request was sent while none was in flight.
	lastActivity time.Time
	// silent is set when requests in flight were moved to other servers because the server showed no activity.
	silent bool
	// pace is the factor by which the server is slower than expected, 0 if none was reported.
	pace float64
	// moveFuncs holds, for each request in flight that can continue at another server, the function that moves it.
	moveFuncs map[*func()]struct{}
	// failures is the moving average of failed outcomes, 0 to 1.
	failures float64
	// latency is the moving average of the time to the first byte, 0 without samples.
	latency             time.Duration
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// refusals counts the consecutive refusals. Until backoffUntil the server gets other requests only if there is no
	// other server.
	refusals     int
	backoffUntil time.Time
	// suspension is the time during which the server accepts no requests. leaving is set when the server reported that
	// it accepts no new requests and shuts down soon.
	suspension suspension
	leaving    bool
	warm       warmState
	rate       rateState
	place      placeState
}

func (f *Fleet) newBackend(s catalog.Server) *Backend {
	return &Backend{
		Pool: exchange.NewPool(s.Address, f.dialect), server: s, idHash: hashID(s.ID),
		evacuations: f.evacuations, warmups: f.warmups, gateways: f.gateways, regions: f.regions,
	}
}

// Server returns the server's latest entry in the list.
func (b *Backend) Server() catalog.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server
}

// Begin records that a request of the given size in tokens is about to be sent. It must be followed by one TrySend or
// CancelSend, and by one End.
func (b *Backend) Begin(tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == 0 {
		b.lastActivity, b.silent = now, false
	}
	b.inFlight++
	b.rate.unsent++
	b.tokens += tokens
}

// End records the outcome of a request. The latency is the time to the first byte, 0 if there was none.
func (b *Backend) End(tokens int, o Outcome, latency time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.tokens -= tokens
	if latency > 0 {
		b.observeLatency(latency)
	}
	switch o {
	case Served:
		b.failures *= 1 - failureWeight
		b.consecutiveFailures, b.ejections, b.refusals = 0, 0, 0
	case Refused:
		b.observeRefusal(now)
	case Abandoned, Withdrawn:
	case Failed:
		b.failures += failureWeight * (1 - b.failures)
		b.observeFailure(1, now)
	case Unreachable, Misdirected:
		b.failures += failureWeight * (1 - b.failures)
		b.observeFailure(ejectAfter, now)
	}
}

// observeRefusal starts a backoff. Without it, a server that refuses immediately would have nothing in flight and
// attract all requests.
func (b *Backend) observeRefusal(now time.Time) {
	b.lastActivity = now
	b.refusals++
	b.backoffUntil = now.Add(min(minBackoff<<min(b.refusals-1, 8), maxBackoff))
}

// ObserveActivity records activity of the server: the header of a response or an event. Other bytes do not count.
func (b *Backend) ObserveActivity(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastActivity, b.silent = now, false
}

// serverAndGroup returns the server's latest entry in the list, and its group, nil if unknown.
func (b *Backend) serverAndGroup() (catalog.Server, *Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server, b.group
}

// setGroup sets the group and reports whether it changed. A group reported by the server's own agent takes precedence
// over one reported by another agent.
func (b *Backend) setGroup(g *Group, selfReported bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !selfReported && b.selfReported {
		return false
	}
	changed := b.group != g
	b.group, b.selfReported = g, selfReported
	return changed
}

// pollDue reports whether the server's agent should be polled for its group. If so, it records the poll.
func (b *Backend) pollDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.polledAt) < unknownPollInterval {
		return false
	}
	b.polledAt = now
	return true
}

func (b *Backend) observeLatency(latency time.Duration) {
	if b.latency == 0 {
		b.latency = latency
		return
	}
	b.latency += time.Duration(latencyWeight * float64(latency-b.latency))
}

// observeFailure counts one failure as the given number of consecutive failures. It ejects the server if they have
// reached ejectAfter and the server is not already ejected.
func (b *Backend) observeFailure(count int, now time.Time) {
	b.consecutiveFailures += count
	if b.consecutiveFailures < ejectAfter || now.Before(b.ejectedUntil) {
		return
	}
	ejection := min(minEjection<<min(b.ejections, 8), maxEjection)
	b.ejections++
	b.consecutiveFailures = 0
	b.ejectedUntil = now.Add(ejection)
}
