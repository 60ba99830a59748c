package feed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/memnet"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/telemetry/invariant"
)

// fleet is a set of processes in one test, connected by an in-memory network.
type fleet struct {
	t      *testing.T
	server *kvserver.Server
	// locals, nodes and stop hold the connection to the service, the node and its cancel function by process name.
	locals map[string]*kvserver.LocalStore
	nodes  map[string]*Node
	peers  []Peer
	net    *memnet.Network
	stop   map[string]context.CancelFunc
	// mu guards peers while processes run.
	mu sync.Mutex
	// calls counts the calls of all processes to the service, including refused ones.
	calls atomic.Int64
	wg    sync.WaitGroup
}

// newFleet returns a fleet of processes in three failure domains; start starts them. A violated invariant fails the
// test.
func newFleet(t *testing.T, perDomain int) *fleet {
	t.Helper()
	restore := invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) })
	f := &fleet{
		t: t, server: kvserver.New(), net: memnet.New(),
		locals: map[string]*kvserver.LocalStore{}, nodes: map[string]*Node{}, stop: map[string]context.CancelFunc{},
	}
	for i := range 3 * perDomain {
		name := fmt.Sprintf("p%03d", i)
		f.peers = append(f.peers, Peer{Name: name, Address: name, FailureDomain: string(rune('a' + i%3))})
	}
	t.Cleanup(restore)
	return f
}

func (f *fleet) currentPeers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

// start starts or restarts a process.
func (f *fleet) start(p Peer) *Node {
	local := kvserver.NewLocalStore(f.server)
	local.Outcome = func(string, string) kvserver.CallOutcome {
		f.calls.Add(1)
		return kvserver.Normal
	}
	n := NewNode(Options{
		Self: p, Peers: f.currentPeers, Store: store.New(local), Client: f.net.Client(p.Address), Seed: 1,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.locals[p.Name], f.nodes[p.Name], f.stop[p.Name] = local, n, cancel
	f.net.Serve(p.Address, n.Handler())
	f.wg.Go(func() { _ = n.Run(ctx) })
	return n
}

func (f *fleet) startAll() {
	for _, p := range f.peers {
		f.start(p)
	}
}

func (f *fleet) stopAll() {
	for _, stop := range f.stop {
		stop()
	}
	f.wg.Wait()
}

// commit commits n changes.
func (f *fleet) commit(n int) int64 {
	f.t.Helper()
	s := store.New(kvserver.NewLocalStore(f.server))
	state, err := s.Load(f.t.Context())
	require.NoError(f.t, err)
	for range n {
		state, err = s.Commit(f.t.Context(), state, change(state.Revision+1))
		require.NoError(f.t, err)
	}
	return state.Revision
}

func change(revision int64) *operatorv1.Change {
	return &operatorv1.Change{
		Revision: revision, OperationId: fmt.Sprintf("op%d", revision),
		Upserts: []*operatorv1.Object{{Kind: &operatorv1.Object_Customer{
			Customer: &operatorv1.Customer{Name: "c", Weight: int32(revision)},
		}}},
	}
}

// lagging returns the names of the processes that have not reached a revision.
func (f *fleet) lagging(revision int64) []string {
	var out []string
	for _, p := range f.peers {
		if n := f.nodes[p.Name]; n.revision() < revision {
			out = append(out, p.Name)
		}
	}
	return out
}

// waitForRevision waits until all processes have reached a revision, and fails the test after a bound. Times are those
// of the synctest clock.
func (f *fleet) waitForRevision(bound time.Duration, revision int64) {
	f.t.Helper()
	start := time.Now()
	for len(f.lagging(revision)) > 0 {
		require.Less(f.t, time.Since(start), bound, "processes below revision %d: %v", revision, f.lagging(revision))
		time.Sleep(50 * time.Millisecond)
	}
}

// position returns the tree position of a process.
func (f *fleet) position(p Peer) treePosition { return findPosition(p, f.peers) }

// Guards against processes that receive a change late, and against calls to the service that grow with the fleet.
func TestChangesReachWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		f.startAll()
		defer f.stopAll()
		f.commit(1)
		f.waitForRevision(8*time.Second, 1)
		time.Sleep(time.Minute)
		before := f.server.Counts()
		for range 10 {
			f.waitForRevision(8*time.Second, f.commit(1))
			time.Sleep(6 * time.Second)
		}
		after := f.server.Counts()
		require.Equal(t, int64(3*watchersPerDomain), after.Watching, "only two processes in a failure domain watch")
		// Six watchers read every 2 s. Each commit of this test makes four more reads.
		require.LessOrEqual(t, after.Reads-before.Reads, int64(6*35+10*4))
	})
}

