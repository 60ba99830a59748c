package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
)

// fakeGroup is an in-memory group that behaves like the platform's ranks: a rank switches at an armed pass and has at
// most one prepared version and one hold. Orders may get no response. Such an order is executed immediately or late or,
// if its rank is down, never.
type fakeGroup struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ranks []*fakeRank
	pass  int64
	epoch int64
	// lostFraction is the fraction of orders that get no response and are executed 2 to 12 s late. noResponseFraction
	// is the fraction that are executed immediately but get no response.
	lostFraction, noResponseFraction float64
	// idle is set while the group has no requests, so that no pass begins.
	idle bool
	// down holds the ranks that do not respond.
	down map[int]bool
	// mixedMaps is set when a pass begins with two versions.
	mixedMaps bool
	// heldPasses counts the pass intervals in which no pass began because of a hold.
	heldPasses int
	switches   int
	orders     []Order
	// lagging holds the ranks that report their state of lagPasses ago, as they do while their agent is down.
	lagging map[int]bool
	// pastStates are the states of the ranks in the last lagPasses pass intervals, oldest first.
	pastStates [][]State
	// prepareTime is the time that a rank takes to prepare a map.
	prepareTime time.Duration
}

type fakeRank struct {
	version, highestVersion int64
	prepared                int64
	preparedAt              time.Time
	experts, nextExperts    [][][]uint16
	armed                   *Armed
	held                    *int64
	fence                   int64
	counts                  Counts
}

func newFakeGroup(n int, experts [][][]uint16, seed uint64) *fakeGroup {
	g := &fakeGroup{
		rng: rand.New(rand.NewPCG(seed, 77)), pass: 10, epoch: 1, down: map[int]bool{}, prepareTime: 300 * time.Millisecond,
	}
	for range n {
		g.ranks = append(g.ranks, &fakeRank{experts: experts})
	}
	return g
}

// runPasses begins passes until the context ends.
func (g *fakeGroup) runPasses(ctx context.Context) {
	const passTime = 60 * time.Millisecond
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(passTime):
			g.beginPass()
			g.recordStates()
		}
	}
}

// withFakeGroup runs a test with a group in a synctest bubble. The test has to start the group's passes. All goroutines
// that it starts must end with the context.
func withFakeGroup(t *testing.T, test func(ctx context.Context, t *testing.T, g *fakeGroup, initialExperts [][][]uint16)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		initialExperts := expertLists(roundRobinMap(t))
		test(ctx, t, newFakeGroup(smallShape.Ranks, initialExperts, 1), initialExperts)
		stop()
		synctest.Wait()
	})
}

// lagPasses is the number of passes by which lagging ranks are late.
const lagPasses = 4

func (g *fakeGroup) recordStates() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := make([]State, len(g.ranks))
	for i := range now {
		now[i] = g.state(i)
	}
	g.pastStates = append(g.pastStates, now)
	g.pastStates = g.pastStates[max(len(g.pastStates)-lagPasses, 0):]
}

func (g *fakeGroup) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	if g.idle {
		return
	}
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			g.heldPasses++
			return
		}
	}
	g.pass = next
	before := g.ranks[0].version
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Pass <= next {
			r.version, r.experts = r.armed.Version, r.nextExperts
			r.armed, r.prepared = nil, 0
		}
	}
	for _, r := range g.ranks {
		g.mixedMaps = g.mixedMaps || r.version != g.ranks[0].version || !slices.EqualFunc(r.experts, g.ranks[0].experts, equalLayers)
	}
	if g.ranks[0].version != before {
		g.switches++
	}
}

// equalLayers reports whether two maps have the same content in one layer.
func equalLayers(a, b [][]uint16) bool { return slices.EqualFunc(a, b, slices.Equal[[]uint16]) }

// reform forms the group again in a new epoch, as after the failure of a rank.
func (g *fakeGroup) reform(experts [][][]uint16) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = &fakeRank{experts: experts, fence: g.ranks[i].fence}
	}
}

func (g *fakeGroup) rank(i int) Rank { return &fakeRankClient{g: g, i: i} }

func (g *fakeGroup) allRanks() []Rank {
	out := make([]Rank, len(g.ranks))
	for i := range out {
		out[i] = g.rank(i)
	}
	return out
}

