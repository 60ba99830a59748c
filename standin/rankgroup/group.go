// Package rankgroup is a stand-in for a lock-step rank group. Each rank accepts offers of expert maps over HTTP and
// loads them with a delay. The ranks exchange barrier reports, and report step times and the token count of each
// expert. Time is virtual: one call of Step is one step of the whole group.
package rankgroup

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rankapi"
	"lavendermoor.example/telemetry/invariant"
)

// Settings describe a group.
type Settings struct {
	Group string          `json:"group"`
	Shape expertmap.Shape `json:"shape"`
	Seed  uint64          `json:"seed"`
	// RankSeconds is the mean compute time per step of a rank with speed 1.
	RankSeconds float64 `json:"rank_seconds"`
	// Noise is the standard deviation of the logarithm of a rank's step time.
	Noise float64 `json:"noise"`
	Drift Drift   `json:"drift"`
	// ExpertSeconds is the time to transfer one expert of one layer to a rank.
	ExpertSeconds float64 `json:"expert_seconds"`
	// TransferSlowdown is the fraction by which a rank's steps take longer while it transfers experts.
	TransferSlowdown float64 `json:"load_slowdown"`
	// TokensPerSecond converts the work of a rank in seconds to token counts.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// DefaultSettings returns a group of the target size: 30 ms of work per step, experts of 44 MB transferred at 4 GB/s.
func DefaultSettings() Settings {
	return Settings{
		Group: "group", Seed: 1, RankSeconds: 0.030, Noise: 0.02,
		Shape:         expertmap.Shape{Ranks: 64, Experts: 256, Layers: 60, Slots: 5},
		Drift:         Drift{Sigma: 0.6, CorrelationSteps: 20_000, Every: 100},
		ExpertSeconds: 0.011, TransferSlowdown: 0.1, TokensPerSecond: 1e6,
	}
}

// Faults are the injected faults of one rank. The zero value with Speed 1 injects none.
type Faults struct {
	// Speed is 1 for a normal rank and below 1 for a slow one; 0 keeps the current speed.
	Speed float64 `json:"speed"`
	// OfferDelaySeconds is the virtual time after which an offer takes effect.
	OfferDelaySeconds float64 `json:"late_seconds"`
	// Paused stops the rank. Calls to it block.
	Paused bool `json:"paused"`
	// Dead stops the rank, which loses all maps. Calls to it fail.
	Dead bool `json:"dead"`
}

// Step is the result of one call of Group.Step.
type Step struct {
	// Ran is false if a rank was missing at the barrier or had not loaded the version.
	Ran     bool
	Version int64
	expertmap.StepTiming
	// Loading is the number of ranks that were transferring experts.
	Loading int
}

// barrierRetrySeconds is the virtual time after which a group repeats a barrier.
const barrierRetrySeconds = 0.05

// Group is the stand-in. It is safe for concurrent use.
type Group struct {
	mu         sync.Mutex
	settings   Settings
	ranks      []*rank
	popularity *popularity
	rng        *rand.Rand
	// clock is the virtual time in seconds.
	clock float64
	steps int64
	// speed holds the speeds of the ranks in the last step, including noise and transfers.
	speed []float64
	// chooseMap chooses the map of a rank. Tests replace it to show that the invariant detects violations.
	chooseMap func(s *expertmap.MapSwitch, reports []expertmap.BarrierReport) (*expertmap.Map, error)
}

// New returns a group whose ranks have no map.
func New(settings Settings) *Group {
	g := &Group{
		settings: settings, speed: make([]float64, settings.Shape.Ranks),
		popularity: newPopularity(
			settings.Shape, settings.Drift,
			settings.RankSeconds*float64(settings.Shape.Ranks)/float64(settings.Shape.Layers), settings.Seed,
		),
		rng: rand.New(rand.NewPCG(settings.Seed, 0x6e6f697365)),
		chooseMap: func(s *expertmap.MapSwitch, reports []expertmap.BarrierReport) (*expertmap.Map, error) {
			return s.BeginStep(reports)
		},
	}
	for i := range settings.Shape.Ranks {
		g.ranks = append(g.ranks, newRank(g, i))
	}
	return g
}

// Load returns a copy of the current popularity, as the load of each expert.
func (g *Group) Load() *expertmap.ExpertLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := expertmap.NewExpertLoad(g.settings.Shape)
	copy(out.Seconds, g.popularity.load.Seconds)
	return out
}

