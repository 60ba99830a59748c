package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/operatorv1/operatorv1connect"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/cluster/configfile"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/standin/kvserver"
)

// testEnv is an entry's operator RPC with a fake key-value service.
type testEnv struct {
	kv     *kvserver.Server
	local  *kvserver.LocalStore
	store  *store.Store
	node   *feed.Node
	client operatorv1connect.OperatorServiceClient
	url    string
}

const bootstrapKey = "boot-key"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{kv: kvserver.New()}
	env.startEntry(t)
	return env
}

// startEntry starts an entry that has no configuration yet. It uses the key-value service of the environment.
func (env *testEnv) startEntry(t *testing.T) {
	t.Helper()
	env.local = kvserver.NewLocalStore(env.kv)
	env.store = store.New(env.local)
	env.node = feed.NewNode(feed.Options{
		Self: feed.Peer{Name: "e1", FailureDomain: "a"}, Peers: func() []feed.Peer { return nil },
		Store: env.store, Client: http.DefaultClient, Seed: 1,
	})
	path, h := New(Options{Store: env.store, Node: env.node, BootstrapKeySHA256: hashOf(bootstrapKey)})
	mux := http.NewServeMux()
	mux.Handle(path, h)
	rpc := httptest.NewServer(mux)
	t.Cleanup(rpc.Close)
	env.url = rpc.URL
	env.client = env.clientWithKey(bootstrapKey)
}

// clientWithKey returns a client that sends the key as bearer token. Further keys are sent in headers of their own.
func (env *testEnv) clientWithKey(key string, others ...string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, env.url, connect.WithInterceptors(
		connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+key)
				for _, other := range others {
					req.Header().Add("Authorization", "Bearer "+other)
				}
				return next(ctx, req)
			}
		})))
}

// applyExample commits the example configuration with the bootstrap key.
func (env *testEnv) applyExample(t *testing.T) {
	t.Helper()
	f, err := configfile.Read("../../examples/association.jsonc")
	require.NoError(t, err)
	resp, err := env.client.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		OperationId: "first", Upserts: f.Upserts,
	}))
	require.NoError(t, err)
	require.Equal(t, int64(1), resp.Msg.GetRevision())
}

// adminKey is the key of the admin in the example configuration.
const adminKey = "example-forest-operations"

// Guards against accepting the bootstrap key after the first operator has been configured, changes by readers, and
// calls with unknown keys or with several keys.
func TestKeysAndRoles(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	drain := connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01"})
	for key, code := range map[string]connect.Code{
		bootstrapKey: connect.CodeUnauthenticated, "wrong": connect.CodeUnauthenticated,
		"": connect.CodeUnauthenticated, "example-dashboard-forest-operations": connect.CodePermissionDenied,
	} {
		_, err := env.clientWithKey(key).Drain(t.Context(), drain)
		require.Equal(t, code, connect.CodeOf(err), "key %q", key)
	}
	for _, keys := range [][2]string{{adminKey, "wrong"}, {"wrong", adminKey}, {adminKey, adminKey}} {
		_, err := env.clientWithKey(keys[0], keys[1]).Drain(t.Context(), drain)
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err), "keys %q", keys)
	}
	_, err := env.clientWithKey("example-dashboard-forest-operations").List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
	require.NoError(t, err)
	fresh := &testEnv{kv: env.kv}
	fresh.startEntry(t)
	_, err = fresh.client.Drain(t.Context(), drain)
	require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err), "an entry without a configuration reads the key-value service")
	resp, err := env.clientWithKey(adminKey).Drain(t.Context(), drain)
	require.NoError(t, err)
	require.Equal(t, int64(2), resp.Msg.GetRevision())
	require.True(t, env.node.State().Server("draft-01").GetDraining())
}

