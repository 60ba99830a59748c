// Package simulation compares routing policies in a discrete-event simulation. It models entry processes, replicas with
// slots and a prefix cache, and callers with conversations, in one goroutine and from one seed. It measures the choice
// of replica only and uses no processes, connections or system clock.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// Options configure a simulation.
type Options struct {
	Seed              uint64
	Entries, Replicas int
	// Slots is the number of requests that a replica runs at the same time. Further requests wait in FIFO order.
	Slots int
	// Rate is the arrival rate of all entries together, in requests per second.
	Rate float64
	// Duration is the virtual time during which requests arrive. The first half is warm-up and not measured.
	Duration time.Duration
	// ReportLag is the age of the load in a report.
	ReportLag time.Duration
	// Customers is the number of customers. Their request rates follow Zipf's law with exponent 1.
	Customers int
	// CacheBlocks is the capacity of a replica's prefix cache.
	CacheBlocks int
	// MeanTokens is the mean length of a response. Lengths have an exponential distribution.
	MeanTokens float64
}

// Small is the size of today's deployment, Large the size of one model at the target scale.
var (
	Small = Options{
		Seed: 1, Entries: 3, Replicas: 12, Slots: 16, Rate: 22, Duration: 4 * time.Minute, ReportLag: time.Second,
		Customers: 10, CacheBlocks: 1000, MeanTokens: 200,
	}
	Large = Options{
		Seed: 1, Entries: 1100, Replicas: 104, Slots: 192, Rate: 1857, Duration: 8 * time.Minute,
		ReportLag: time.Second, Customers: 60, CacheBlocks: 4000, MeanTokens: 211,
	}
)

// Timing of the simulation and its engines.
const (
	blockPrefillTime = 4 * time.Millisecond // for 256 bytes of prompt that are not cached
	tokenDecodeTime  = 30 * time.Millisecond
	sampleInterval   = 100 * time.Millisecond
)

// Result holds the measurements of a simulation.
type Result struct {
	// CacheHitRatio is the share of prompt blocks that were cached.
	CacheHitRatio float64
	// Imbalance is the ratio of the highest to the mean load of the replicas, averaged over time.
	Imbalance float64
	// FirstTokenP95 is the 95th percentile of the time from arrival to the first token.
	FirstTokenP95 time.Duration
	// Utilization is the mean share of busy slots.
	Utilization float64
	Requests    int
}

// String formats the result as a table row.
func (r Result) String() string {
	return fmt.Sprintf("%5.1f%% | %5.2f | %6d ms | %4.1f%% | %d", 100*r.CacheHitRatio, r.Imbalance,
		r.FirstTokenP95.Milliseconds(), 100*r.Utilization, r.Requests)
}

// Run runs a simulation. policy is called once per entry and must return a new policy each time.
func Run(opts Options, policy func() routing.Policy) (Result, error) {
	s, err := newSimulation(opts, policy)
	if err != nil {
		return Result{}, err
	}
	s.schedule(0, s.arrive)
	s.schedule(0, s.sampleLoads)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.result(), nil
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	opts        Options
	rng         *rand.Rand
	now         time.Duration
	seq         int
	events      eventHeap
	entries     []*routing.Router
	engines     map[string]*engine
	engineOrder []*engine
	workload    *workload

	requests int
	// blocks counts the prompt blocks of the requests started after the warm-up, hits those that were cached.
	blocks, hits                 int
	firstTokenTimes              []time.Duration
	imbalanceSum, utilizationSum float64
	samples                      int
}

var startTime = time.Unix(1_700_000_000, 0)

const modelName = "m"

