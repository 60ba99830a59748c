package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/controller"
	"lavendermoor.example/expertmap/rankapi"
	"lavendermoor.example/standin/rankgroup"
	"lavendermoor.example/telemetry/invariant"
)

// stepsPerPoll is the number of steps between two polls of the controller: 1 s at 38 ms per step.
const stepsPerPoll = 26

// scenario is one drift of the popularity of experts, possibly with a slow rank.
type scenario struct {
	name  string
	drift rankgroup.Drift
	// slowRank, if at least 0, runs at half speed in the second half of the run.
	slowRank int
}

var scenarios = []scenario{
	{name: "no drift", drift: rankgroup.Drift{Sigma: 0.6, CorrelationSteps: 1}, slowRank: -1},
	{name: "slow drift", drift: rankgroup.Drift{Sigma: 0.6, CorrelationSteps: 100_000, Every: 50}, slowRank: -1},
	{name: "drift", drift: rankgroup.Drift{Sigma: 0.6, CorrelationSteps: 20_000, Every: 50}, slowRank: -1},
	{name: "fast drift", drift: rankgroup.Drift{Sigma: 0.6, CorrelationSteps: 4_000, Every: 50}, slowRank: -1},
	{name: "slow rank", drift: rankgroup.Drift{Sigma: 0.6, CorrelationSteps: 20_000, Every: 50}, slowRank: 9},
}

var policies = []string{
	expertmap.PolicyNever, expertmap.PolicyOnce, expertmap.PolicyFull, expertmap.PolicyLongestFirst, expertmap.PolicyImprove,
}

// outcome is the result of one run.
type outcome struct {
	// layerImbalance is the step time divided by the mean time of a rank, where each layer waits for its slowest rank.
	// rankImbalance is the time of the slowest rank, summed over the layers, divided by that mean. Both are means over
	// the second half of the run, when all policies have reached a steady state.
	layerImbalance, rankImbalance float64
	// total is the virtual time of the second half in seconds. The other figures are of the whole run: the bytes
	// transferred, the number of maps, the longest decision and the number of calls to the key-value service.
	total           float64
	bytes           int64
	maps            int64
	longestDecision time.Duration
	kvCalls         int64
}

// add adds the outcome of one of n runs. Imbalances, time and bytes become means, maps and calls sums, and
// longestDecision the maximum.
func (o *outcome) add(p outcome, n float64) {
	o.layerImbalance += p.layerImbalance / n
	o.rankImbalance += p.rankImbalance / n
	o.total += p.total / n
	o.bytes += int64(float64(p.bytes) / n)
	o.maps += p.maps
	o.longestDecision = max(o.longestDecision, p.longestDecision)
	o.kvCalls += p.kvCalls
}

// placementSize is the size of a placement trial, with fields named like the flags because the trial prints them.
type placementSize struct {
	seeds, steps, workers int
	// decide is the number of polls between decisions, budget the maximum GiB transferred for one map, and memory the
	// averaging time of the popularity in steps.
	decide   int
	budget   int64
	memory   float64
	policies []string
}

func placementTrial(w io.Writer, size placementSize) error {
	fmt.Fprintf(w, "64 ranks x 256 experts x 60 layers, 5 slots, %+v\n", size)
	for _, sc := range scenarios {
		results := make([]outcome, len(size.policies))
		var mu sync.Mutex
		var runs errgroup.Group
		runs.SetLimit(size.workers)
		for i, name := range size.policies {
			for seed := 1; seed <= size.seeds; seed++ {
				runs.Go(func() error {
					got, err := placementRun(sc, name, uint64(seed), size)
					mu.Lock()
					defer mu.Unlock()
					results[i].add(got, float64(size.seeds))
					return err
				})
			}
		}
		if err := runs.Wait(); err != nil {
			return err
		}
		printPlacement(w, sc, results, size)
	}
	fmt.Fprintf(w, "\ninvariant violations: %d\n", invariant.Count())
	return nil
}

