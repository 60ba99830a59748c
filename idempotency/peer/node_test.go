package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
	"lavendermoor.example/telemetry/invariant"
)

// network carries the messages between nodes in memory, so that synctest controls the time.
type network struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*Node
	// silent servers accept messages and never respond.
	silent map[string]bool
	// recordsDelay delays the messages that carry outcomes.
	recordsDelay time.Duration
	state        atomic.Pointer[cluster.State]
}

func (w *network) State() *cluster.State { return w.state.Load() }

func (w *network) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	node, silent := w.nodes[r.URL.Host], w.silent[r.URL.Host]
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if node == nil {
		return nil, io.ErrUnexpectedEOF
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if r.URL.Path == peerapi.PathRecords {
		time.Sleep(w.recordsDelay)
	}
	in := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.Path, bytes.NewReader(body))
	out := httptest.NewRecorder()
	node.Handler().ServeHTTP(out, in)
	return out.Result(), nil
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

func server(i int) string { return fmt.Sprintf("booking-%d", i) }

func newNetwork(t *testing.T, servers int) *network {
	w := &network{t: t, nodes: map[string]*Node{}, silent: map[string]bool{}}
	objects := []*operatorv1.Object{{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: "shed"}}}}
	for i := range servers {
		objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
			Name: server(i), Address: address(i), FailureDomain: fmt.Sprint(i), Service: "shed", Slots: 4,
		}}})
	}
	st, err := cluster.New(1, objects)
	require.NoError(t, err)
	w.state.Store(st)
	for i := range servers {
		w.startNode(i, 1, idempotency.Options{})
	}
	t.Cleanup(invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) }))
	return w
}

func (w *network) startNode(i int, incarnation int64, opts idempotency.Options) *Node {
	return w.startNodeAs(i, incarnation, ProcessIncarnation{}, opts)
}

// startNodeAs is startNode for a process with a record in the key-value service.
func (w *network) startNodeAs(i int, incarnation int64, process ProcessIncarnation, opts idempotency.Options) *Node {
	n := New(Options{
		Self: peerapi.Peer{Server: server(i), Incarnation: incarnation}, Incarnation: process, Configuration: w,
		Log: zap.NewNop(), Table: opts, Transport: w,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[address(i)] = n
	return n
}

func (w *network) node(i int) *Node { return w.nodes[address(i)] }

func (w *network) stop(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.nodes, address(i))
}

func (w *network) setSilent(i int, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address(i)] = silent
}

// waitBackground waits for the background work, so that the synctest bubble can end.
func (w *network) waitBackground() {
	for _, n := range w.nodes {
		n.Wait()
	}
}

// bookings is a backend server that counts its runs.
type bookings struct {
	runs    atomic.Int64
	runTime time.Duration
}

func (b *bookings) run(context.Context) (*peerapi.CallResult, *callerapi.Error) {
	n := b.runs.Add(1)
	time.Sleep(b.runTime)
	return &peerapi.CallResult{Status: http.StatusCreated, Body: []byte(fmt.Sprint("run ", n))}, nil
}

func keyedRequest(key string) *peerapi.CallRequest {
	return &peerapi.CallRequest{
		Work: peerapi.Work{ID: key, Customer: "crew", DeadlineMs: 5000}, Service: "shed", Method: http.MethodPost,
		Path: "/bookings", Key: key,
	}
}

// TestRetriesAtAnyHolderReturnTheSameOutcome guards against a second run of a key that arrives at every holder
// concurrently and again later.
func TestRetriesAtAnyHolderReturnTheSameOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{runTime: 300 * time.Millisecond}
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				result, e := w.node(i%3).Call(t.Context(), keyedRequest("k"), b.run)
				if e == nil {
					require.Equal(t, "run 1", string(result.Body))
				} else {
					require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
				}
			})
		}
		wg.Wait()
		w.waitBackground()
		for i := range 3 {
			result, e := w.node(i).Call(t.Context(), keyedRequest("k"), b.run)
			require.Nil(t, e)
			require.Equal(t, "run 1", string(result.Body))
			require.True(t, result.Replayed)
		}
		other := keyedRequest("k")
		other.Body = []byte("{}")
		_, e := w.node(0).Call(t.Context(), other, b.run)
		require.Equal(t, callerapi.KeyReused, e.Type)
		require.Equal(t, int64(1), b.runs.Load())
		w.waitBackground()
	})
}

