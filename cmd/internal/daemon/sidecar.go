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

// sidecarDump is the state dump of a sidecar.
type sidecarDump struct {
	Side      side.Dump            `json:"side"`
	Calls     peer.Dump            `json:"once"`
	Refused   string               `json:"refused_configuration,omitempty"`
	Instances []instances.Instance `json:"instances"`
	// Experts and Orders are nil unless the settings enable them.
	Experts *controller.Dump `json:"experts,omitempty"`
	Orders  *side.OrdersDump `json:"orders,omitempty"`
}

// sidecarProcess holds the parts of a sidecar.
type sidecarProcess struct {
	settings side.Settings
	control  *controlPlane
	groups   *groupControllers
	queue    *side.Queue
	calls    *peer.Node
	server   *side.Server
}

// RunSidecar runs a sidecar until the context ends and its running work has completed.
func RunSidecar(ctx context.Context, s side.Settings, l *Listeners, logs io.Writer) error {
	out, stopLogs := telemetry.StartLogWriter(ctx, logs)
	defer stopLogs()
	c, err := newControlPlane(identity{
		program: "side", name: s.Name, failureDomain: s.FailureDomain, peerAddress: l.Peers.Addr().String(),
		keyValueURL: s.KeyValue, instanceURL: s.Instances, logLevel: s.LogLevel,
	}, out)
	if err != nil {
		return err
	}
	p, err := newSidecarProcess(ctx, s, c)
	if err != nil {
		return err
	}
	start := func(serving context.Context, group *errgroup.Group) {
		p.start(serving, group, l)
		c.log.Info("sidecar started", zap.Stringer("listen", l.Peers.Addr()))
	}
	return process.RunUntilDone(ctx, start, p.drainAndHandOver)
}

func newSidecarProcess(ctx context.Context, s side.Settings, c *controlPlane) (*sidecarProcess, error) {
	p := &sidecarProcess{settings: s, control: c}
	backend, err := url.Parse(s.Backend)
	if err != nil {
		return nil, err
	}
	if p.groups, err = newGroupControllers(s, backend, c); err != nil {
		return nil, err
	}
	if p.queue, err = side.NewQueue(s); err != nil {
		return nil, err
	}
	p.calls = newCallNode(ctx, c)
	p.server = side.New(side.Options{
		Name: s.Name, Incarnation: p.calls.Self().Incarnation, Configuration: c.node,
		Backend: engine.NewClient(backend), Admission: p.queue, Calls: p.calls, Log: c.log, Slow: p.groups.slow,
		SupportsContinuation: s.EngineContinues,
	})
	return p, telemetry.RegisterInstruments(c.meter, p.server.Instruments())
}

// start runs all parts until the context ends.
func (p *sidecarProcess) start(ctx context.Context, group *errgroup.Group, l *Listeners) {
	peers := mux.NewRouter()
	p.control.register(peers, p.server.Draining)
	p.server.Register(peers)
	p.calls.Register(peers)
	leaving := side.NewLeavingWatcher(p.settings.Name, l.Peers.Addr().String(), p.drain)
	group.Go(func() error { return p.control.run(ctx, leaving.Observe) })
	group.Go(func() error { p.queue.FollowSlots(ctx, p.control.node, p.settings.Name); return nil })
	p.groups.start(ctx, group)
	startCallNode(ctx, group, p.control, p.calls)
	group.Go(func() error { return telemetry.ServePeers(ctx, l.Peers, peers, listenerShutdownTimeout) })
	group.Go(func() error {
		return telemetry.Serve(ctx, l.Admin, p.control.admin(p.dump, p.ready), listenerShutdownTimeout)
	})
}

func (p *sidecarProcess) ready() bool { return p.server.Ready() && p.calls.Ready() }

func (p *sidecarProcess) dump() any {
	d := sidecarDump{
		Side: p.server.Dump(), Calls: p.calls.Dump(), Refused: p.control.node.Refused(),
		Instances: p.control.instances(),
	}
	p.groups.dump(&d)
	return d
}

func (p *sidecarProcess) drain() {
	p.server.Drain()
	p.calls.Drain()
}

// drainAndHandOver drains the sidecar, waits for its running work, and hands the token outcomes over to another server,
// because callers may still request them.
func (p *sidecarProcess) drainAndHandOver() {
	p.drain()
	p.control.waitForDrain(p.server.Idle, p.settings.DrainTimeout.D())
	handOverOutcomes(p.calls)
}

// groupControllers are the controllers of a whole model group. Those that the settings do not enable are nil.
type groupControllers struct {
	experts *side.ExpertMapRunner
	orders  *side.OrderReconciler
}

func newGroupControllers(s side.Settings, backend *url.URL, c *controlPlane) (*groupControllers, error) {
	g := &groupControllers{}
	if s.Experts != nil {
		var err error
		if g.experts, err = side.NewExpertMapRunner(s.Name, *s.Experts, c.node, c.kv, c.log); err != nil {
			return nil, err
		}
	}
	if s.Orders != nil {
		g.orders = side.NewOrderReconciler(s.Name, *s.Orders, backend, c.node, c.kv, c.log)
	}
	return g, nil
}

func (g *groupControllers) start(ctx context.Context, group *errgroup.Group) {
	if g.experts != nil {
		group.Go(func() error { g.experts.Run(ctx); return nil })
	}
	if g.orders != nil {
		group.Go(func() error { g.orders.Run(ctx); return nil })
	}
}

func (g *groupControllers) slow() bool { return g.experts != nil && g.experts.Slow() }

func (g *groupControllers) dump(d *sidecarDump) {
	if g.experts != nil {
		d.Experts = g.experts.Dump()
	}
	if g.orders != nil {
		o := g.orders.Dump()
		d.Orders = &o
	}
}
