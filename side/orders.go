package side

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/orders"
)

// OrderSettings are the settings for orders to the engine, for example to load or unload a model version.
type OrderSettings struct {
	// WeightRate is the read rate of the weight store in bytes/s, LoadBytes the size of the weights of a model version.
	WeightRate int64 `json:"weight_rate" validate:"min=1"`
	LoadBytes  int64 `json:"load_bytes" validate:"min=1"`
	// Parallel is the number of groups that load weights concurrently and share WeightRate.
	Parallel int `json:"parallel" validate:"min=1"`
	// Poll is the interval between polls for the result of an order.
	Poll settings.Duration `json:"poll" validate:"min=1"`
	// LeaseTTL and LeaseMargin configure the lease for orders; 0 selects the default of package orders. The margin must
	// exceed the delivery time of an order to the engine.
	LeaseTTL    settings.Duration `json:"lease_ttl" validate:"min=0"`
	LeaseMargin settings.Duration `json:"lease_margin" validate:"min=0,ltefield=LeaseTTL"`
}

func (s *OrderSettings) lease() orders.LeaseSettings {
	out := orders.DefaultLeaseSettings()
	if s.LeaseTTL > 0 {
		out = orders.LeaseSettings{TTL: s.LeaseTTL.D(), Margin: s.LeaseMargin.D()}
	}
	return out
}

// OrderReconciler brings the engine to the state that the active configuration defines. Run and Dump may be called from
// different goroutines.
type OrderReconciler struct {
	server        string
	settings      OrderSettings
	configuration Configuration
	lease         *orders.Lease
	issuer        *orders.Issuer
	// checksFencing is the value of the server's checksFencing with which the issuer was created.
	checksFencing bool
	store         kv.Store
	backend       *url.URL
	log           *zap.Logger

	mu   sync.Mutex
	dump OrdersDump
}

// OrdersDump is the state dump of an OrderReconciler.
type OrdersDump struct {
	// Applied is the engine state that orders of this process have established.
	Applied orders.EngineState `json:"have"`
	// Counts are those of the current issuer, which is replaced when checksFencing of the server changes.
	Counts    orders.Counts `json:"counts"`
	LastError string        `json:"last_error,omitempty"`
}

// NewOrderReconciler returns a reconciler for the engine at the URL backend.
func NewOrderReconciler(
	server string, s OrderSettings, backend *url.URL, c Configuration, store kv.Store, log *zap.Logger,
) *OrderReconciler {
	// Each start uses a new holder name, because an earlier process of this server may be suspended and resume later.
	lease := orders.NewLease(store, server, server+"/"+uuid.NewString(), s.lease())
	return &OrderReconciler{
		server: server, settings: s, configuration: c, lease: lease, store: store, backend: backend, log: log,
		dump: OrdersDump{Applied: orders.EngineState{Role: roleUnknown}},
	}
}

// roleUnknown is the initial role. It differs from every configured role, so the first reconciliation sets the role,
// which an earlier process may have changed.
const roleUnknown = "unknown"

// orderTimeout limits one request to the engine, and the release of the lease. A load continues after the response to
// its order.
const orderTimeout = 2 * time.Second

// Run issues orders until the context ends, then releases the lease.
func (o *OrderReconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.reconcile(ctx)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	_ = o.lease.Release(end) // If the key-value service is unreachable, the lease expires.
}

// reconcile issues the orders that bring the engine to the state in the active configuration.
func (o *OrderReconciler) reconcile(ctx context.Context) {
	st := o.configuration.State()
	if st == nil {
		return
	}
	desired, ok := desiredState(st, o.server)
	if !ok {
		return
	}
	if checks := st.Server(o.server).GetChecksFencing(); o.issuer == nil || o.checksFencing != checks {
		o.issuer, o.checksFencing = o.newIssuer(checks), checks
	}
	applied := o.Dump().Applied
	pending := orders.Diff(applied, desired)
	if applied.Role == roleUnknown {
		// An earlier process may have loaded another version.
		m := st.Model(desired.Model)
		pending = append(pending, orders.UnloadOthers(desired, m.GetVersions(), m.GetAdapters())...)
	}
	for _, order := range pending {
		if err := o.issue(ctx, order); err != nil {
			o.updateDump(func(d *OrdersDump) { d.LastError = err.Error() })
			o.log.Warn("order to the engine failed", zap.String("kind", string(order.Kind)), zap.Error(err))
			return // The next reconciliation retries from the first order.
		}
	}
	o.updateDump(func(d *OrdersDump) { d.Applied, d.LastError = desired, "" })
}

func desiredState(st *cluster.State, server string) (orders.EngineState, bool) {
	g := st.Group(st.Server(server).GetGroup())
	if g == nil {
		return orders.EngineState{}, false
	}
	return orders.EngineState{
		Model: g.GetModel(), Version: g.GetVersion(), Adapters: g.GetAdapters(), Role: g.GetRole(),
	}, g.GetVersion() != ""
}

func (o *OrderReconciler) newIssuer(checksFencing bool) *orders.Issuer {
	return orders.NewIssuer(orders.IssuerOptions{
		Server: o.server, Lease: o.lease, Store: o.store, Engine: o.backend, PollInterval: o.settings.Poll.D(),
		ChecksFencing: checksFencing, HTTP: &http.Client{Timeout: orderTimeout},
	})
}

// issue sends one order. A load is delayed to spread the reads of all groups from the weight store over time, and
// retried if the store throttles it.
func (o *OrderReconciler) issue(ctx context.Context, order orders.Order) error {
	spread := orders.NewLoadSpread(o.settings.WeightRate, o.settings.LoadBytes, o.settings.Parallel)
	for attempt := 0; ; attempt++ {
		order.ID = orders.NewID()
		if order.Kind == orders.Load {
			order.RateBytes = spread.RatePerLoad()
			if err := sleep(ctx, spread.Delay(o.server, order.Class, attempt)); err != nil {
				return err
			}
		}
		_, err := o.issuer.Issue(ctx, order)
		o.updateDump(func(d *OrdersDump) { d.Counts = o.issuer.Counts() })
		var failed *orders.FailedError
		if !errors.As(err, &failed) || failed.State != orders.Throttled {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *OrderReconciler) updateDump(fn func(d *OrdersDump)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fn(&o.dump)
}

// Dump returns the state dump.
func (o *OrderReconciler) Dump() OrdersDump {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dump
}