// Guards against a bootstrap key that is accepted again because the last operator has been deleted.
func TestLastOperatorCannotBeDeleted(t *testing.T) {
	env := newTestEnv(t)
	_, err := env.client.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		Upserts: []*operatorv1.Object{{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: "m"}}}},
	}))
	require.NoError(t, err, "a configuration may begin without operators")
	f, err := configfile.Read("../../examples/association.jsonc")
	require.NoError(t, err)
	_, err = env.client.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{Upserts: f.Upserts}))
	require.NoError(t, err)
	var all []*operatorv1.ObjectRef
	for _, o := range env.node.State().Objects() {
		if o.GetOperator() != nil {
			all = append(all, cluster.RefOf(o).Proto())
		}
	}
	admin := env.clientWithKey(adminKey)
	for _, dryRun := range []bool{true, false} {
		_, err = admin.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{Deletes: all, DryRun: dryRun}))
		require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	}
	_, err = admin.Rollback(t.Context(), connect.NewRequest(&operatorv1.RollbackRequest{ToRevision: 1}))
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err), "a rollback to the time before the operators")
	_, err = env.client.List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
	require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	_, err = admin.List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
	require.NoError(t, err)
}

// Guards against untyped errors, from which a client cannot decide how to react.
func TestErrorsCarryTypedDetails(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	_, err := c.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		Deletes: []*operatorv1.ObjectRef{{Type: "model", Name: "drafter"}},
	}))
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	require.NotEmpty(t, detail[*operatorv1.ValidationDetail](t, err).GetErrors())

	_, err = c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01", OperationId: "winner"}))
	require.NoError(t, err)
	_, err = c.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{ExpectedRevision: 1}))
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	require.Equal(t, "winner", detail[*operatorv1.ConflictDetail](t, err).GetOperationId())

	env.kv.SetFaults(kvserver.Faults{Down: true})
	_, err = c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-02"}))
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
}

func detail[T any](t *testing.T, err error) T {
	t.Helper()
	var e *connect.Error
	require.ErrorAs(t, err, &e)
	for _, d := range e.Details() {
		v, err := d.Value()
		require.NoError(t, err)
		if m, ok := v.(T); ok {
			return m
		}
	}
	require.Fail(t, "the error has no such detail")
	var none T
	return none
}

// Guards against a repeated operation that is applied again and undoes changes made in between.
func TestRepeatedOperationIsNotAppliedAgain(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	drain := &operatorv1.DrainRequest{Server: "draft-01", OperationId: "x"}
	_, err := c.Drain(t.Context(), connect.NewRequest(drain))
	require.NoError(t, err)
	_, err = c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01", Undo: true}))
	require.NoError(t, err)
	resp, err := c.Drain(t.Context(), connect.NewRequest(drain))
	require.NoError(t, err)
	require.True(t, resp.Msg.GetRepeatedOperation())
	require.Equal(t, int64(2), resp.Msg.GetRevision())
	require.False(t, env.node.State().Server("draft-01").GetDraining())
}

// Guards against a rollback that decreases the epoch of a service or the revision.
func TestRollbackCreatesANewRevisionAndIncrementsTheEpoch(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	deletes := []*operatorv1.ObjectRef{{Type: "server", Name: "booking-3"}}
	_, err := c.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{Deletes: deletes}))
	require.NoError(t, err)
	s := env.node.State().Service("booking")
	require.Equal(t, int64(2), s.GetEpoch())
	_, previous := env.node.State().Members("booking")
	require.Equal(t, []cluster.Member{
		{Name: "booking-1", Domain: "tampere", Address: "127.0.0.1:9312"},
		{Name: "booking-2", Domain: "lahti", Address: "127.0.0.1:9313"},
		{Name: "booking-3", Domain: "hameenlinna", Address: "127.0.0.1:9314"},
	}, previous)

	_, err = c.Rollback(t.Context(), connect.NewRequest(&operatorv1.RollbackRequest{ToRevision: 1}))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err), "a change of the service's servers is in progress")
	st := env.node.State()
	next, err := env.store.Commit(t.Context(), st, &operatorv1.Change{OperationId: "copied", Upserts: []*operatorv1.Object{
		{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{
			Name: "booking", Epoch: s.GetEpoch(), Servers: s.GetServers(),
		}}},
	}})
	require.NoError(t, err)
	resp, err := c.Rollback(t.Context(), connect.NewRequest(&operatorv1.RollbackRequest{ToRevision: 1}))
	require.NoError(t, err)
	require.Equal(t, next.Revision+1, resp.Msg.GetRevision())
	require.Equal(t, int64(3), env.node.State().Service("booking").GetEpoch())
	require.Len(t, env.node.State().ServersOfService("booking"), 3)
}

