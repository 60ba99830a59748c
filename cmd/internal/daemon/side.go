package daemon

import (
	"context"
	"io"
	"net/url"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/engine"
	"lavendermoor.example/clients/instances"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/expertmap/controller"
	"lavendermoor.example/idempotency/peer"
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

// sideProcess holds the parts of a side process.
type sideProcess struct {
	set     side.Settings
	control *control
	group   *groupControl
	queue   *side.Queue
	once    *peer.Node
	server  *side.Server
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
	p, err := newSideProcess(ctx, s, c)
	if err != nil {
		return err
	}
	start := func(serving context.Context, group *errgroup.Group) {
		p.start(serving, group, l)
		c.log.Info("side process started", zap.Stringer("listen", l.Peers.Addr()))
	}
	return process.RunUntilDone(ctx, start, p.finish)
}

func newSideProcess(ctx context.Context, s side.Settings, c *control) (*sideProcess, error) {
	p := &sideProcess{set: s, control: c}
	backend, err := url.Parse(s.Backend)
	if err != nil {
		return nil, err
	}
	if p.group, err = newGroupControl(s, backend, c); err != nil {
		return nil, err
	}
	if p.queue, err = side.NewQueue(s); err != nil {
		return nil, err
	}
	p.once = newOnce(ctx, c)
	p.server = side.New(side.Options{
		Name: s.Name, Incarnation: p.once.Self().Incarnation, Configuration: c.node,
		Backend: engine.NewClient(backend), Admission: p.queue, Calls: p.once, Log: c.log, Slow: p.group.slow,
		SupportsContinuation: s.EngineContinues,
	})
	return p, telemetry.Register(c.meter, p.server.Instruments())
}

// start runs all parts until the context ends.
func (p *sideProcess) start(ctx context.Context, group *errgroup.Group, l *Listeners) {
	peers := mux.NewRouter()
	p.control.register(peers, p.server.Draining)
	p.server.Register(peers)
	p.once.Register(peers)
	leaving := side.NewLeavingWatcher(p.set.Name, l.Peers.Addr().String(), p.drain)
	group.Go(func() error { return p.control.run(ctx, leaving.Observe) })
	group.Go(func() error { p.queue.FollowSlots(ctx, p.control.node, p.set.Name); return nil })
	p.group.start(ctx, group)
	startOnce(ctx, group, p.control, p.once)
	group.Go(func() error { return telemetry.Serve(ctx, l.Peers, peers, stopGrace) })
	group.Go(func() error { return telemetry.Serve(ctx, l.Admin, p.control.admin(p.dump, p.ready), stopGrace) })
}

func (p *sideProcess) ready() bool { return p.server.Ready() && p.once.Ready() }

func (p *sideProcess) dump() any {
	d := sideDump{
		Side: p.server.Dump(), Once: p.once.Dump(), Refused: p.control.node.Refused(),
		Instances: p.control.instances(),
	}
	p.group.dump(&d)
	return d
}

func (p *sideProcess) drain() {
	p.server.Drain()
	p.once.Drain()
}

// finish drains, waits for the end of the work and hands over what callers may still ask for.
func (p *sideProcess) finish() {
	p.drain()
	p.control.awaitIdle(p.server.Idle, p.set.DrainTimeout.D())
	handOver(p.once)
}

// groupControl holds the parts that act for a whole model group; those that the settings do not enable are nil.
type groupControl struct {
	experts *side.ExpertMapController
	orders  *side.OrderReconciler
}

func newGroupControl(s side.Settings, backend *url.URL, c *control) (*groupControl, error) {
	g := &groupControl{}
	if s.Experts != nil {
		var err error
		if g.experts, err = side.NewExpertMapController(s.Name, *s.Experts, c.node, c.kv, c.log); err != nil {
			return nil, err
		}
	}
	if s.Orders != nil {
		g.orders = side.NewOrderReconciler(s.Name, *s.Orders, backend, c.node, c.kv, c.log)
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