// SetFaults replaces the injected faults of a rank.
func (g *Group) SetFaults(rank int, f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].setFaults(f)
}

// Offer offers a map to a rank, as PathMap does.
func (g *Group) Offer(rank int, m *expertmap.Map) (rankapi.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.ranks[rank].offer(m); err != nil {
		return rankapi.Status{}, err
	}
	return g.ranks[rank].status(false), nil
}

// Status returns a rank's status, as PathStatus does.
func (g *Group) Status(rank int, experts bool) rankapi.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[rank].status(experts)
}

// Seconds returns the virtual time since the start.
func (g *Group) Seconds() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock
}

// Step runs one barrier and, if all ranks are ready, the step that follows.
func (g *Group) Step() Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		r.advance(g.clock)
	}
	maps, ok := g.barrier()
	if !ok {
		g.clock += barrierRetrySeconds
		return Step{}
	}
	out := g.runStep(maps[0])
	g.updateCounters(maps, out)
	return out
}

// barrier returns the map that each rank chose, and whether all ranks can run the step.
func (g *Group) barrier() ([]*expertmap.Map, bool) {
	reports := make([]expertmap.BarrierReport, len(g.ranks))
	for i, r := range g.ranks {
		if r.faults.Dead || r.faults.Paused {
			return nil, false
		}
		reports[i] = r.maps.Report()
	}
	maps := make([]*expertmap.Map, len(g.ranks))
	ready := true
	for i, r := range g.ranks {
		m, err := g.chooseMap(&r.maps, reports)
		invariant.Check(err == nil, invariant.SingleMap, "group %s rank %d: %v", g.settings.Group, i, err)
		maps[i] = m
		ready = ready && m != nil
	}
	if ready {
		checkOneMap(g.settings.Group, g.steps, maps)
	}
	return maps, ready
}

// checkOneMap checks invariant P1: all ranks run a step with the same map.
func checkOneMap(group string, step int64, maps []*expertmap.Map) {
	for i, m := range maps {
		same := m.Version == maps[0].Version && m.Digest() == maps[0].Digest()
		invariant.Check(same, invariant.SingleMap, "group %s step %d: rank 0 uses version %d, rank %d version %d",
			group, step, maps[0].Version, i, m.Version)
	}
}

func (g *Group) runStep(m *expertmap.Map) Step {
	g.popularity.advance(g.steps)
	out := Step{Ran: true, Version: m.Version}
	for i, r := range g.ranks {
		g.speed[i] = r.speed / math.Exp(g.settings.Noise*g.rng.NormFloat64())
		if len(r.loading) > 0 {
			out.Loading++
			g.speed[i] /= 1 + g.settings.TransferSlowdown
		}
	}
	out.StepTiming = expertmap.PredictStepTiming(m, g.popularity.load, g.speed)
	g.clock += out.Step
	g.steps++
	return out
}

// updateCounters adds a step to the counters of the ranks. The copies of an expert share its load equally.
func (g *Group) updateCounters(maps []*expertmap.Map, out Step) {
	copies := make([]int, g.settings.Shape.Experts)
	for l := range g.settings.Shape.Layers {
		clear(copies)
		for i, m := range maps {
			for _, e := range m.Slots(l, i) {
				if e != expertmap.EmptySlot {
					copies[e]++
				}
			}
		}
		load := g.popularity.load.Layer(l)
		for i, r := range g.ranks {
			r.countTokens(maps[i], l, load, copies)
		}
	}
	for i, r := range g.ranks {
		r.steps++
		r.seconds += out.Rank[i]
	}
}

// Run runs steps in real time until the context ends. One second of virtual time takes factor seconds.
func (g *Group) Run(ctx context.Context, factor float64) {
	for ctx.Err() == nil {
		before := g.Seconds()
		g.Step()
		wait := time.Duration((g.Seconds() - before) * factor * float64(time.Second))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}
