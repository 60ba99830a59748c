package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/memnet"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/standin/kvserver"
)

// failureDomains is the number of failure domains at the target size.
const failureDomains = 7

// Timing of a measurement.
const (
	// waitBound bounds each wait until all processes have a revision.
	waitBound      = 2 * time.Minute
	settleTime     = 15 * time.Second
	idleTime       = 15 * time.Second
	changeInterval = 2 * time.Second
	outageTime     = 45 * time.Second
	// scanInterval is the time between two checks of the processes' revisions.
	scanInterval = time.Millisecond
)

// fleet is a set of processes in this program. They are connected by loopback if it is set, and otherwise by net.
type fleet struct {
	server   *kvserver.Server
	net      *memnet.Network
	loopback *loopback
	peers    []feed.Peer
	nodes    []*feed.Node
	store    *store.Store
	state    *cluster.State
	// attempts counts the calls of the processes to the service, including refused ones.
	attempts atomic.Int64
}

func newFleet(n int, useLoopback bool) *fleet {
	f := &fleet{server: kvserver.New(), net: memnet.New(), state: cluster.Empty()}
	f.store = store.New(kvserver.NewLocalStore(f.server))
	for i := range n {
		name := fmt.Sprintf("process-%04d", i)
		f.peers = append(f.peers, feed.Peer{Name: name, Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains)})
	}
	if useLoopback {
		f.connectLoopback()
		return f
	}
	for _, p := range f.peers {
		f.net.Serve(p.Address, f.newNode(p, f.net.Client(p.Address)).Handler())
	}
	return f
}

func (f *fleet) newNode(p feed.Peer, c *http.Client) *feed.Node {
	local := kvserver.NewLocalStore(f.server)
	local.Outcome = func(string, string) kvserver.CallOutcome {
		f.attempts.Add(1)
		return kvserver.Normal
	}
	n := feed.NewNode(feed.Options{
		Self: p, Peers: func() []feed.Peer { return f.peers }, Store: store.New(local), Client: c,
	})
	f.nodes = append(f.nodes, n)
	return n
}

// connectLoopback serves each process on a TCP port of this machine.
func (f *fleet) connectLoopback() {
	f.loopback = newLoopback()
	listeners := make([]net.Listener, len(f.peers))
	for i := range f.peers {
		l, err := f.loopback.listen()
		if err != nil {
			panic(err) // The command cannot run without ports.
		}
		listeners[i], f.peers[i].Address = l, l.Addr().String()
	}
	for i, p := range f.peers {
		f.loopback.serve(listeners[i], f.newNode(p, f.loopback.client(p.Address)).Handler())
	}
}

// commit commits one change of about 500 bytes, the average size at the target size.
func (f *fleet) commit() {
	c := &operatorv1.Change{
		OperationId: fmt.Sprintf("4f1f0000-0000-4000-8000-%012d", f.state.Revision), Author: "operator",
		TimeUnixMs: 1_800_000_000_000, Comment: "measurement",
	}
	for i := range 4 {
		c.Upserts = append(c.Upserts, &operatorv1.Object{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
			Name: fmt.Sprintf("customer-%d", i), Weight: int32(f.state.Revision%1000) + 1, RequestsPerSecond: 30,
			Keys: []*operatorv1.Key{{Id: "k", Sha256: fmt.Sprintf("%016x%048x", i, 1)}},
		}}})
	}
	next, err := f.store.Commit(context.Background(), f.state, c)
	if err != nil {
		panic(err) // The simulated service has no faults here.
	}
	f.state = next
}

// waitAll waits until the latest revision is active in every process. It returns how long that took, or 0 if it exceeds
// the bound.
func (f *fleet) waitAll(bound time.Duration) time.Duration {
	start := time.Now()
	pending := slices.Clone(f.nodes)
	for time.Since(start) < bound {
		pending = slices.DeleteFunc(pending, func(n *feed.Node) bool {
			s := n.State()
			return s != nil && s.Revision >= f.state.Revision
		})
		if len(pending) == 0 {
			return time.Since(start)
		}
		time.Sleep(scanInterval)
	}
	return 0
}

// calls returns the number of calls that the service has handled.
func calls(c kvserver.Counts) int64 { return c.Reads + c.Writes + c.Watches }

