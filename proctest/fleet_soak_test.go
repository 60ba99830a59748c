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

// fault is the time of one failure and what it struck: "store", a gateway, a replica, or a process beside one.
type fault struct {
	kind     string
	target   string
	from, to time.Time
}

// fleetSoak is a run on the stand-in of the users' platform with traffic and failures at random. The schedule follows from
// the seed; what the processes make of it does not.
type fleetSoak struct {
	fleetClient
	findings

	t        *testing.T
	injected []*fault
	// gracefulStops are the gateways' SIGTERMs.
	gracefulStops []fault
	// activeTargets keeps two failures from striking one process at a time.
	activeTargets map[string]bool
}

// Bounds of the promises, from the users' pages, with the time that a request may be on its way added.
const (
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// recoveryGrace is the time after a failure from which the bounds hold again.
	recoveryGrace = 3 * time.Second
	transitTime   = 300 * time.Millisecond
)

// Guards against any violation of the promises to callers and to the operator under mixed traffic, while processes are killed,
// paused, stopped and restarted, links are cut, delayed or silent, the store fails or forgets its history, replicas crash,
// drain, turn slow, lose answers and orders, and the configuration changes.
func TestFleetSoak(t *testing.T) {
	seed := uint64(envFloat("LAVENDERMOOR_SEED", soakSeed))
	length := time.Duration(envFloat("LAVENDERMOOR_MINUTES", soakSeconds/60.0) * float64(time.Minute))
	t.Logf("seed %d, length %v", seed, length)
	runFleetSoak(t, seed, length)
}

func runFleetSoak(t *testing.T, seed uint64, length time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Three of five gateways are in one failure domain, where one reads the store for the others.
	f := DeployFleet(t, FleetSize{Gateways: 5, ModelReplicas: 4, PlainReplicas: 3})
	s := &fleetSoak{
		fleetClient: fleetClient{fleet: f, ctx: ctx}, findings: findings{counts: map[string]int{}}, t: t, activeTargets: map[string]bool{},
	}
	var wg sync.WaitGroup
	for i, path := range []string{"/stream/x", "/stream/x", "/stream/x", "/stream/x", "/once/x", "/once/x", "/once/x", "/read/x"} {
		wg.Go(func() { s.sendLoop(rand.New(rand.NewPCG(seed, uint64(i))), path, path == "/stream/x") })
	}
	wg.Go(func() { s.changeConfigurations(rand.New(rand.NewPCG(seed, 900))) })
	s.injectFaults(rand.New(rand.NewPCG(seed, 1000)), time.Now().Add(length))
	stop()
	wg.Wait()
	s.checkRecovery()
	s.check()
}

// beginFault notes the begin of a failure of something, and returns its end; false when it is struck already.
func (s *fleetSoak) beginFault(kind, target string) (endFault func(), ok bool) {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	if s.activeTargets[target] {
		return nil, false
	}
	s.activeTargets[target] = true
	s.counts[kind]++
	f := &fault{kind: kind, target: target, from: time.Now()}
	s.injected = append(s.injected, f)
	return func() {
		s.findings.mu.Lock()
		defer s.findings.mu.Unlock()
		s.activeTargets[target] = false
		f.to = time.Now()
	}, true
}