// Guards against an outage of the service that blocks the start of processes or makes them lose their configuration,
// and against a burst of calls when the outage ends.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(3))
		f.server.SetFaults(kvserver.Faults{Down: true})
		before := f.calls.Load()
		time.Sleep(10 * time.Minute)
		require.Empty(t, f.lagging(3))
		t.Logf("calls of 60 processes in 10 minutes of outage: %d", f.calls.Load()-before)
		require.LessOrEqual(t, f.calls.Load()-before, int64(3*watchersPerDomain*600), "fewer than 1 call/s of each watcher")
		for _, p := range f.peers {
			if i := f.position(p).index; i == 0 || i == 1 || i == 9 {
				f.stop[p.Name]()
				f.start(p)
			}
		}
		f.waitForRevision(8*time.Second, 3)

		before = f.calls.Load()
		f.server.SetFaults(kvserver.Faults{})
		time.Sleep(time.Second)
		t.Logf("calls in the first second after it: %d", f.calls.Load()-before)
		require.LessOrEqual(t, f.calls.Load()-before, int64(3*watchersPerDomain*5), "no burst when the service returns")
		f.waitForRevision(8*time.Second, f.commit(1))
	})
}

// Guards against a process that waits forever for data on a silent connection or from a failed parent.
func TestSilentAndFailedParents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		f.net.SilenceConnections()
		f.waitForRevision(8*time.Second, f.commit(1))
		for _, p := range f.peers {
			if f.position(p).index == 0 || f.position(p).index == 3 {
				f.stop[p.Name]()
				f.net.Serve(p.Address, nil)
				f.nodes[p.Name] = f.nodes[f.peers[59].Name] // Excluded from the wait.
			}
		}
		time.Sleep(time.Minute)
		// The bound is below staleAge, after which processes poll random peers, so the fallback must deliver the
		// change.
		f.waitForRevision(2*time.Second, f.commit(1))
	})
}

// Guards against a failure domain that stays on an old revision while it is partitioned from the service but not from
// other domains. The processes below the watchers have to advance even if the watchers reach no peer.
func TestDomainPartitionedFromService(t *testing.T) {
	t.Run("watchers reach peers", func(t *testing.T) { testPartitionedDomain(t, false) })
	t.Run("watchers reach no peer", func(t *testing.T) { testPartitionedDomain(t, true) })
}

func testPartitionedDomain(t *testing.T, watchersIsolated bool) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		for _, p := range f.peers {
			if p.FailureDomain == "b" {
				f.locals[p.Name].SilenceWatches()
				f.locals[p.Name].Outcome = func(string, string) kvserver.CallOutcome { return kvserver.Refused }
			}
			if p.FailureDomain == "b" && watchersIsolated && f.position(p).isWatcher() {
				f.net.Block(p.Address)
			}
		}
		revision := f.commit(1)
		time.Sleep(20 * time.Second)
		for _, name := range f.lagging(revision) {
			require.True(t, watchersIsolated && f.position(f.nodes[name].opts.Self).isWatcher(), "%s is behind", name)
		}
	})
}

// Guards against a process that misses a change or exceeds its call budget because its list of processes is wrong. Its
// parent then does not exist or polls this process in turn.
func TestProcessWithWrongPeerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		self := Peer{Name: "x", Address: "x", FailureDomain: "a"}
		wrongPeers := []Peer{self, {Name: "g1", Address: "g1", FailureDomain: "a"}, {Name: "g2", Address: "g2", FailureDomain: "a"}}
		for i := range 20 {
			name := fmt.Sprintf("ghost%d", i)
			wrongPeers = append(wrongPeers, Peer{Name: name, Address: name, FailureDomain: "a"})
		}
		local := kvserver.NewLocalStore(f.server)
		var calls atomic.Int64
		local.Outcome = func(string, string) kvserver.CallOutcome { calls.Add(1); return kvserver.Normal }
		x := NewNode(Options{
			Self: self, Peers: func() []Peer { return wrongPeers }, Store: store.New(local), Client: f.net.Client("x"), Seed: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		f.wg.Go(func() { _ = x.Run(ctx) })
		defer cancel()
		require.False(t, findPosition(self, wrongPeers).isWatcher())
		time.Sleep(10 * time.Minute)
		require.Equal(t, int64(1), x.revision())
		require.LessOrEqual(t, calls.Load(), int64(budgetBurst+60), "the call budget is 1 call in 10 s")
		require.Positive(t, x.overBudget.Load())
	})
}

// Guards against a revision that decreases because a peer is stale or a response is late.
func TestStalePeersAndLateResponsesNeverRevert(t *testing.T) {
	restore := invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) })
	defer restore()
	states := []*cluster.State{cluster.Empty()}
	for i := int64(1); i <= 30; i++ {
		next, err := states[i-1].Apply(change(i))
		require.NoError(t, err)
		states = append(states, next)
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := NewNode(Options{Store: store.New(kvserver.NewLocalStore(kvserver.New())), Seed: 1})
		highest := int64(0)
		for range 200 {
			s := states[1+rng.IntN(30)]
			raw, err := EncodeState(s)
			require.NoError(t, err)
			line := &Line{Revision: s.Revision, Snapshot: raw}
			if rng.IntN(2) == 0 {
				line = &Line{Revision: s.Revision, Changes: [][]byte{encode(t, change(s.Revision))}}
			}
			if rng.IntN(10) == 0 || len(line.Changes) > 0 {
				require.NoError(t, n.applyLine(line))
			}
			require.GreaterOrEqual(t, n.revision(), highest)
			highest = n.revision()
			if highest > 0 {
				require.Equal(t, int32(highest), n.State().Customer("c").GetWeight())
			}
		}
	}
}

