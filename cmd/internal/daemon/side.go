package daemon

import (
	"context"
	"io"
	"net/url"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/expertmap/controller"
	"lavendermoor.example/idempotency/peer"
	"lavendermoor.example/platform/engine"
	"lavendermoor.example/platform/instances"
	"lavendermoor.example/side"
	"lavendermoor.example/telemetry"
)

// sideDump is the state dump of a side process.
type sideDump struct {
	Side      side.Dump            `json:"side"`
	Once      peer.Dump            `json:"once"`
	Refused   string               `json:"refused_configuration,omitempty"`
	Instances []instances.Instance `json:"instances"`
	// Experts and Orders are set where the settings enable them.
	Experts *controller.Dump `json:"experts,omitempty"`
	Orders  *side.OrdersDump `json:"orders,omitempty"`
}

// Side runs a side process until the context ends and its work is done.
func Side(ctx context.Context, s side.Settings, l *Listeners, logs io.Writer) error {
	c, err := newControl(identity{
		program: "side", name: s.Name, failureDomain: s.FailureDomain, peerAddress: l.Peers.Addr().String(),
		keyValue: s.KeyValue, instanceURL: s.Instances, logLevel: s.LogLevel,
	}, logs)
	if err != nil {
		return err
	}
	backend, err := url.Parse(s.Backend)
	if err != nil {
		return err
	}
	g, err := newGroupControl(s, backend, c)
	if err != nil {
		return err
	}
	queue, err := side.NewQueue(s)
	if err != nil {
		return err
	}
	node := newOnce(ctx, c)
	srv := side.New(side.Options{
		Name: s.Name, Incarnation: node.Self().Incarnation, Configuration: c.node, Backend: engine.NewClient(backend),
		Admission: queue, Calls: node, Log: c.log, Slow: g.slow, Continues: s.EngineContinues,
	})
	if err := telemetry.Register(c.meter, srv.Instruments()); err != nil {
		return err
	}
	peers := mux.NewRouter()
	c.register(peers, srv.Draining)
	srv.Register(peers)
	node.Register(peers)
	ready := func() bool { return srv.Ready() && node.Ready() }
	dump := func() any {
		d := sideDump{Side: srv.Dump(), Once: node.Dump(), Refused: c.node.Refused(), Instances: c.instances()}
		g.dump(&d)
		return d
	}

	// Listeners and control path outlive the termination signal until the work is done.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	drain := func() { srv.Drain(); node.Drain() }
	leaving := side.NewLeavingWatch(s.Name, l.Peers.Addr().String(), drain)
	group.Go(func() error { return c.run(serving, leaving.Observe) })
	group.Go(func() error { queue.FollowSlots(serving, c.node, s.Name); return nil })
	g.start(serving, group)
	startOnce(serving, group, c, node)
	group.Go(func() error { return telemetry.Serve(serving, l.Peers, peers, stopGrace) })
	group.Go(func() error { return telemetry.Serve(serving, l.Admin, c.admin(dump, ready), stopGrace) })
	c.log.Info("side process started", zap.Stringer("listen", l.Peers.Addr()))
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return group.Wait()
	}
	drain()
	c.log.Info("draining")
	time.Sleep(lameDuck)
	if !waitIdle(srv.Idle, s.DrainTimeout.D()) {
		c.log.Warn("drain timeout passed with work running")
	}
	handOver(node)
	stop()
	return group.Wait()
}

// groupControl holds the parts that act for a whole model group; those that the settings do not enable are nil.
type groupControl struct {
	experts *side.Experts
	orders  *side.Orders
}

func newGroupControl(s side.Settings, backend *url.URL, c *control) (*groupControl, error) {
	g := &groupControl{}
	if s.Experts != nil {
		var err error
		if g.experts, err = side.NewExperts(s.Name, *s.Experts, c.node, c.kv, c.log); err != nil {
			return nil, err
		}
	}
	if s.Orders != nil {
		g.orders = side.NewOrders(s.Name, *s.Orders, backend, c.node, c.kv, c.log)
	}
	return g, nil
}

func (g *groupControl) start(ctx context.Context, group *errgroup.Group) {
	if g.experts != nil {
		group.Go(func() error { g.experts.Run(ctx); return nil })
	}
	if g.orders != nil {
		group.Go(func() error { g.orders.Run(ctx); return nil })
	}
}

func (g *groupControl) slow() bool { return g.experts != nil && g.experts.Slow() }

func (g *groupControl) dump(d *sideDump) {
	if g.experts != nil {
		d.Experts = g.experts.Dump()
	}
	if g.orders != nil {
		o := g.orders.Dump()
		d.Orders = &o
	}
}