// faultFree says whether nothing struck any of these from a time to another.
func (s *fleetSoak) faultFree(from, to time.Time, targets ...string) bool {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	for _, f := range s.injected {
		for _, w := range targets {
			if f.target == w && f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// faultsDuring lists what was struck at some time between two.
func (s *fleetSoak) faultsDuring(from, to time.Time) []string {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	var out []string
	for _, f := range s.injected {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			out = append(out, f.kind+" "+f.target)
		}
	}
	return out
}

// injectFaults brings about one failure after another, some of them at once, until the end, and waits for their ends.
func (s *fleetSoak) injectFaults(rng *rand.Rand, end time.Time) {
	kinds := []func(*rand.Rand){
		s.storeFails, s.storeCompacts, s.linkFails, s.linkFails, s.gatewayFails, s.gatewayStops, s.gatewayStops, s.rankSidecarFails,
		s.rankSidecarFails, s.replicaFails, s.replicaFails, s.replicaDrains, s.replicaCrashes, s.ordersAreDelayed, s.ordersAreDelayed,
		s.storeIsRestored, s.replicaLeaves, s.replicaRefuses,
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
	heal, ok := s.beginFault("store fails", "store")
	if !ok {
		return
	}
	defer heal()
	f := []kvserver.Faults{{Down: true}, {DelayMs: 150}, {LoseResponses: 3}}[rng.IntN(3)]
	putJSON(s.t, s.fleet.StoreURL+"/standin/faults", f)
	sleepUpTo(rng, 2500*time.Millisecond)
	putJSON(s.t, s.fleet.StoreURL+"/standin/faults", kvserver.Faults{})
}

func (s *fleetSoak) storeCompacts(*rand.Rand) {
	heal, ok := s.beginFault("store forgets", "store")
	if !ok {
		return
	}
	defer heal()
	status, _, body := Do(s.t, http.MethodPost, s.fleet.StoreURL+"/standin/forget", nil, nil)
	require.Equal(s.t, http.StatusOK, status, "%s", body)
}

// storeIsRestored has the store come back from a copy that is some seconds old.
func (s *fleetSoak) storeIsRestored(rng *rand.Rand) {
	heal, ok := s.beginFault("store is restored", "store")
	if !ok {
		return
	}
	defer heal()
	s.fleet.postStore("backup")
	sleepUpTo(rng, 5*time.Second)
	s.fleet.postStore("restore")
}

// linkFails strikes the link of one process to the store, or that to one replica.
func (s *fleetSoak) linkFails(rng *rand.Rand) {
	var target string
	var link *Proxy
	switch n := rng.IntN(3); n {
	case 0:
		i := rng.IntN(len(s.fleet.Gateways))
		target, link = s.fleet.Gateways[i].Name, s.fleet.Gateways[i].StoreLink
	case 1:
		i := rng.IntN(len(s.fleet.RankSidecars))
		target, link = s.fleet.RankSidecars[i].Name, s.fleet.RankSidecars[i].StoreLink
	default:
		i := rng.IntN(len(s.fleet.ReplicaLinks))
		target, link = replicaName(i), s.fleet.ReplicaLinks[i]
	}
	heal, ok := s.beginFault("link fails", target)
	if !ok {
		return
	}
	defer heal()
	link.SetFaults([]LinkFaults{{Reset: true}, {BlockToServer: true, BlockToClient: true}, {BlockToServer: true}, {BlockToClient: true}, {Delay: 60 * time.Millisecond}}[rng.IntN(5)])
	sleepUpTo(rng, 2500*time.Millisecond)
	link.SetFaults(LinkFaults{})
}

func replicaName(i int) string { return fmt.Sprint("i-", i) }

// gatewayFails kills, pauses or resumes a gateway.
func (s *fleetSoak) gatewayFails(rng *rand.Rand) {
	g := s.fleet.Gateways[rng.IntN(len(s.fleet.Gateways))]
	heal, ok := s.beginFault("gateway fails", g.Name)
	if !ok {
		return
	}
	defer heal()
	if rng.IntN(2) == 0 {
		g.Pause()
		sleepUpTo(rng, 2*time.Second)
		g.Resume()
		return
	}
	g.Kill()
	sleepUpTo(rng, 500*time.Millisecond)
	s.fleet.RestartGateway(g)
	s.waitResponding(g)
}

func (s *fleetSoak) waitResponding(g *Gateway) {
	Eventually(s.t, g.Name+" answers", func() bool { return statusCode(g.readyURL+"/readyz") != 0 })
}

// gatewayStops stops a gateway as planned work does, and starts it again.
func (s *fleetSoak) gatewayStops(rng *rand.Rand) {
	g := s.fleet.Gateways[rng.IntN(len(s.fleet.Gateways))]
	heal, ok := s.beginFault("gateway stops", g.Name)
	if !ok {
		return
	}
	defer heal()
	from := time.Now()
	g.Terminate()
	_ = g.WaitExit(waitTimeout) // What it did shows in the answers.
	s.findings.mu.Lock()
	s.gracefulStops = append(s.gracefulStops, fault{target: g.Name, from: from, to: time.Now()})
	s.findings.mu.Unlock()
	s.fleet.RestartGateway(g)
	s.waitResponding(g)
}

// rankSidecarFails kills, stops or pauses a process beside a replica.
func (s *fleetSoak) rankSidecarFails(rng *rand.Rand) {
	r := s.fleet.RankSidecars[rng.IntN(len(s.fleet.RankSidecars))]
	heal, ok := s.beginFault("rank process fails", r.Name)
	if !ok {
		return
	}
	defer heal()
	switch rng.IntN(3) {
	case 0:
		r.Pause()
		sleepUpTo(rng, 3*time.Second)
		r.Resume()
		return
	case 1:
		r.Terminate()
		_ = r.WaitExit(waitTimeout)
	default:
		r.Kill()
	}
	sleepUpTo(rng, 300*time.Millisecond)
	s.fleet.RestartRankSidecar(r)
}

// replicaFails has a replica lose answers, break streams off, or turn slow.
func (s *fleetSoak) replicaFails(rng *rand.Rand) {
	s.failReplica(rng, "replica fails", len(s.fleet.ReplicaLinks), []replicaserver.Faults{
		{BreakAfter: 1 + rng.IntN(20)}, {LoseResponses: 1 + rng.IntN(3)}, {Pace: 8},
	}[rng.IntN(3)], 4*time.Second)
}

// ordersAreDelayed has a model replica leave orders unanswered and carry them out late.
func (s *fleetSoak) ordersAreDelayed(rng *rand.Rand) {
	s.failReplica(rng, "orders late", len(s.fleet.RankSidecars), replicaserver.Faults{DelayOrders: 1 + rng.IntN(30)}, 4*time.Second)
}

// replicaDrains has a replica say that it drains, for longer than the gateways may take to notice.
func (s *fleetSoak) replicaDrains(rng *rand.Rand) {
	s.failReplica(rng, "replica drains", len(s.fleet.ReplicaLinks), replicaserver.Faults{Draining: true}, 8*time.Second)
}

// kindReplicaLeaves is the kind of failure in which a replica says in its answers that it leaves.
const kindReplicaLeaves = "replica leaves"

func (s *fleetSoak) replicaLeaves(rng *rand.Rand) {
	s.failReplica(rng, kindReplicaLeaves, len(s.fleet.ReplicaLinks), replicaserver.Faults{Leaving: true}, 8*time.Second)
}

// replicaRefuses has a replica refuse requests and want none for some seconds.
func (s *fleetSoak) replicaRefuses(rng *rand.Rand) {
	wait := 500 + rng.Int64N(3000)
	s.failReplica(rng, "replica refuses", len(s.fleet.ReplicaLinks), replicaserver.Faults{RetryAfterMs: wait}, 4*time.Second)
}

// kindReplicaCrashes is the kind of failure that breaks the group of a model replica.
const kindReplicaCrashes = "replica crashes"

func (s *fleetSoak) replicaCrashes(rng *rand.Rand) {
	s.failReplica(rng, kindReplicaCrashes, len(s.fleet.ReplicaLinks), replicaserver.Faults{Down: true}, 4*time.Second)
}

// failReplica has one of the first replicas fail for at most a time.
func (s *fleetSoak) failReplica(rng *rand.Rand, kind string, candidates int, faults replicaserver.Faults, maxDuration time.Duration) {
	i := rng.IntN(candidates)
	heal, ok := s.beginFault(kind, replicaName(i))
	if !ok {
		return
	}
	defer heal()
	s.fleet.SetReplicaFaults(i, faults)
	sleepUpTo(rng, maxDuration)
	s.fleet.SetReplicaFaults(i, replicaserver.Faults{})
}

// changeConfigurations changes the configuration again and again: each version has another key, and another route. Gateways that were in
// touch follow within the bound.
func (s *fleetSoak) changeConfigurations(rng *rand.Rand) {
	h := newCallerHTTPClient()
	lastKey := "key-0"
	for n := 1; s.ctx.Err() == nil; n++ {
		key, path := fmt.Sprint("key-", n), fmt.Sprintf("/more-%d/", n)
		s.fleet.Configure(key, path)
		from := time.Now()
		time.Sleep(configBound + transitTime)
		for _, g := range s.fleet.Gateways {
			added := s.send(h, g, path, key, 0).status
			removed := s.send(h, g, "/read/x", lastKey, 0).status
			if !s.faultFree(from.Add(-recoveryGrace), time.Now(), "store", g.Name) {
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
		sleepUpTo(rng, time.Second)
	}
}