// Guards against reporting a change as committed although it lost a race, and against refusing a change without an
// expected revision because it lost a race.
func TestConcurrentOperatorChanges(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	var wg sync.WaitGroup
	codes := make([]connect.Code, 8)
	for i := range 8 {
		wg.Go(func() {
			var expected int64
			if i%2 == 0 {
				expected = 1
			}
			_, err := c.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
				OperationId: fmt.Sprintf("race%d", i), ExpectedRevision: expected, Upserts: []*operatorv1.Object{
					{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: fmt.Sprintf("m%d", i)}}},
				},
			}))
			if err != nil {
				codes[i] = connect.CodeOf(err)
			}
		})
	}
	wg.Wait()
	committed := map[string]bool{}
	changes, err := env.store.History(t.Context(), 100, 100)
	require.NoError(t, err)
	for _, h := range changes {
		committed[h.GetOperationId()] = true
	}
	for i, code := range codes {
		require.Equal(t, code == 0, committed[fmt.Sprintf("race%d", i)], "operator %d", i)
		if i%2 == 1 {
			require.Zero(t, code, "operator %d expected no revision", i)
		} else if code != 0 {
			require.Equal(t, connect.CodeAborted, code)
		}
	}
}

// Guards against rebasing a change with an expected revision after a lost race, and against refusing a change without
// one.
func TestLostRaceConflictsOnlyWithAnExpectedRevision(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	commitBeforeFirstPut := func(op string) func(string, string) kvserver.CallOutcome {
		var done atomic.Bool
		return func(call, _ string) kvserver.CallOutcome {
			if call == "put" && done.CompareAndSwap(false, true) {
				other := store.New(kvserver.NewLocalStore(env.kv))
				state, err := other.Load(t.Context())
				require.NoError(t, err)
				_, err = other.Commit(t.Context(), state, &operatorv1.Change{OperationId: op, Author: "rival"})
				require.NoError(t, err)
			}
			return kvserver.Normal
		}
	}
	apply := func(expected int64) (*connect.Response[operatorv1.ApplyResponse], error) {
		return env.clientWithKey(adminKey).Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
			ExpectedRevision: expected, Upserts: []*operatorv1.Object{
				{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: "m"}}},
			},
		}))
	}
	env.local.Outcome = commitBeforeFirstPut("rival1")
	_, err := apply(1)
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	require.Equal(t, "rival", detail[*operatorv1.ConflictDetail](t, err).GetAuthor())
	env.local.Outcome = commitBeforeFirstPut("rival2")
	resp, err := apply(0)
	require.NoError(t, err)
	require.Equal(t, int64(4), resp.Msg.GetRevision(), "the change is rebased on the winner")
}

// Guards against reporting a lost response of the key-value service to the operator although the outcome can be
// resolved, and against reporting that a change had no effect when an outage follows a lost response.
func TestLostResponsesAndOutages(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	drain := func(op, server string) (*connect.Response[operatorv1.ApplyResponse], error) {
		return c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{OperationId: op, Server: server}))
	}
	env.local.Outcome = losePutResponse()
	resp, err := drain("lost", "draft-01")
	require.NoError(t, err)
	require.Equal(t, int64(2), resp.Msg.GetRevision())

	env.local.Outcome = outageAfterPut()
	_, err = drain("outage", "draft-02")
	require.Equal(t, connect.CodeUnknown, connect.CodeOf(err))
	require.Contains(t, err.Error(), "outage", "the error names the operation to repeat")
	env.local.Outcome = nil
	resp, err = drain("outage", "draft-02")
	require.NoError(t, err)
	require.True(t, resp.Msg.GetRepeatedOperation())
	require.Equal(t, int64(3), resp.Msg.GetRevision())
}

