// Package balance chooses a backend server for each request from what this process knows of the servers: the list, its
// own requests in flight, and how recent ones went. It does no I/O but to close connections.
package balance

import (
	"sync"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
)

const (
	// failureWeight is the share of the newest outcome in the mean of failures.
	failureWeight = 0.2
	latencyWeight = 0.1
	// ejectAfter is the number of failures in a row after which a server is left out for a while.
	ejectAfter  = 3
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// minBackoff and maxRest bound the time for which a server that refused a request is left alone.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// refusingAfter is the number of refusals in a row after which a server gets nothing at all in that time, also when there
	// is no other.
	refusingAfter = 3
)

// Outcome is how a request went at a server.
type Outcome uint8

// The outcomes.
const (
	// Served: a complete answer.
	Served Outcome = iota
	// Refused: the server is full, or says that it did not run the request.
	Refused
	// Failed: the server failed the request or broke off.
	Failed
	// Unreachable: no connection.
	Unreachable
	// Abandoned: the caller left or the time ran out before the server could show anything.
	Abandoned
	// Moved: another server has the address.
	Moved
	// Withdrawn: nothing was sent, because the server stopped taking requests after it was chosen.
	Withdrawn
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "abandoned", "moved", "withdrawn"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Backend is the state of one listed server. Its methods may be called from any goroutine.
type Backend struct {
	Pool *exchange.Pool

	mu     sync.Mutex
	server catalog.Server
	// group is nil while it is not known; selfReported says that the process beside the server has named it.
	group        *Group
	selfReported bool
	// polledAt is when the process beside the server was polledAt for its group.
	polledAt time.Time
	removed  bool
	// missing says that the list lacks the server, which is kept for a while.
	missing  bool
	inFlight int
	tokens   int
	// lastActivity is when the server was lastActivity of last while requests were in flight, or when the first of them was sent.
	lastActivity time.Time
	// silent says that requests in flight have been moved away because nothing was heard.
	silent bool
	// pace is by how much longer the server takes than it should, 0 while not known.
	pace float64
	// moveFuncs holds, for requests in flight that can go on elsewhere, what moves them there.
	moveFuncs map[*func()]struct{}
	// failures is the mean of recent outcomes, 0 to 1.
	failures float64
	// latency is the mean time to the first byte of recent answers, 0 if there were none.
	latency             time.Duration
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// refusals counts the answers in a row by which the server refused to run a request; until restUntil it gets no other.
	refusals     int
	backoffUntil time.Time
	// suspension is the time for which the server takes no requests; leaving says that it has said in an answer that it leaves.
	suspension suspension
	leaving    bool
}

func newBackend(s catalog.Server, dialect exchange.Dialect) *Backend {
	return &Backend{Pool: exchange.NewPool(s.Address, dialect), server: s}
}

// Server returns the server as it is listed.
func (b *Backend) Server() catalog.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server
}

// Begin counts a request of a size in tokens as sent; it is followed by one End.
func (b *Backend) Begin(tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == 0 {
		b.lastActivity, b.silent = now, false
	}
	b.inFlight++
	b.tokens += tokens
}

// End counts a request as ended and takes its outcome. The latency is the time to the first byte, 0 if there was none.
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
	case Unreachable, Moved:
		b.failures += failureWeight * (1 - b.failures)
		b.observeFailure(ejectAfter, now)
	}
}

// observeRefusal takes a refusal. A server that refuses at once has nothing in flight and would draw all requests.
func (b *Backend) observeRefusal(now time.Time) {
	b.lastActivity = now
	b.refusals++
	b.backoffUntil = now.Add(min(minBackoff<<min(b.refusals-1, 8), maxBackoff))
}

// ObserveActivity takes a sign of life of the server: the head of an answer, or an event. Bytes that are neither say nothing.
func (b *Backend) ObserveActivity(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastActivity, b.silent = now, false
}

// entry returns the server as it is listed, and its group, nil if that is not known.
func (b *Backend) entry() (catalog.Server, *Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server, b.group
}

// setGroup sets the group, by the word of the process beside the server or by that of another one, and says whether it has
// changed.
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

// pollDue says whether the process beside the server should be asked for its group, and counts it as asked if so.
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

func (b *Backend) observeFailure(weight int, now time.Time) {
	b.consecutiveFailures += weight
	if b.consecutiveFailures < ejectAfter || now.Before(b.ejectedUntil) {
		return
	}
	ejection := min(minEjection<<min(b.ejections, 8), maxEjection)
	b.ejections++
	b.consecutiveFailures = 0
	b.ejectedUntil = now.Add(ejection)
}

// minMovePace is the pace from which requests in flight are moved away. All ranks of a group wait for the slowest one's own
// work, so that the streams which stay there slow every stream of the group.
const minMovePace = 2.5

