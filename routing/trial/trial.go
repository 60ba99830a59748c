// Package trial compares routing policies in virtual time: entries, replicas with slots and a prefix cache, and
// callers with conversations, all in one goroutine and from one seed. It measures the choice of replica only; no
// process, connection or clock of the system takes part.
package trial

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

// Options describe a trial.
type Options struct {
	Seed              uint64
	Entries, Replicas int
	// Slots of a replica; further requests wait in order.
	Slots int
	// Rate is the arrivals per second of all entries together.
	Rate float64
	// Duration is the virtual time of arrivals; the first half is not measured.
	Duration time.Duration
	// ReportLag is how old the load in a report is.
	ReportLag time.Duration
	// Customers share the model by Zipf's law with exponent 1.
	Customers int
	// CacheBlocks is the prefix cache of a replica.
	CacheBlocks int
	// MeanTokens of an answer; the length is distributed exponentially.
	MeanTokens float64
}

// Small is the size of the association, Large that of one model at the target size.
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

// Times of the fake engine.
const (
	blockTime = 4 * time.Millisecond // to read 256 bytes of prompt that are not cached
	tokenTime = 30 * time.Millisecond
	sample    = 100 * time.Millisecond
)

// Result is what a trial measured.
type Result struct {
	// HitShare is the share of prompt blocks that were cached.
	HitShare float64
	// Imbalance is the mean over time of the highest load over the mean load of the replicas.
	Imbalance float64
	// FirstToken95 is the 95th percentile of the time from arrival to the first token.
	FirstToken95 time.Duration
	// Utilisation is the mean share of busy slots.
	Utilisation float64
	Requests    int
}

// String returns the result as a row of a table.
func (r Result) String() string {
	return fmt.Sprintf("%5.1f%% | %5.2f | %6d ms | %4.1f%% | %d", 100*r.HitShare, r.Imbalance,
		r.FirstToken95.Milliseconds(), 100*r.Utilisation, r.Requests)
}

// Run makes a trial; policy returns a fresh policy for each entry.
func Run(o Options, policy func() routing.Policy) (Result, error) {
	t, err := newTrial(o, policy)
	if err != nil {
		return Result{}, err
	}
	t.at(0, t.arrive)
	t.at(0, t.measure)
	for t.events.Len() > 0 {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	return t.result(), nil
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

type trial struct {
	o       Options
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  eventHeap
	entries []*routing.Router
	engines map[string]*engine
	order   []*engine
	callers *callers

	requests               int
	blocks, hits           int
	firsts                 []time.Duration
	imbalance, utilisation float64
	samples                int
}

var epoch = time.Unix(1_700_000_000, 0)

const modelName = "m"

func newTrial(o Options, policy func() routing.Policy) (*trial, error) {
	st, err := fleet(o)
	if err != nil {
		return nil, err
	}
	t := &trial{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), engines: map[string]*engine{}}
	t.callers = newCallers(o, rand.New(rand.NewPCG(o.Seed, 2)))
	view := membership.NewState(epoch, o.Seed).View(epoch)
	for i := range o.Entries {
		r := routing.NewRouter(policy(), domainOf(i))
		r.Update(st, view)
		t.entries = append(t.entries, r)
	}
	for _, s := range st.ServersOfModel(modelName) {
		e := &engine{t: t, cache: newCache(o.CacheBlocks)}
		t.engines[s.GetName()] = e
		t.order = append(t.order, e)
	}
	return t, nil
}

func domainOf(i int) string { return fmt.Sprintf("d%d", i%3) }

func fleet(o Options) (*cluster.State, error) {
	objects := []*operatorv1.Object{{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: modelName}}}}
	for i := range o.Replicas {
		name := fmt.Sprintf("s%04d", i)
		objects = append(objects,
			&operatorv1.Object{Kind: &operatorv1.Object_Group{
				Group: &operatorv1.Group{Name: name, Model: modelName, Ranks: 1},
			}},
			&operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
				Name: name, Address: "127.0.0.1:1", Group: name, FailureDomain: domainOf(i), Slots: int32(o.Slots),
			}}})
	}
	return cluster.New(1, objects)
}

func (t *trial) at(after time.Duration, run func()) {
	t.seq++
	heap.Push(&t.events, event{t.now + after, t.seq, run})
}

func (t *trial) measured() bool { return t.now >= t.o.Duration/2 }

// arrive sends the next request and plans the one after it.
func (t *trial) arrive() {
	if t.now >= t.o.Duration {
		return
	}
	t.at(time.Duration(t.rng.ExpFloat64()/t.o.Rate*float64(time.Second)), t.arrive)
	c := t.callers.next()
	entry := t.entries[t.rng.IntN(len(t.entries))]
	replica, err := entry.Picker().Pick(routing.Query{
		Target: routing.Target{Model: modelName}, Prompt: c.prompt, Random: t.rng.Uint64(), Now: epoch.Add(t.now),
	})
	if err != nil {
		panic(err) // Every replica is usable in a trial.
	}
	replica.Begin()
	e := t.engines[replica.Name]
	running, waiting := e.past(t.now - t.o.ReportLag)
	replica.Observe(epoch.Add(t.now), routing.Report{Running: running, Waiting: waiting, Limit: t.o.Slots})
	tokens := max(t.rng.ExpFloat64()*t.o.MeanTokens, 1)
	e.take(&request{
		blocks: c.blocks, arrived: t.now, decode: time.Duration(tokens * float64(tokenTime)), done: replica.End,
	})
	t.requests++
}

// measure samples the loads.
func (t *trial) measure() {
	if t.now >= t.o.Duration {
		return
	}
	t.at(sample, t.measure)
	for _, e := range t.order {
		e.remember()
	}
	if !t.measured() {
		return
	}
	total, most, busy := 0, 0, 0
	for _, e := range t.order {
		n := e.running + len(e.queue)
		total, most, busy = total+n, max(most, n), busy+e.running
	}
	if total > 0 {
		t.imbalance += float64(most) * float64(len(t.order)) / float64(total)
		t.utilisation += float64(busy) / float64(len(t.order)*t.o.Slots)
		t.samples++
	}
}

func (t *trial) result() Result {
	slices.Sort(t.firsts)
	return Result{
		HitShare: float64(t.hits) / float64(t.blocks), Imbalance: t.imbalance / float64(t.samples),
		FirstToken95: t.firsts[int(math.Ceil(0.95*float64(len(t.firsts))))-1],
		Utilisation:  t.utilisation / float64(t.samples), Requests: t.requests,
	}
}