// TestUnresponsiveHolderDoesNotDelayCalls guards against calls that wait for a paused holder whose verdict they do
// not need, and against refusals that come only near the deadline.
func TestUnresponsiveHolderDoesNotDelayCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		w.setSilent(2, true)
		began := time.Now()
		_, e := w.node(0).Call(t.Context(), keyedRequest("one lost"), b.run)
		require.Nil(t, e)
		require.Zero(t, time.Since(began))
		w.setSilent(1, true)
		_, e = w.node(0).Call(t.Context(), keyedRequest("two lost"), b.run)
		require.Equal(t, callerapi.OutcomeUnknown, e.Type)
		require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		require.Equal(t, claimTimeout, time.Since(began))
		require.Positive(t, e.RetryAfter)
		require.Equal(t, int64(1), b.runs.Load())
		w.waitBackground()
	})
}

// TestOutcomeSurvivesRunnerThatDiesAfterItsResponse guards against an outcome that only the runner has when its caller
// receives it: after the runner was killed, the caller's retry was answered with an unknown outcome. A holder that does
// not confirm must delay the caller by a bounded time only.
func TestOutcomeSurvivesRunnerThatDiesAfterItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		w.recordsDelay = 50 * time.Millisecond
		runner := w.node(0)
		_, e := runner.Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		w.stop(0)
		result, e := w.node(1).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		require.True(t, result.Replayed)
		w.recordsDelay = time.Minute
		began := time.Now()
		_, e = w.node(1).Call(t.Context(), keyedRequest("slow holders"), b.run)
		require.Nil(t, e)
		require.Equal(t, recordTimeout, time.Since(began))
		require.Equal(t, int64(2), b.runs.Load())
		runner.Wait()
		w.waitBackground()
	})
}

// TestRestartedHolderCopiesBeforeGranting guards against a new incarnation that grants keys whose records it has
// lost.
func TestRestartedHolderCopiesBeforeGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		_, e := w.node(0).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		w.waitBackground()
		w.setSilent(2, true) // After the restart of holder 0, only holder 1 can provide a copy.
		fresh := w.startNode(0, 2, idempotency.Options{})
		_, e = fresh.Call(t.Context(), keyedRequest("new"), b.run)
		require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		fresh.copyRound(t.Context())
		require.Equal(t, idempotency.Shards, fresh.Dump().Incomplete)
		w.setSilent(2, false)
		fresh.copyRound(t.Context())
		require.Zero(t, fresh.Dump().Incomplete)
		w.stop(1)
		w.stop(2)
		result, e := fresh.Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		require.True(t, result.Replayed)
		require.Equal(t, int64(1), b.runs.Load())
		w.waitBackground()
	})
}

// TestLossOfTwoHoldersBlocksKeysForTheRetention guards against keys that can never be used again after two holders
// were lost at the same time, and against a run before the retention has passed.
func TestLossOfTwoHoldersBlocksKeysForTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		_, e := w.node(0).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		w.waitBackground()
		w.startNode(0, 2, idempotency.Options{})
		w.startNode(1, 2, idempotency.Options{})
		w.node(0).copyRound(t.Context())
		w.node(1).copyRound(t.Context())
		_, e = w.node(0).Call(t.Context(), keyedRequest("new"), b.run)
		require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		time.Sleep(cluster.DefaultKeyRetention + time.Second)
		_, e = w.node(0).Call(t.Context(), keyedRequest("later"), b.run)
		require.Nil(t, e)
		require.Equal(t, int64(2), b.runs.Load())
		w.waitBackground()
	})
}

// TestFullTableRefusesOnlyNewKeys guards against the eviction of a record before its retention has passed, and
// against reporting a key as not run that has run elsewhere.
func TestFullTableRefusesOnlyNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		for i := range 3 {
			w.startNode(i, 1, idempotency.Options{MaxRecords: 1})
		}
		_, e := w.node(0).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		w.waitBackground()
		_, e = w.node(0).Call(t.Context(), keyedRequest("new"), b.run)
		require.Equal(t, callerapi.Overloaded, e.Type)
		require.Equal(t, callerapi.ExecutedNo, e.Executed)
		w.setSilent(1, true)
		w.setSilent(2, true)
		_, e = w.node(0).Call(t.Context(), keyedRequest("new"), b.run)
		require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		result, e := w.node(0).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		require.True(t, result.Replayed)
		w.waitBackground()
	})
}

// TestRefusedRunReleasesTheKey guards against a key that stays blocked after its run was refused, so that a retry
// does not run although the caller got the response that nothing had run.
func TestRefusedRunReleasesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{}
		_, e := w.node(0).Call(t.Context(), keyedRequest("k"), func(context.Context) (*peerapi.CallResult, *callerapi.Error) {
			return nil, callerapi.NotExecuted(callerapi.Overloaded, "queue is full")
		})
		require.Equal(t, callerapi.ExecutedNo, e.Executed)
		w.waitBackground()
		_, e = w.node(1).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		w.waitBackground()
	})
}