// sent returns the number of bytes that each process has sent, in the order of f.peers.
func (f *fleet) sent() []int64 {
	out := make([]int64, len(f.peers))
	for i, p := range f.peers {
		if f.loopback != nil {
			out[i] = f.loopback.sent[p.Address].Load()
		} else {
			out[i] = f.net.BytesSent(p.Address)
		}
	}
	return out
}

// rates returns the mean and the highest rate of bytes sent between two readings, in B/s.
func rates(before, after []int64, d time.Duration) (mean, highest float64) {
	for i := range after {
		r := float64(after[i]-before[i]) / d.Seconds()
		mean += r / float64(len(after))
		highest = max(highest, r)
	}
	return mean, highest
}

// cpuTime returns the CPU time that this program has used on all cores, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sample holds the readings at the start or end of a phase.
type sample struct {
	at time.Time
	// calls counts the calls that the service has handled, including those of the commits.
	calls int64
	// attempts counts the calls to the service, including refused ones, but not those of the commits.
	attempts int64
	sent     []int64
	cpu      time.Duration
}

func (f *fleet) sample() sample {
	return sample{at: time.Now(), calls: calls(f.server.Counts()), attempts: f.attempts.Load(), sent: f.sent(), cpu: cpuTime()}
}

// measureFleet runs a fleet of n processes, commits the given number of changes, and returns the table row.
func measureFleet(n, changes int, useLoopback bool) string {
	f := newFleet(n, useLoopback)
	f.commit()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, node := range f.nodes {
		wg.Go(func() { _ = node.Run(ctx) })
	}
	startDuration := f.waitAll(waitBound)
	time.Sleep(settleTime)

	idleStart := f.sample()
	time.Sleep(idleTime)
	idleEnd := f.sample()
	var durations []time.Duration
	for range changes {
		f.commit()
		durations = append(durations, f.waitAll(waitBound))
		time.Sleep(changeInterval)
	}
	busyEnd := f.sample()
	watching := f.server.Counts().Watching
	outage := f.measureOutage()
	cancel()
	wg.Wait()
	if f.loopback != nil {
		f.loopback.close()
	}
	return row(n, startDuration, watching, changes, durations, idleStart, idleEnd, busyEnd) + outage
}

// measureOutage takes the service down and returns the table cells for the outage and for a change committed right
// after it.
func (f *fleet) measureOutage() string {
	f.server.SetFaults(kvserver.Faults{Down: true})
	time.Sleep(outageTime)
	before := f.sample()
	time.Sleep(outageTime)
	after := f.sample()
	d := after.at.Sub(before.at)
	mean, highest := rates(before.sent, after.sent, d)
	f.server.SetFaults(kvserver.Faults{})
	restored := f.sample()
	f.commit()
	recoveryTime := f.waitAll(waitBound)
	time.Sleep(max(0, time.Second-time.Since(restored.at)))
	return fmt.Sprintf(" %.1f | %.0f | %.0f | %.2f | %d | %.1f |", float64(after.attempts-before.attempts)/d.Seconds(),
		mean, highest, (after.cpu-before.cpu).Seconds()/d.Seconds(), f.sample().attempts-restored.attempts,
		recoveryTime.Seconds())
}

// row returns the table cells for the idle phase and the phase with changes, which starts at idleEnd.
func row(
	n int, startDuration time.Duration, watching int64, changes int, durations []time.Duration,
	idleStart, idleEnd, busyEnd sample,
) string {
	idle, busy := idleEnd.at.Sub(idleStart.at), busyEnd.at.Sub(idleEnd.at)
	idleCalls := float64(idleEnd.calls-idleStart.calls) / idle.Seconds()
	callsPerChange := (float64(busyEnd.calls-idleEnd.calls) - idleCalls*busy.Seconds()) / float64(changes)
	idleMean, idleMax := rates(idleStart.sent, idleEnd.sent, idle)
	busyMean, busyMax := rates(idleEnd.sent, busyEnd.sent, busy)
	slices.Sort(durations)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("| %d | %.1f | %.1f | %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f |",
		n, startDuration.Seconds(), idleCalls, watching, callsPerChange, idleMean, idleMax, busyMean, busyMax,
		ms(durations[len(durations)/2]), ms(durations[len(durations)-1]),
		(idleEnd.cpu-idleStart.cpu).Seconds()/idle.Seconds(), (busyEnd.cpu-idleEnd.cpu).Seconds()/busy.Seconds())
}