// fakeRankClient is the client of one rank of a fakeGroup.
type fakeRankClient struct {
	g *fakeGroup
	i int
}

func (c *fakeRankClient) State(ctx context.Context, opts StateOptions) (State, error) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if ctx.Err() != nil || c.g.down[c.i] {
		return State{}, merry.Wrap(&NoResponseError{})
	}
	r := c.g.ranks[c.i]
	s := c.g.state(c.i)
	if c.g.lagging[c.i] && len(c.g.pastStates) > 0 {
		s = c.g.pastStates[0][c.i]
		s.Lagging = true
	}
	if opts.Counts {
		s.Counts = slices.Clone(r.counts)
	}
	if opts.Experts {
		for _, layer := range r.experts {
			s.Experts = append(s.Experts, layer[c.i])
		}
	}
	return s, nil
}

// state returns the state of a rank. The caller must hold the lock.
func (g *fakeGroup) state(i int) State {
	r := g.ranks[i]
	s := State{
		Group: "g", Epoch: g.epoch, Rank: i, Size: len(g.ranks), Serving: true, Pass: g.pass, Version: r.version, Pace: 1,
	}
	if r.prepared != 0 && !time.Now().Before(r.preparedAt) {
		s.Prepared = r.prepared
	}
	if r.armed != nil {
		armed := *r.armed
		s.Armed = &armed
	}
	if r.held != nil {
		held := *r.held
		s.Held = &held
	}
	return s
}

func (c *fakeRankClient) Order(ctx context.Context, o Order) error {
	c.g.mu.Lock()
	c.g.orders = append(c.g.orders, o)
	random, delay := c.g.rng.Float64(), time.Duration(2000+c.g.rng.IntN(10000))*time.Millisecond
	down := c.g.down[c.i]
	c.g.mu.Unlock()
	switch {
	case down:
	case random < c.g.lostFraction:
		time.AfterFunc(delay, func() { _ = c.g.apply(c.i, o) })
	case random < c.g.lostFraction+c.g.noResponseFraction:
		_ = c.g.apply(c.i, o)
	default:
		return c.g.apply(c.i, o)
	}
	<-ctx.Done()
	return merry.Wrap(&NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
}

func (g *fakeGroup) apply(i int, o Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	refuse := func(fenced bool, detail string) error {
		return merry.Wrap(&RefusedError{Operation: o.Operation, Fenced: fenced, Detail: detail})
	}
	if o.Fence < r.fence {
		return refuse(true, "fence")
	}
	if o.Epoch != g.epoch {
		return refuse(false, "epoch")
	}
	switch o.Operation {
	case Prepare:
		if r.armed != nil || o.Version <= r.highestVersion {
			return refuse(false, "armed, or not a higher version")
		}
		r.highestVersion, r.prepared, r.nextExperts = o.Version, o.Version, o.Experts
		r.preparedAt = time.Now().Add(g.prepareTime)
	case Arm:
		if r.prepared != o.Version || time.Now().Before(r.preparedAt) || o.Pass <= g.pass {
			return refuse(false, "not prepared, or the pass has begun")
		}
		r.armed = &Armed{Version: o.Version, Pass: o.Pass}
	case Disarm:
		if r.version == o.Version {
			return refuse(false, "in use")
		}
		if r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
	case Hold:
		if o.Pass <= g.pass || (r.held != nil && *r.held != o.Pass) {
			return refuse(false, "the pass has begun, or another is held")
		}
		pass := o.Pass
		r.held = &pass
	case Release:
		if r.held != nil && *r.held == o.Pass {
			r.held = nil
		}
	}
	r.fence = o.Fence
	return nil
}

// heldNow reports whether the next pass is held.
func (g *fakeGroup) heldNow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.held != nil && *r.held == g.pass+1 {
			return true
		}
	}
	return false
}

func (g *fakeGroup) withLock(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn()
}

// groupStatus is a snapshot of a fakeGroup.
type groupStatus struct {
	pass                 int64
	mixedMaps            bool
	switches, heldPasses int
	versions             []int64
}

func (g *fakeGroup) status() groupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := groupStatus{pass: g.pass, mixedMaps: g.mixedMaps, switches: g.switches, heldPasses: g.heldPasses}
	for _, r := range g.ranks {
		out.versions = append(out.versions, r.version)
	}
	return out
}