func newSimulation(opts Options, policy func() routing.Policy) (*simulation, error) {
	st, err := fleet(opts)
	if err != nil {
		return nil, err
	}
	s := &simulation{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), engines: map[string]*engine{}}
	s.workload = newWorkload(opts, rand.New(rand.NewPCG(opts.Seed, 2)))
	view := membership.NewState(startTime, opts.Seed).View(startTime)
	for i := range opts.Entries {
		r := routing.NewRouter(policy(), domainOf(i))
		r.Update(st, view)
		s.entries = append(s.entries, r)
	}
	for _, server := range st.ServersOfModel(modelName) {
		e := &engine{sim: s, cache: newPrefixCache(opts.CacheBlocks)}
		s.engines[server.GetName()] = e
		s.engineOrder = append(s.engineOrder, e)
	}
	return s, nil
}

func domainOf(i int) string { return fmt.Sprintf("d%d", i%3) }

func fleet(opts Options) (*cluster.State, error) {
	objects := []*operatorv1.Object{{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: modelName}}}}
	for i := range opts.Replicas {
		name := fmt.Sprintf("s%04d", i)
		objects = append(objects,
			&operatorv1.Object{Kind: &operatorv1.Object_Group{
				Group: &operatorv1.Group{Name: name, Model: modelName, Ranks: 1},
			}},
			&operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
				Name: name, Address: "127.0.0.1:1", Group: name, FailureDomain: domainOf(i), Slots: int32(opts.Slots),
			}}})
	}
	return cluster.New(1, objects)
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + delay, s.seq, run})
}

func (s *simulation) afterWarmUp() bool { return s.now >= s.opts.Duration/2 }

// arrive sends a request and schedules the next arrival.
func (s *simulation) arrive() {
	if s.now >= s.opts.Duration {
		return
	}
	s.schedule(time.Duration(s.rng.ExpFloat64()/s.opts.Rate*float64(time.Second)), s.arrive)
	prompt := s.workload.nextPrompt()
	entry := s.entries[s.rng.IntN(len(s.entries))]
	replica, err := entry.Picker().Pick(routing.Query{
		Target: routing.Target{Model: modelName}, Prompt: prompt.text, Random: s.rng.Uint64(), Now: startTime.Add(s.now),
	})
	if err != nil {
		panic(err) // Every replica is usable in a simulation.
	}
	replica.Begin()
	e := s.engines[replica.Name]
	running, waiting := e.loadAt(s.now - s.opts.ReportLag)
	replica.ObserveReport(startTime.Add(s.now), routing.Report{Running: running, Waiting: waiting, Limit: s.opts.Slots})
	tokens := max(s.rng.ExpFloat64()*s.opts.MeanTokens, 1)
	e.enqueue(&request{
		blocks: prompt.blocks, arrivedAt: s.now, decodeTime: time.Duration(tokens * float64(tokenDecodeTime)),
		done: replica.End,
	})
	s.requests++
}

// sampleLoads records the loads of the engines and schedules the next sample.
func (s *simulation) sampleLoads() {
	if s.now >= s.opts.Duration {
		return
	}
	s.schedule(sampleInterval, s.sampleLoads)
	for _, e := range s.engineOrder {
		e.recordLoad()
	}
	if !s.afterWarmUp() {
		return
	}
	total, maxLoad, busy := 0, 0, 0
	for _, e := range s.engineOrder {
		n := e.running + len(e.queue)
		total, maxLoad, busy = total+n, max(maxLoad, n), busy+e.running
	}
	if total > 0 {
		s.imbalanceSum += float64(maxLoad) * float64(len(s.engineOrder)) / float64(total)
		s.utilizationSum += float64(busy) / float64(len(s.engineOrder)*s.opts.Slots)
		s.samples++
	}
}

func (s *simulation) result() Result {
	slices.Sort(s.firstTokenTimes)
	return Result{
		CacheHitRatio: float64(s.hits) / float64(s.blocks), Imbalance: s.imbalanceSum / float64(s.samples),
		FirstTokenP95: s.firstTokenTimes[int(math.Ceil(0.95*float64(len(s.firstTokenTimes))))-1],
		Utilization:   s.utilizationSum / float64(s.samples), Requests: s.requests,
	}
}