func printPlacement(w io.Writer, sc scenario, results []outcome, size placementSize) {
	fmt.Fprintf(w, "\n%s\n\n| policy | skew | skew of ranks | GB moved | maps | time, s | against the first | longest decision, ms | kv calls/map |\n", sc.name)
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, name := range size.policies {
		r := results[i]
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.0f | %.1f | %.1f | %+.1f%% | %d | %.1f |\n", name, r.layerImbalance, r.rankImbalance,
			float64(r.bytes)/1e9, float64(r.maps)/float64(size.seeds), r.total, 100*(r.total/results[0].total-1),
			r.longestDecision.Milliseconds(), float64(r.kvCalls)/float64(max(r.maps, 1)))
	}
}

// directRank accesses a rank of the stand-in without HTTP.
type directRank struct {
	g *rankgroup.Group
	i int
}

func (d directRank) Offer(_ context.Context, o rankapi.Offer) (rankapi.Status, error) {
	return d.g.Offer(d.i, o.Map)
}

func (d directRank) Status(_ context.Context, experts bool) (rankapi.Status, error) {
	return d.g.Status(d.i, experts), nil
}

func placementRun(sc scenario, policy string, seed uint64, size placementSize) (outcome, error) {
	settings := rankgroup.DefaultSettings()
	settings.Seed, settings.Drift = seed, sc.drift
	g := rankgroup.New(settings)
	store := newMemoryStore()
	var out outcome
	opts := controller.DefaultOptions()
	opts.Group, opts.Shape, opts.Store, opts.Log = settings.Group, settings.Shape, store, zap.NewNop()
	opts.PollsPerDecision, opts.Costs.BudgetBytes, opts.AveragingSteps = size.decide, size.budget<<30, size.memory
	decide, err := expertmap.PolicyByName(policy)
	if err != nil {
		return out, err
	}
	opts.Policy = func(m *expertmap.Map, l *expertmap.ExpertLoad, s []float64, c expertmap.Costs) (expertmap.Plan, error) {
		start := time.Now()
		defer func() { out.longestDecision = max(out.longestDecision, time.Since(start)) }()
		return decide(m, l, s, c)
	}
	for i := range settings.Shape.Ranks {
		opts.Ranks = append(opts.Ranks, directRank{g, i})
	}
	c := controller.New(opts)
	if err := runSteps(g, c, sc, size.steps, &out); err != nil {
		return out, err
	}
	d := c.Dump()
	out.bytes, out.maps, out.kvCalls = d.Bytes, d.Maps, store.calls
	return out, nil
}

// runSteps runs the group for at least the given number of steps and measures the second half. The controller polls the
// ranks before every stepsPerPoll calls of Step.
func runSteps(g *rankgroup.Group, c *controller.Controller, sc scenario, steps int, out *outcome) error {
	start, measured := 0.0, 0
	for ran := 0; ran < steps; {
		if err := c.Tick(context.Background()); err != nil {
			return err
		}
		for range stepsPerPoll {
			s := g.Step()
			if !s.Ran {
				continue
			}
			if ran++; ran == steps/2 {
				start = g.Seconds()
				if sc.slowRank >= 0 {
					g.SetFaults(sc.slowRank, rankgroup.Faults{Speed: 0.5})
				}
			}
			if ran > steps/2 {
				measured++
				out.layerImbalance += s.Imbalance()
				out.rankImbalance += slices.Max(s.Rank) / s.Mean
			}
		}
	}
	out.layerImbalance /= float64(measured)
	out.rankImbalance /= float64(measured)
	out.total = (g.Seconds() - start) * float64(steps/2) / float64(measured)
	return nil
}

// memoryStore is an in-memory key-value service without faults and HTTP. It implements only the methods that the
// controller calls.
type memoryStore struct {
	kv.Store
	entries  map[string]kv.Entry
	revision int64
	calls    int64
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]kv.Entry{}} }

func (s *memoryStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.calls++
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return kv.Entry{}, &kv.NotFoundError{Key: key}
}

func (s *memoryStore) List(_ context.Context, _, from string, limit int) ([]kv.Entry, error) {
	s.calls++
	var out []kv.Entry
	for key, e := range s.entries {
		if key >= from {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b kv.Entry) int { return int(a.ModRevision - b.ModRevision) })
	return out[:min(len(out), limit)], nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expected int64, _ kv.LeaseID) (int64, error) {
	s.calls++
	if s.entries[key].ModRevision != expected {
		return 0, &kv.ConflictError{Key: key, Expected: expected}
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, ModRevision: s.revision}
	return s.revision, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, _ int64) error {
	s.calls++
	delete(s.entries, key)
	return nil
}