// TestCallReturnsAtItsDeadline guards against a response that is delayed by a run longer than the deadline, and
// against the loss of the outcome of that run.
func TestCallReturnsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{runTime: 20 * time.Second}
		began := time.Now()
		_, e := w.node(0).Call(t.Context(), keyedRequest("k"), b.run)
		require.Equal(t, callerapi.DeadlineExceeded, e.Type)
		require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		require.Equal(t, 5*time.Second, time.Since(began))
		_, e = w.node(1).Call(t.Context(), keyedRequest("k"), b.run)
		require.Equal(t, callerapi.DeadlineExceeded, e.Type)
		w.waitBackground()
		result, e := w.node(1).Call(t.Context(), keyedRequest("k"), b.run)
		require.Nil(t, e)
		require.Equal(t, "run 1", string(result.Body))
		w.waitBackground()
	})
}

// TestTokensRunOnceAndAreHandedOver guards against a token that runs twice, that another customer can use, or whose
// outcome is lost when its server drains.
func TestTokensRunOnceAndAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 3)
		b := &bookings{runTime: time.Second}
		text, e := w.node(0).IssueToken("crew", "shed")
		require.Nil(t, e)
		unused, e := w.node(0).IssueToken("crew", "shed")
		require.Nil(t, e)
		request := func(token, customer string) *peerapi.CallRequest {
			r := keyedRequest("")
			r.Token, r.Customer = token, customer
			return r
		}
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				result, e := w.node(0).Call(t.Context(), request(text, "crew"), b.run)
				require.Nil(t, e)
				require.Equal(t, "run 1", string(result.Body))
			})
		}
		wg.Wait()
		_, e = w.node(0).Call(t.Context(), request(text, "other"), b.run)
		require.Equal(t, callerapi.InvalidToken, e.Type)
		w.node(0).Drain()
		w.node(0).Handover(t.Context())
		_, e = w.node(0).Call(t.Context(), request(unused, "crew"), b.run)
		require.Equal(t, callerapi.Draining, e.Type)
		replayed := 0
		for i := 1; i < 3; i++ {
			result, e := w.node(i).Call(t.Context(), request(text, "crew"), b.run)
			if e == nil && result.Replayed {
				replayed++
			} else {
				require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
			}
			_, e = w.node(i).Call(t.Context(), request(unused, "crew"), b.run)
			require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
		}
		require.Equal(t, 1, replayed)
		require.Equal(t, int64(1), b.runs.Load())
	})
}

// TestOutcomeOfUnkeyedCalls guards against a call that runs after it was reported to its sender as not run, and against
// a false "no" from an incarnation that the call was not sent to.
func TestOutcomeOfUnkeyedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, 1)
		n, b := w.node(0), &bookings{runTime: time.Second}
		queryOutcome := func(id string, incarnation int64) peerapi.OutcomeResponse {
			var out peerapi.OutcomeResponse
			q := peerapi.OutcomeRequest{ID: id, Incarnation: incarnation}
			require.NoError(t, n.send(t.Context(), address(0), peerapi.PathOutcome, q, &out))
			return out
		}
		request := func(id string) *peerapi.CallRequest {
			r := keyedRequest("")
			r.ID = id
			return r
		}
		require.Equal(t, callerapi.ExecutedUnknown, queryOutcome("late", 0).Executed)
		require.Equal(t, callerapi.ExecutedNo, queryOutcome("late", 1).Executed)
		_, e := n.Call(t.Context(), request("late"), b.run)
		require.NotNil(t, e)
		require.Zero(t, b.runs.Load())
		_, e = n.Call(t.Context(), request("refused"), func(context.Context) (*peerapi.CallResult, *callerapi.Error) {
			return nil, callerapi.NotExecuted(callerapi.Overloaded, "queue is full")
		})
		require.Equal(t, callerapi.ExecutedNo, e.Executed)
		require.Equal(t, callerapi.ExecutedNo, queryOutcome("refused", 1).Executed)
		_, e = n.Call(t.Context(), request("refused"), b.run)
		require.Nil(t, e, "a retry after a refusal must run")
		require.Equal(t, callerapi.ExecutedYes, queryOutcome("refused", 1).Executed)
		go func() { _, _ = n.Call(t.Context(), request("x"), b.run) }()
		synctest.Wait()
		require.True(t, queryOutcome("x", 1).Running)
		n.Wait()
		require.Equal(t, "run 2", string(queryOutcome("x", 1).Result.Body))
		raw, err := json.Marshal(queryOutcome("x", 1))
		require.NoError(t, err)
		require.Contains(t, string(raw), `"executed":"yes"`)
	})
}
