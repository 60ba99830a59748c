package proctest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/replicaserver"
)

// span is the time of one failure and what it struck: "store", a gateway, a replica, or a process beside one.
type span struct {
	kind     string
	what     string
	from, to time.Time
}

// fleetSoak is a run on the stand-in of the users' platform with traffic and failures at random. The schedule follows from
// the seed; what the processes make of it does not.
type fleetSoak struct {
	callers
	findings

	t     *testing.T
	spans []*span
	// stopped are the gateways' SIGTERMs.
	stopped []span
	// struck keeps two failures from striking one process at a time.
	struck map[string]bool
}

// Bounds of the promises, from the users' pages, with the time that a request may be on its way added.
const (
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// contact is the time after a failure from which the bounds hold again.
	contact = 3 * time.Second
	wayTime = 300 * time.Millisecond
)

// Guards against any violation of the promises to callers and to the operator under mixed traffic, while processes are killed,
// paused, stopped and restarted, links are cut, delayed or silent, the store fails or forgets its history, replicas crash,
// drain, turn slow, lose answers and orders, and the configuration changes.
func TestFleetSoak(t *testing.T) {
	seed := uint64(fromEnv("LAVENDERMOOR_SEED", soakSeed))
	length := time.Duration(fromEnv("LAVENDERMOOR_MINUTES", soakSeconds/60.0) * float64(time.Minute))
	t.Logf("seed %d, length %v", seed, length)
	playFleet(t, seed, length)
}

func playFleet(t *testing.T, seed uint64, length time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Three of five gateways are in one failure domain, where one reads the store for the others.
	f := DeployFleet(t, FleetPlan{Gateways: 5, Models: 4, Plain: 3})
	s := &fleetSoak{
		callers: callers{f: f, ctx: ctx}, findings: findings{counts: map[string]int{}}, t: t, struck: map[string]bool{},
	}
	var wg sync.WaitGroup
	for i, path := range []string{"/stream/x", "/stream/x", "/stream/x", "/stream/x", "/once/x", "/once/x", "/once/x", "/read/x"} {
		wg.Go(func() { s.loop(rand.New(rand.NewPCG(seed, uint64(i))), path, path == "/stream/x") })
	}
	wg.Go(func() { s.operate(rand.New(rand.NewPCG(seed, 900))) })
	s.faults(rand.New(rand.NewPCG(seed, 1000)), time.Now().Add(length))
	stop()
	wg.Wait()
	s.recovers()
	s.check()
}

// strike notes the begin of a failure of something, and returns its end; false when it is struck already.
func (s *fleetSoak) strike(kind, what string) (heal func(), ok bool) {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	if s.struck[what] {
		return nil, false
	}
	s.struck[what] = true
	s.counts[kind]++
	now := &span{kind: kind, what: what, from: time.Now()}
	s.spans = append(s.spans, now)
	return func() {
		s.findings.mu.Lock()
		defer s.findings.mu.Unlock()
		s.struck[what] = false
		now.to = time.Now()
	}, true
}

