package ingress

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/exchange"
	"lavendermoor.example/gateway/limit"
)

// A deployment with 63 ranks and routes of three priorities (docs/load-and-limits.md).
const (
	simGateways      = 6
	simRanks         = 63
	simSlots         = 10
	simStepsPerPass  = 6
	simStepTime      = 5850 * time.Microsecond
	simStepPerStream = 426 * time.Microsecond
	simReadRate      = 61200.0 // Prompt tokens per second.
	// simReadSkew is the reading of the most loaded rank in a pass over the mean.
	simReadSkew  = 3.0
	simTargetGap = 120 * time.Millisecond
	simDeadline  = 8 * time.Second
	simLoadTime  = 34 * time.Second
	// simLateValue is the value of a complete response that is late. Callers pay a third to half.
	simLateValue = 0.4
)

// simRoute is the load of one route.
type simRoute struct {
	priority  int
	objective time.Duration
	rate      float64
	// bursts are the factors of the rate in the bursts.
	bursts []simBurst
}

type simBurst struct {
	factor     float64
	start, end time.Duration
}

// simResult counts the callers of a route.
type simResult struct {
	callers, served, onTime, refusals, refusedTwice int
}

func (r *simResult) add(other simResult) {
	r.callers += other.callers
	r.served += other.served
	r.onTime += other.onTime
	r.refusals += other.refusals
	r.refusedTwice += other.refusedTwice
}

func (r simResult) servedShare() float64 { return float64(r.served) / float64(r.callers) }

func (r simResult) value() float64 {
	return (float64(r.onTime) + simLateValue*float64(r.served-r.onTime)) / float64(r.callers)
}

// simStream is a stream that the simulated group runs.
type simStream struct {
	caller   *simCaller
	permit   *limit.Permit
	admitted time.Time
	events   int
	prompt   int
	last     time.Time
	longest  time.Duration
	first    time.Duration
}

type simCaller struct {
	route    int
	arrived  time.Time
	deadline time.Time
	result   *simResult
	// gateways get the first request and the retry.
	gateways       [2]int
	events, prompt int
}

// competition is a simulation of gateways whose callers compete for one group. Its callers honour Retry-After and
// return once.
type competition struct {
	routes []simRoute
	seed   uint64
	// mu guards the fields below it, and the results.
	mu     sync.Mutex
	random *rand.Rand
	// shifts sets the times of shifts of demand.
	shifts  *rand.Rand
	servers [simGateways]*Server
	queues  [simGateways]*limit.Queue
	running []*simStream
	results []simResult
	start   time.Time
	// imbalance is the work of the most loaded rank over the mean.
	imbalance   float64
	nextShift   time.Time
	balancedAt  time.Time
	withoutPrio bool
}

func newCompetition(routes []simRoute, seed uint64, withPriorities bool) *competition {
	s := &competition{
		routes: routes, seed: seed, random: rand.New(rand.NewPCG(seed, 100)), shifts: rand.New(rand.NewPCG(seed, 101)), results: make([]simResult, len(routes)),
		start: time.Now(), withoutPrio: !withPriorities,
	}
	s.nextShift = s.start.Add(2 * time.Second)
	for i := range s.servers {
		s.servers[i] = New(Options{
			Log: zap.NewNop(), Fleet: balance.NewFleet(testDialect{}, "d"), Random: s.float64,
		})
		s.queues[i] = limit.NewQueue(s.start)
		s.queues[i].SetGroups([]limit.GroupState{{
			Name: "g", Slots: simRanks * simSlots, Share: 1.0 / simGateways, EmptyPass: simStepsPerPass * simStepTime,
		}})
	}
	return s
}

// float64 returns a random number in [0, 1).
func (s *competition) float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// run sends the load and returns once all callers have ended.
func (s *competition) run(ctx context.Context) []simResult {
	for i := range s.routes {
		go s.arrivals(ctx, i)
	}
	for time.Since(s.start) < simLoadTime+simDeadline+time.Second {
		s.pass()
	}
	return s.results
}

// arrivals starts the callers of a route. Their times and sizes depend on the seed only.
func (s *competition) arrivals(ctx context.Context, route int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(route)))
	for {
		rate := s.routes[route].rateAt(time.Since(s.start))
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(s.start) > simLoadTime {
			return
		}
		timeout := time.Duration((0.85 + 0.15*random.Float64()) * float64(simDeadline))
		caller := &simCaller{
			route: route, arrived: time.Now(), deadline: time.Now().Add(timeout), result: &s.results[route],
			gateways: [2]int{random.IntN(simGateways), random.IntN(simGateways)},
			events:   size(random, 23, 0.8, 58), prompt: size(random, 815, 0.95, 2900),
		}
		s.count(func() { caller.result.callers++ })
		go s.call(ctx, caller)
	}
}