func encode(t *testing.T, c *operatorv1.Change) []byte {
	t.Helper()
	b := changeBuffer{}
	b.add(c.GetRevision(), c)
	return b.encoded[0]
}

// Guards against an invalid revision that is applied in part or refused without a report, and against a process that
// stays behind after a later revision has corrected the invalid one.
func TestInvalidRevisionIsRejectedWholeAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		invalid := change(2)
		invalid.Upserts = append(invalid.Upserts, &operatorv1.Object{Kind: &operatorv1.Object_Group{
			Group: &operatorv1.Group{Name: "g", Model: "none", Ranks: 1},
		}})
		put := func(c *operatorv1.Change) {
			_, err := kvserver.NewLocalStore(f.server).Put(t.Context(),
				fmt.Sprintf("config/log/%020d", c.GetRevision()), encode(t, c), 0, 0)
			require.NoError(t, err)
		}
		put(invalid)
		time.Sleep(10 * time.Second)
		refused := 0
		for _, n := range f.nodes {
			require.Equal(t, int32(1), n.State().Customer("c").GetWeight())
			if strings.Contains(n.Refused(), "does not exist") {
				refused++
			}
		}
		require.GreaterOrEqual(t, refused, 3*watchersPerDomain)
		correction := change(3)
		correction.Deletes = []*operatorv1.ObjectRef{{Type: "group", Name: "g"}}
		put(correction)
		f.waitForRevision(8*time.Second, 3)
		for _, n := range f.nodes {
			require.Empty(t, n.Refused())
		}
	})
}

// Guards against a process that does not stop until the long polls of its peers end.
func TestStopEndsLongPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		n := f.start(f.peers[0])
		f.waitForNode(n, f.commit(1))
		req := httptest.NewRequest(http.MethodGet, "/peer/v1/config?after=1", nil)
		done := make(chan struct{})
		go func() {
			n.Handler().ServeHTTP(sharedRecorder{httptest.NewRecorder()}, req)
			close(done)
		}()
		synctest.Wait()
		start := time.Now()
		f.stopAll()
		<-done
		require.Zero(t, time.Since(start))
	})
}

// sharedRecorder is a recorder that one goroutine can use while another waits for it.
type sharedRecorder struct{ *httptest.ResponseRecorder }

func (f *fleet) waitForNode(n *Node, revision int64) {
	for n.revision() < revision {
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a watcher's backoff that is never reset and so grows with every failure since the process started.
func TestBackoffResetsAfterHealthyWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		for range 10 {
			time.Sleep(time.Minute)
			f.server.SetFaults(kvserver.Faults{Down: true})
			synctest.Wait()
			f.server.SetFaults(kvserver.Faults{})
			f.waitForRevision(time.Second, f.commit(1))
		}
	})
}

// Guards against buffered changes of the largest size that fill the memory of every process, and against a gap in the
// changes that a caller receives because some were dropped from the buffer.
func TestBufferedChangesAreBounded(t *testing.T) {
	b := changeBuffer{}
	for i := int64(1); i <= 20; i++ {
		c := change(i)
		c.Comment = strings.Repeat("x", 1<<20)
		b.add(i, c)
		require.LessOrEqual(t, b.bytes, maxBufferedBytes)
	}
	_, ok := b.since(10)
	require.False(t, ok)
	changes, ok := b.since(18)
	require.True(t, ok)
	require.Len(t, changes, 2)
}

// Guards against processes that continue to watch the service after others have taken their position in the tree.
func TestWatchersFollowPeerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		all := f.peers
		f.peers = all[:30]
		f.startAll()
		defer f.stopAll()
		f.waitForRevision(8*time.Second, f.commit(1))
		f.mu.Lock()
		f.peers = all
		f.mu.Unlock()
		for _, p := range all[30:] {
			f.start(p)
		}
		time.Sleep(time.Minute)
		require.Equal(t, int64(3*watchersPerDomain), f.server.Counts().Watching)
		f.waitForRevision(8*time.Second, f.commit(1))
	})
}

// Guards against requests with invalid parameters that are accepted.
func TestHandlerRejectsInvalidParameters(t *testing.T) {
	n := NewNode(Options{Store: store.New(kvserver.NewLocalStore(kvserver.New())), Seed: 1})
	for _, query := range []string{"after=x", "after=-1", "after=1&attachment_after=y", "after=1&attachment_after=-1", "after=1&wait_ms=-1", "after=1&wait_ms=z"} {
		w := httptest.NewRecorder()
		n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/peer/v1/config?"+query, nil))
		require.Equal(t, http.StatusBadRequest, w.Code, query)
		_, err := io.Copy(io.Discard, w.Body)
		require.NoError(t, err)
	}
}