// calm says whether nothing struck any of these from a time to another.
func (s *fleetSoak) calm(from, to time.Time, what ...string) bool {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	for _, f := range s.spans {
		for _, w := range what {
			if f.what == w && f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// during lists what was struck at some time between two.
func (s *fleetSoak) during(from, to time.Time) []string {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	var out []string
	for _, f := range s.spans {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			out = append(out, f.kind+" "+f.what)
		}
	}
	return out
}

// faults brings about one failure after another, some of them at once, until the end, and waits for their ends.
func (s *fleetSoak) faults(rng *rand.Rand, end time.Time) {
	kinds := []func(*rand.Rand){
		s.storeFails, s.storeForgets, s.linkFails, s.linkFails, s.gatewayFails, s.gatewayStops, s.gatewayStops, s.rankFails,
		s.rankFails, s.replicaFails, s.replicaFails, s.replicaDrains, s.replicaCrashes, s.ordersLate, s.ordersLate,
		s.storeRestores, s.replicaLeaves, s.replicaRefuses,
	}
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		kind, seed := kinds[rng.IntN(len(kinds))], rng.Uint64()
		run := func() { kind(rand.New(rand.NewPCG(seed, 0))) }
		if rng.IntN(3) == 0 {
			wg.Go(run)
		} else {
			run()
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
}

func (s *fleetSoak) storeFails(rng *rand.Rand) {
	heal, ok := s.strike("store fails", "store")
	if !ok {
		return
	}
	defer heal()
	f := []kvserver.Faults{{Down: true}, {DelayMs: 150}, {LoseResponses: 3}}[rng.IntN(3)]
	put(s.t, s.f.StoreURL+"/standin/faults", f)
	hold(rng, 2500*time.Millisecond)
	put(s.t, s.f.StoreURL+"/standin/faults", kvserver.Faults{})
}

func (s *fleetSoak) storeForgets(*rand.Rand) {
	heal, ok := s.strike("store forgets", "store")
	if !ok {
		return
	}
	defer heal()
	status, _, body := Do(s.t, http.MethodPost, s.f.StoreURL+"/standin/forget", nil, nil)
	require.Equal(s.t, http.StatusOK, status, "%s", body)
}

// storeRestores has the store come back from a copy that is some seconds old.
func (s *fleetSoak) storeRestores(rng *rand.Rand) {
	heal, ok := s.strike("store is restored", "store")
	if !ok {
		return
	}
	defer heal()
	s.f.store("backup")
	hold(rng, 5*time.Second)
	s.f.store("restore")
}

// linkFails strikes the link of one process to the store, or that to one replica.
func (s *fleetSoak) linkFails(rng *rand.Rand) {
	var what string
	var link *Proxy
	switch n := rng.IntN(3); n {
	case 0:
		i := rng.IntN(len(s.f.Gateways))
		what, link = s.f.Gateways[i].Name, s.f.Gateways[i].Store
	case 1:
		i := rng.IntN(len(s.f.Ranks))
		what, link = s.f.Ranks[i].Name, s.f.Ranks[i].Store
	default:
		i := rng.IntN(len(s.f.Replicas))
		what, link = replicaName(i), s.f.Replicas[i]
	}
	heal, ok := s.strike("link fails", what)
	if !ok {
		return
	}
	defer heal()
	link.Set([]Link{{Refuse: true}, {ToServer: true, ToClient: true}, {ToServer: true}, {ToClient: true}, {Delay: 60 * time.Millisecond}}[rng.IntN(5)])
	hold(rng, 2500*time.Millisecond)
	link.Set(Link{})
}

func replicaName(i int) string { return fmt.Sprint("i-", i) }

// gatewayFails kills, pauses or resumes a gateway.
func (s *fleetSoak) gatewayFails(rng *rand.Rand) {
	g := s.f.Gateways[rng.IntN(len(s.f.Gateways))]
	heal, ok := s.strike("gateway fails", g.Name)
	if !ok {
		return
	}
	defer heal()
	if rng.IntN(2) == 0 {
		g.Pause()
		hold(rng, 2*time.Second)
		g.Resume()
		return
	}
	g.Kill()
	hold(rng, 500*time.Millisecond)
	s.f.RestartGateway(g)
	s.readyAgain(g)
}

func (s *fleetSoak) readyAgain(g *Gateway) {
	Eventually(s.t, g.Name+" answers", func() bool { return status(g.ready+"/readyz") != 0 })
}

// gatewayStops stops a gateway as planned work does, and starts it again.
func (s *fleetSoak) gatewayStops(rng *rand.Rand) {
	g := s.f.Gateways[rng.IntN(len(s.f.Gateways))]
	heal, ok := s.strike("gateway stops", g.Name)
	if !ok {
		return
	}
	defer heal()
	from := time.Now()
	g.Terminate()
	_ = g.Wait(patience) // What it did shows in the answers.
	s.findings.mu.Lock()
	s.stopped = append(s.stopped, span{what: g.Name, from: from, to: time.Now()})
	s.findings.mu.Unlock()
	s.f.RestartGateway(g)
	s.readyAgain(g)
}

// rankFails kills, stops or pauses a process beside a replica.
func (s *fleetSoak) rankFails(rng *rand.Rand) {
	r := s.f.Ranks[rng.IntN(len(s.f.Ranks))]
	heal, ok := s.strike("rank process fails", r.Name)
	if !ok {
		return
	}
	defer heal()
	switch rng.IntN(3) {
	case 0:
		r.Pause()
		hold(rng, 3*time.Second)
		r.Resume()
		return
	case 1:
		r.Terminate()
		_ = r.Wait(patience)
	default:
		r.Kill()
	}
	hold(rng, 300*time.Millisecond)
	s.f.RestartRank(r)
}

// replicaFails has a replica lose answers, break streams off, or turn slow.
func (s *fleetSoak) replicaFails(rng *rand.Rand) {
	s.replica(rng, "replica fails", len(s.f.Replicas), []replicaserver.Faults{
		{BreakAfter: 1 + rng.IntN(20)}, {LoseResponses: 1 + rng.IntN(3)}, {Pace: 8},
	}[rng.IntN(3)], 4*time.Second)
}

// ordersLate has a model replica leave orders unanswered and carry them out late.
func (s *fleetSoak) ordersLate(rng *rand.Rand) {
	s.replica(rng, "orders late", len(s.f.Ranks), replicaserver.Faults{DelayOrders: 1 + rng.IntN(30)}, 4*time.Second)
}

// replicaDrains has a replica say that it drains, for longer than the gateways may take to notice.
func (s *fleetSoak) replicaDrains(rng *rand.Rand) {
	s.replica(rng, "replica drains", len(s.f.Replicas), replicaserver.Faults{Draining: true}, 8*time.Second)
}

// leaving is the kind of failure in which a replica says in its answers that it leaves.
const leaving = "replica leaves"

func (s *fleetSoak) replicaLeaves(rng *rand.Rand) {
	s.replica(rng, leaving, len(s.f.Replicas), replicaserver.Faults{Leaving: true}, 8*time.Second)
}

// replicaRefuses has a replica refuse requests and want none for some seconds.
func (s *fleetSoak) replicaRefuses(rng *rand.Rand) {
	wait := 500 + rng.Int64N(3000)
	s.replica(rng, "replica refuses", len(s.f.Replicas), replicaserver.Faults{RetryAfterMs: wait}, 4*time.Second)
}

// crash is the kind of failure that breaks the group of a model replica.
const crash = "replica crashes"

func (s *fleetSoak) replicaCrashes(rng *rand.Rand) {
	s.replica(rng, crash, len(s.f.Replicas), replicaserver.Faults{Down: true}, 4*time.Second)
}

// replica has one of the first replicas fail for at most a time.
func (s *fleetSoak) replica(rng *rand.Rand, kind string, of int, faults replicaserver.Faults, most time.Duration) {
	i := rng.IntN(of)
	heal, ok := s.strike(kind, replicaName(i))
	if !ok {
		return
	}
	defer heal()
	s.f.SetFaults(i, faults)
	hold(rng, most)
	s.f.SetFaults(i, replicaserver.Faults{})
}

// operate changes the configuration again and again: each version has another key, and another route. Gateways that were in
// touch follow within the bound.
func (s *fleetSoak) operate(rng *rand.Rand) {
	h := client()
	lastKey := "key-0"
	for n := 1; s.ctx.Err() == nil; n++ {
		key, path := fmt.Sprint("key-", n), fmt.Sprintf("/more-%d/", n)
		s.f.Configure(key, path)
		from := time.Now()
		time.Sleep(configBound + wayTime)
		for _, g := range s.f.Gateways {
			added := s.send(h, g, path, key, 0).status
			removed := s.send(h, g, "/read/x", lastKey, 0).status
			if !s.calm(from.Add(-contact), time.Now(), "store", g.Name) {
				continue
			}
			s.count("checked configurations")
			if added == http.StatusNotFound || added == http.StatusUnauthorized {
				s.problem("%s answers %d to a route and key added %v ago", g.Name, added, time.Since(from))
			}
			if removed == http.StatusOK {
				s.problem("%s takes a key removed %v ago", g.Name, time.Since(from))
			}
		}
		lastKey = key
		hold(rng, time.Second)
	}
}