// losePutResponse loses the response to the first write.
func losePutResponse() func(string, string) kvserver.CallOutcome {
	var lost atomic.Bool
	return func(call, _ string) kvserver.CallOutcome {
		if call == "put" && lost.CompareAndSwap(false, true) {
			return kvserver.ResponseLost
		}
		return kvserver.Normal
	}
}

// outageAfterPut loses the response to the first write and refuses all later calls.
func outageAfterPut() func(string, string) kvserver.CallOutcome {
	var down atomic.Bool
	return func(call, _ string) kvserver.CallOutcome {
		if down.Load() {
			return kvserver.Refused
		}
		if call == "put" {
			down.Store(true)
			return kvserver.ResponseLost
		}
		return kvserver.Normal
	}
}

// Guards against a stream of changes with gaps, and against a stream that cannot start at a revision older than the
// changes that this process keeps in memory.
func TestWatchStreamsChangesInOrder(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	c := env.clientWithKey(adminKey)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := connect.NewRequest(&operatorv1.WatchRequest{AfterRevision: 1})
	req.Header().Set("Authorization", "Bearer "+adminKey)
	_, err := c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01"}))
	require.NoError(t, err)
	stream, err := c.Watch(ctx, req)
	require.NoError(t, err)
	for want := int64(2); want <= 5; want++ {
		require.True(t, stream.Receive(), "%v", stream.Err())
		require.Equal(t, want, stream.Msg().GetChange().GetRevision())
		_, err := c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01", Undo: want%2 == 0}))
		require.NoError(t, err)
	}
}

// Guards against a change that leaves no admin.
func TestLastAdminCannotBeRemoved(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	_, err := env.clientWithKey(adminKey).Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		Deletes: []*operatorv1.ObjectRef{{Type: "operator", Name: "forest-operations"}},
	}))
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
}

// Guards against a log that grows by the whole file each time the file is applied, and against a change that contains
// an object twice.
func TestOnlyDifferencesAreCommitted(t *testing.T) {
	env := newTestEnv(t)
	env.applyExample(t)
	f, err := configfile.Read("../../examples/association.jsonc")
	require.NoError(t, err)
	f.Upserts[0].GetModel().Adapters = append(f.Upserts[0].GetModel().GetAdapters(), "new")
	gone := &operatorv1.ObjectRef{Type: "customer", Name: "gone"}
	_, err = env.clientWithKey(adminKey).Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		Upserts: f.Upserts, Deletes: []*operatorv1.ObjectRef{gone},
	}))
	require.NoError(t, err)
	c, err := env.store.Change(t.Context(), 2)
	require.NoError(t, err)
	require.Len(t, c.GetUpserts(), 1)
	require.Empty(t, c.GetDeletes())

	_, err = env.clientWithKey(adminKey).Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		Upserts: append(f.Upserts, f.Upserts[0]),
	}))
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
}

// Guards against a process that exhausts an entry's memory with a status without end.
func TestEndlessStatusOfAProcessIsRejected(t *testing.T) {
	const maxSent = 64 << 20
	sent := make(chan int, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write([]byte(`{"program":"`))
		block := make([]byte, 1<<16)
		for i := range block {
			block[i] = 'x'
		}
		for total := n; ; total += n {
			if err != nil || total > maxSent {
				sent <- total
				return
			}
			n, err = w.Write(block)
		}
	}))
	defer peer.Close()
	s := &Service{opts: Options{Client: http.DefaultClient}}
	_, err := s.requestStatus(t.Context(), feed.Peer{Address: peer.Listener.Addr().String()})
	require.Error(t, err)
	require.Less(t, <-sent, maxSent)
}
