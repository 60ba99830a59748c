package side

import (
	"context"
	"net/http/httptest"
	"net/url"
	"strconv"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/orders"
	"lavendermoor.example/standin/engineorders"
	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/rankgroup"
	"lavendermoor.example/standin/weightserver"
)

// eventuallyTimeout limits how long a test waits for an expected state.
const eventuallyTimeout = 20 * time.Second

type testConfiguration struct{ st *cluster.State }

func (c *testConfiguration) State() *cluster.State { return c.st }

func groupConfiguration(t *testing.T, version string) *testConfiguration {
	st, err := cluster.New(1, []*operatorv1.Object{
		{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: "m", Versions: []string{"1", "2"}}}},
		{Kind: &operatorv1.Object_Group{Group: &operatorv1.Group{
			Name: "group", Model: "m", Version: version, Ranks: 4, Experts: 16, Layers: 2,
		}}},
		{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
			Name: "s", Address: "127.0.0.1:1", FailureDomain: "a", Group: "group", Slots: 1,
		}}},
	})
	require.NoError(t, err)
	return &testConfiguration{st: st}
}

func kvStore(t *testing.T) kv.Store {
	srv := httptest.NewServer(kvserver.New().Handler())
	t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	require.NoError(t, err)
	return kv.NewClient(base, 5*time.Second, nil)
}

// Guards against a controller that does not reach the ranks of its group: the group must receive and use maps that have
// the shape in the configuration.
func TestExpertMapRunnerServesGroup(t *testing.T) {
	groupSettings := rankgroup.DefaultSettings()
	groupSettings.Shape = expertmap.Shape{Ranks: 4, Experts: 16, Layers: 2, Slots: 5}
	groupSettings.Drift = rankgroup.Drift{Sigma: 1, CorrelationSteps: 500, Every: 20}
	g := rankgroup.New(groupSettings)
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	expertSettings := ExpertSettings{
		Slots: 5, ExpertBytes: 1, BudgetBytes: 1000, Poll: settings.Duration(2 * time.Millisecond), DecideEvery: 3,
	}
	for i := range 4 {
		expertSettings.Ranks = append(expertSettings.Ranks, srv.URL+"/ranks/"+strconv.Itoa(i))
	}
	e, err := NewExpertMapRunner("s", expertSettings, groupConfiguration(t, "1"), kvStore(t), zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.Run(ctx)
	require.Eventually(t, func() bool {
		g.Step()
		return g.Status(0, false).Active >= 2
	}, eventuallyTimeout, time.Microsecond*200)
	require.Equal(t, "group", e.Dump().Group)
	require.False(t, e.Slow())
}

// Guards against an engine that stays on the previous version after a change of the configuration: it must load the
// configured version and unload the previous one. While the weight store throttles reads, loads are attempted and
// nothing is loaded.
func TestOrdersFollowConfiguration(t *testing.T) {
	weights := weightserver.New(weightserver.Settings{RateBytes: 8 << 20, MaxReaders: 0, ModelBytes: 64 << 10})
	ws := httptest.NewServer(weights.Handler())
	defer ws.Close()
	throttledStore, err := url.Parse(ws.URL)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		weights *url.URL
		loaded  []string
	}{"free": {nil, []string{"m@2:"}}, "busy": {throttledStore, nil}} {
		t.Run(name, func(t *testing.T) {
			engine := engineorders.New(engineorders.Settings{Weights: c.weights})
			r := mux.NewRouter()
			engine.Register(r)
			srv := httptest.NewServer(r)
			defer srv.Close()
			backend, err := url.Parse(srv.URL)
			require.NoError(t, err)
			conf := groupConfiguration(t, "1")
			orderSettings := OrderSettings{
				WeightRate: 1 << 30, LoadBytes: 1, Parallel: 1, Poll: settings.Duration(time.Millisecond),
			}
			o := NewOrderReconciler("s", orderSettings, backend, conf, kvStore(t), zap.NewNop())
			if c.weights != nil {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				o.reconcile(ctx)
				require.Positive(t, weights.Counts().Refused)
			} else {
				o.reconcile(t.Context())
				*conf = *groupConfiguration(t, "2")
				o.reconcile(t.Context())
				require.Equal(t, orders.EngineState{Model: "m", Version: "2"}, o.Dump().Applied)
			}
			require.Equal(t, c.loaded, engine.Dump().Loaded)
		})
	}
}

// Guards against an issuer that keeps the first value of checksFencing after the configuration has changed it. An
// engine that ignores fencing tokens must get no order before the floor of the tokens has been read from the key-value
// service.
func TestOrdersFollowChecksFencing(t *testing.T) {
	engine := engineorders.New(engineorders.Settings{})
	r := mux.NewRouter()
	engine.Register(r)
	srv := httptest.NewServer(r)
	defer srv.Close()
	backend, err := url.Parse(srv.URL)
	require.NoError(t, err)
	conf := groupConfiguration(t, "1")
	conf.st.Server("s").ChecksFencing = true
	store := kvserver.New()
	orderSettings := OrderSettings{
		WeightRate: 1 << 30, LoadBytes: 1, Parallel: 1, Poll: settings.Duration(time.Millisecond),
	}
	o := NewOrderReconciler("s", orderSettings, backend, conf, kvserver.NewLocalStore(store), zap.NewNop())
	o.reconcile(t.Context())
	require.Empty(t, o.Dump().LastError)

	store.SetFaults(kvserver.Faults{Down: true})
	*conf = *groupConfiguration(t, "2")
	o.reconcile(t.Context())
	require.NotEmpty(t, o.Dump().LastError)
	require.Equal(t, []string{"m@1:"}, engine.Dump().Loaded)

	store.SetFaults(kvserver.Faults{})
	o.reconcile(t.Context())
	require.Equal(t, []string{"m@2:"}, engine.Dump().Loaded)
}