// OnDegraded registers what moves a request in flight elsewhere. It is called, from another goroutine, once the server turns
// slow or silent; forget ends that.
func (b *Backend) OnDegraded(move func()) (unregister func()) {
	key := &move
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moveFuncs == nil {
		b.moveFuncs = map[*func()]struct{}{}
	}
	b.moveFuncs[key] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.moveFuncs, key)
	}
}

// setPace takes a pace, moves requests away if the server has turned slow and there is a better one elsewhere, and says
// whether the pace has changed.
func (b *Backend) setPace(pace float64, hasAlternative bool) bool {
	b.mu.Lock()
	changed := b.pace != pace
	var moves []func()
	if hasAlternative && pace >= minMovePace && b.pace < minMovePace {
		moves = b.listMoveFuncs()
	}
	b.pace = pace
	b.mu.Unlock()
	for _, move := range moves {
		move()
	}
	return changed
}

const (
	// silentAfter is the time without a sign of life after which a server with requests in flight gets others only when there
	// is no other server: its instance may stand still, and what is written to it would be read when it goes on.
	silentAfter = 600 * time.Millisecond
	// moveSilentAfter is that after which its requests are moved away.
	moveSilentAfter = 900 * time.Millisecond
)

func (b *Backend) isSilent(now time.Time, after time.Duration) bool {
	return b.inFlight > 0 && now.Sub(b.lastActivity) > after
}

// moveIfSilent moves the requests in flight away from a server that has been silent for long, once.
func (b *Backend) moveIfSilent(now time.Time) bool {
	b.mu.Lock()
	if b.silent || !b.isSilent(now, moveSilentAfter) {
		b.mu.Unlock()
		return false
	}
	b.silent = true
	moves := b.listMoveFuncs()
	b.mu.Unlock()
	for _, move := range moves {
		move()
	}
	return len(moves) > 0
}

// listMoveFuncs returns what listMoveFuncs the requests in flight. The caller holds the lock.
func (b *Backend) listMoveFuncs() []func() {
	moves := make([]func(), 0, len(b.moveFuncs))
	for move := range b.moveFuncs {
		moves = append(moves, *move)
	}
	return moves
}

// status is what a choice needs to know of a backend, as of one moment.
type status struct {
	usable bool
	// refusing servers refuse whatever they get.
	refusing bool
	// group is empty while it is not known; groupServes says that it takes new work.
	group        string
	groupServing bool
	// ejected servers get requests only when no other can.
	ejected  bool
	slots    int
	inFlight int
	tokens   int
	pace     float64
	failures float64
	local    bool
}

func (b *Backend) status(now time.Time, domain string) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	backingOff := now.Before(b.backoffUntil)
	group, serving := "", true
	if b.group != nil {
		group, serving = b.group.Name, b.group.Serving(now)
	}
	return status{
		usable: !b.isLeaving() && !b.suspension.blocks(now), group: group, groupServing: serving, refusing: backingOff && b.refusals >= refusingAfter,
		ejected: b.missing || backingOff || now.Before(b.ejectedUntil) || b.isSilent(now, silentAfter), slots: b.server.Slots,
		inFlight: b.inFlight, tokens: b.tokens, pace: b.pace,
		failures: b.failures, local: b.server.Domain == domain,
	}
}

// Dump is the state dump of a backend.
type Dump struct {
	ID        string  `json:"id"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	InFlight  int     `json:"in_flight"`
	Tokens    int     `json:"tokens"`
	Failures  float64 `json:"failures"`
	LatencyMs float64 `json:"latency_ms"`
	Pace      float64 `json:"pace"`
	Draining  bool    `json:"draining"`
	Ejected   bool    `json:"ejected"`
	Group     string  `json:"group,omitempty"`
	Refusals  int     `json:"refusals"`
	Leaving   bool    `json:"leaving"`
	HeldMs    int64   `json:"held_ms"`
	Idle      int     `json:"idle_connections"`
}

// Dump returns the state dump.
func (b *Backend) Dump(now time.Time) Dump {
	b.mu.Lock()
	defer b.mu.Unlock()
	group := ""
	if b.group != nil {
		group = b.group.Name
	}
	return Dump{
		Group: group, Refusals: b.refusals, ID: b.server.ID, Service: b.server.Service, Address: b.server.Address, InFlight: b.inFlight, Tokens: b.tokens,
		Failures: b.failures, LatencyMs: float64(b.latency) / float64(time.Millisecond), Pace: b.pace, Draining: b.server.Draining,
		Ejected: now.Before(b.ejectedUntil), Idle: b.Pool.Idle(), Leaving: b.leaving, HeldMs: max(b.suspension.until.Sub(now), 0).Milliseconds(),
	}
}