// rateAt returns the arrivals per second at a time of the load.
func (r simRoute) rateAt(elapsed time.Duration) float64 {
	for _, b := range r.bursts {
		if elapsed >= b.start && elapsed < b.end {
			return r.rate * b.factor
		}
	}
	return r.rate
}

// call is a caller's request with its retry.
func (s *competition) call(ctx context.Context, caller *simCaller) {
	for try := range 2 {
		failure := s.request(ctx, caller, caller.gateways[try])
		if failure == nil {
			return
		}
		s.count(func() {
			caller.result.refusals++
			caller.result.refusedTwice += try
		})
		if try == 0 {
			time.Sleep(min(failure.RetryAfter, time.Until(caller.deadline)/3))
		}
	}
}

func (s *competition) count(add func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add()
}

// request sends one request through the admission of a gateway.
func (s *competition) request(ctx context.Context, caller *simCaller, gateway int) *Failure {
	route := s.routes[caller.route]
	c := &call{server: s.servers[gateway], arrived: time.Now(), deadline: caller.deadline, route: &catalog.Route{
		Name: string(rune('a' + caller.route)), Objective: route.objective, TargetGap: simTargetGap, Priority: route.priority,
	}}
	if s.withoutPrio {
		c.route.Priority = 0
	}
	c.meta = exchange.Metadata{HasTimeout: true, Timeout: time.Until(caller.deadline)}
	permit, err := s.queues[gateway].Acquire(ctx, c.acquireOptions(s.queues[gateway]))
	if err != nil {
		return c.admissionFailure(s.queues[gateway], err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = append(s.running, &simStream{
		caller: caller, permit: permit, admitted: time.Now(), last: time.Now(),
		events: caller.events, prompt: caller.prompt,
	})
	return nil
}

// size returns a random size, log-normal with a mean and a relative spread.
func size(random *rand.Rand, mean, spread, largest float64) int {
	variance := math.Log(1 + spread*spread)
	x := mean * math.Exp(math.Sqrt(variance)*random.NormFloat64()-variance/2)
	return int(min(max(x, 1), largest))
}

// pass runs one pass of the group. Streams that join during a pass take part in the next one.
func (s *competition) pass() {
	n, pass := s.begin()
	time.Sleep(pass)
	s.emit(n)
}

// begin returns the number of streams in the pass that begins, and its time.
func (s *competition) begin() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shift()
	n := len(s.running)
	tokens := 0
	for _, r := range s.running {
		tokens += r.prompt
		r.prompt = 0
	}
	reading := time.Duration(simReadSkew * float64(tokens) / simRanks / simReadRate * float64(time.Second))
	perRank := time.Duration(math.Ceil(float64(n) / simRanks))
	return n, time.Duration(s.imbalance*float64(simStepsPerPass*(simStepTime+perRank*simStepPerStream))) + reading
}

// emit sends an event of each of the first n streams.
func (s *competition) emit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var ended []*simStream
	kept := make([]*simStream, 0, len(s.running))
	for _, r := range s.running[:n] {
		if s.event(r, now) {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = append(kept, s.running[n:]...)
	for _, r := range ended {
		s.end(r, now)
	}
}

// event records an event of a stream and reports whether the stream ends.
func (s *competition) event(r *simStream, now time.Time) bool {
	gap := now.Sub(r.last)
	r.last = now
	if r.first == 0 {
		r.first = now.Sub(r.caller.arrived)
		r.permit.ObserveFirstEvent(gap, now)
	} else {
		r.longest = max(r.longest, gap)
		r.permit.ObserveGap(gap, simTargetGap, now)
	}
	r.events--
	return r.events <= 0 || now.After(r.caller.deadline)
}

func (s *competition) end(r *simStream, now time.Time) {
	r.permit.Release()
	if now.After(r.caller.deadline) {
		return
	}
	r.caller.result.served++
	if r.first <= s.routes[r.caller.route].objective && r.longest <= simTargetGap {
		r.caller.result.onTime++
	}
}

// shift changes the choice of experts every 2.2 to 4.3 s. The most loaded rank then has twice the work for 1 s.
func (s *competition) shift() {
	now := time.Now()
	if !now.Before(s.nextShift) {
		s.balancedAt = now.Add(time.Second)
		s.nextShift = now.Add(time.Duration((2.2 + 2.1*s.shifts.Float64()) * float64(time.Second)))
	}
	s.imbalance = 1.1
	if now.Before(s.balancedAt) {
		s.imbalance = 1.85
	}
}
