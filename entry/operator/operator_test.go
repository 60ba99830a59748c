package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/operatorv1/operatorv1connect"
	"lavendermoor.example/config/cluster/configfile"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/platform/kv"
	"lavendermoor.example/standin/kvserver"
)

// bench is an operator RPC on a stand-in of the key-value service.
type bench struct {
	kv     *kvserver.Server
	store  *store.Store
	node   *feed.Node
	client operatorv1connect.OperatorServiceClient
	url    string
}

const bootstrap = "boot-key"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{kv: kvserver.New()}
	kvHTTP := httptest.NewServer(b.kv.Handler())
	t.Cleanup(kvHTTP.Close)
	base, err := url.Parse(kvHTTP.URL)
	require.NoError(t, err)
	b.store = store.New(kv.NewClient(base, 2*time.Second, nil))
	b.node = feed.NewNode(feed.Options{
		Self: feed.Peer{Name: "e1", FailureDomain: "a"}, Peers: func() []feed.Peer { return nil },
		Store: b.store, Client: http.DefaultClient, Seed: 1,
	})
	path, h := New(Options{Store: b.store, Node: b.node, BootstrapKeySHA256: hashOf(bootstrap)})
	mux := http.NewServeMux()
	mux.Handle(path, h)
	rpc := httptest.NewServer(mux)
	t.Cleanup(rpc.Close)
	b.url = rpc.URL
	b.client = b.as(bootstrap)
	return b
}

// as returns a client with a key.
func (b *bench) as(key string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, b.url, connect.WithInterceptors(
		connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+key)
				return next(ctx, req)
			}
		})))
}

// applyExample commits the example of the association with the bootstrap key.
func (b *bench) applyExample(t *testing.T) {
	t.Helper()
	f, err := configfile.Read("../../examples/association.jsonc")
	require.NoError(t, err)
	resp, err := b.client.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{
		OperationId: "first", Upserts: f.Upserts,
	}))
	require.NoError(t, err)
	require.Equal(t, int64(1), resp.Msg.GetRevision())
}

// admin is the key of the admin in the example.
const admin = "example-forest-operations"

// Guards against a bootstrap key that outlives the first operator, readers that change things, and unknown keys.
func TestKeysAndRoles(t *testing.T) {
	b := newBench(t)
	b.applyExample(t)
	drain := connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01"})
	for key, code := range map[string]connect.Code{
		bootstrap: connect.CodeUnauthenticated, "wrong": connect.CodeUnauthenticated,
		"": connect.CodeUnauthenticated, "example-dashboard-forest-operations": connect.CodePermissionDenied,
	} {
		_, err := b.as(key).Drain(t.Context(), drain)
		require.Equal(t, code, connect.CodeOf(err), "key %q", key)
	}
	_, err := b.as("example-dashboard-forest-operations").List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
	require.NoError(t, err)
	resp, err := b.as(admin).Drain(t.Context(), drain)
	require.NoError(t, err)
	require.Equal(t, int64(2), resp.Msg.GetRevision())
	require.True(t, b.node.State().Server("draft-01").GetDraining())
}

// Guards against untyped refusals, from which a client could not tell what to do.
func TestErrorsCarryTheirDetails(t *testing.T) {
	b := newBench(t)
	b.applyExample(t)
	c := b.as(admin)
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

	b.kv.SetFaults(kvserver.Faults{Down: true})
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
	require.Fail(t, "no such detail")
	var none T
	return none
}

// Guards against a repeat that is applied again, which would undo changes made in between.
func TestRepeatedOperationIsNotAppliedAgain(t *testing.T) {
	b := newBench(t)
	b.applyExample(t)
	c := b.as(admin)
	on := &operatorv1.DrainRequest{Server: "draft-01", OperationId: "x"}
	_, err := c.Drain(t.Context(), connect.NewRequest(on))
	require.NoError(t, err)
	_, err = c.Drain(t.Context(), connect.NewRequest(&operatorv1.DrainRequest{Server: "draft-01", Undo: true}))
	require.NoError(t, err)
	resp, err := c.Drain(t.Context(), connect.NewRequest(on))
	require.NoError(t, err)
	require.True(t, resp.Msg.GetRepeatedOperation())
	require.Equal(t, int64(2), resp.Msg.GetRevision())
	require.False(t, b.node.State().Server("draft-01").GetDraining())
}

// Guards against a rollback that takes the epoch of a service back, or reverts the revision.
func TestRollbackIsANewRevisionAndKeepsTheEpochGrowing(t *testing.T) {
	b := newBench(t)
	b.applyExample(t)
	c := b.as(admin)
	gone := []*operatorv1.ObjectRef{{Type: "server", Name: "booking-3"}}
	_, err := c.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{Deletes: gone}))
	require.NoError(t, err)
	s := b.node.State().Service("booking")
	require.Equal(t, int64(2), s.GetEpoch())
	require.Equal(t, []string{
		"booking-1@tampere@127.0.0.1:9312", "booking-2@lahti@127.0.0.1:9313", "booking-3@hameenlinna@127.0.0.1:9314",
	}, s.GetPrevious())

	_, err = c.Rollback(t.Context(), connect.NewRequest(&operatorv1.RollbackRequest{ToRevision: 1}))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err), "a change of the servers is in progress")
	st := b.node.State()
	next, err := b.store.Commit(t.Context(), st, &operatorv1.Change{OperationId: "copied", Upserts: []*operatorv1.Object{
		{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{
			Name: "booking", Epoch: s.GetEpoch(), Servers: s.GetServers(),
		}}},
	}})
	require.NoError(t, err)
	resp, err := c.Rollback(t.Context(), connect.NewRequest(&operatorv1.RollbackRequest{ToRevision: 1}))
	require.NoError(t, err)
	require.Equal(t, next.Revision+1, resp.Msg.GetRevision())
	require.Equal(t, int64(3), b.node.State().Service("booking").GetEpoch())
	require.Len(t, b.node.State().ServersOfService("booking"), 3)
}
