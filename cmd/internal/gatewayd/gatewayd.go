// Package gatewayd assembles a gateway process from its parts.
package gatewayd

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/cmd/internal/callers"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/configsync/presence"
	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/ingress"
	"lavendermoor.example/gateway/quarantine"
	"lavendermoor.example/platform"
	"lavendermoor.example/telemetry"
	"lavendermoor.example/telemetry/buildinfo"
)

// Durations and limits of a gateway.
const (
	// configPollWaitFraction is the wait of a long poll for configuration changes as a fraction of Settings.ConfigMS. The
	// rest of that time allows another poll after one that missed a change.
	configPollWaitFraction = 0.7
	configPollDelay        = 20 * time.Millisecond
	// serversPollDelayFraction is the delay between two polls of the server list as a fraction of Settings.DrainMS. One
	// poll fetches the changes of that time together, as the list changes several times a second.
	serversPollDelayFraction = 0.35
	serversPollWait          = 400 * time.Millisecond
	// drainDelay is how long a stopping process still accepts every request: until two readiness probes of the platform's
	// load balancer have failed. After it, idle connections of callers are closed.
	drainDelay = 2700 * time.Millisecond
	// shutdownMargin is left between the end of the drain and the time at which the platform kills the process.
	shutdownMargin          = 700 * time.Millisecond
	listenerShutdownTimeout = 300 * time.Millisecond
	drainPollInterval       = 20 * time.Millisecond
	// lastResponsesTime is left after the end of the drain for the responses to the requests that are given up then.
	lastResponsesTime = 150 * time.Millisecond
	// bufferMemoryFraction is the part of the memory that request bodies and the long events and bodies of servers may
	// hold.
	bufferMemoryFraction = 0.125
	// requestLogFraction is the part of the log's volume for a line for each request. The rest is for changes of what the
	// process believes, which explain those lines.
	requestLogFraction = 0.75
	// maxHeaderBytes is above every limit of a configuration. callers.Tracker applies that of the active one.
	maxHeaderBytes = 1 << 20
)

// gateway holds the parts of the process.
type gateway struct {
	settings atomic.Pointer[Settings]
	obs      *process.Observability
	log      *zap.Logger
	srv      *ingress.Server
	fleet    *balance.Fleet
	config   *mirror.Mirror
	servers  *mirror.Mirror
	// configDecoder decodes what config holds.
	configDecoder platform.ConfigDecoder
	// suspects are the records of parts of prompts that are suspected to crash servers.
	suspects *mirror.Mirror
	sharing  *quarantine.Sharing
	peers    *mirror.Peers
	// evacuations applies the evacuation records to the fleet.
	evacuations *evacuationFollower
	// presence lists the gateways that share the servers and the retry budget.
	presence     *presence.Presence
	retryBudgets retryBudgets
	conns        *callers.Tracker
	admin        *telemetry.Admin
	pauses       pauseDetector
	// invalidEntries counts the entries of the server list that are not of a server.
	invalidEntries invalidEntries
	// refusedConfigs counts the values of the configuration's key that are not applied.
	refusedConfigs refusedConfigs
	// serverKnowledge decides whether the servers that are known suffice to be ready.
	serverKnowledge serverKnowledge
}

// Run runs a gateway until the context ends and its running requests have completed. It applies changes of the settings
// file.
func Run(ctx context.Context, s Settings, file string, logs io.Writer) error {
	process.SetMemoryLimit(s.MemoryMB)
	out, stopLogs := telemetry.StartLogWriter(ctx, logs)
	defer stopLogs()
	g, err := newGateway(s, out)
	if err != nil {
		return err
	}
	listeners, err := process.Listen(ctx, g.log, s.Listen, s.ReadyListen, s.ControlListen)
	if err != nil {
		return err
	}
	watching, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatch()
	go settings.Watch(watching, file, DefaultSettings, g.reload, g.log)
	err = g.run(ctx, listeners)
	g.log.Info("stopped", zap.Error(err))
	return err
}

func newGateway(s Settings, out *telemetry.BoundedWriter) (*gateway, error) {
	obs, err := process.NewObservability(out, "gateway", s.Name, s.LogLevel)
	if err != nil {
		return nil, err
	}
	s.Peers = s.usablePeers(obs.Log)
	g := &gateway{peers: mirror.NewPeers(process.PeerClient(0), s.Peers)}
	g.settings.Store(&s)
	g.retryBudgets.setConfig(g.retryBudgetConfig(0))
	observeCall, err := obs.RegisterPlatformMetrics(out)
	if err != nil {
		return nil, err
	}
	g.obs, g.log = obs, obs.Log
	metrics, err := ingress.NewMetrics(obs.Meter)
	if err != nil {
		return nil, err
	}
	dialect := platform.Dialect{}
	g.fleet = balance.NewFleet(dialect, s.FailureDomain)
	g.fleet.SetRegions(s.Regions)
	g.evacuations = &evacuationFollower{gateway: g}
	store := platform.NewStore(s.Store, observeCall)
	suspected := quarantine.New()
	g.sharing = quarantine.NewSharing(quarantine.SharingOptions{
		Store: store, Quarantine: suspected, Client: process.PeerClient(0), Peers: g.peerAddresses, Log: g.log,
	})
	g.createMirrors(store)
	self := presence.Member{
		Name: s.Name, Address: s.ControlListen, Domain: s.FailureDomain, Build: buildinfo.Current().Short(),
	}
	g.presence = presence.New(store, presencePrefix, self, g.log)
	g.peers.SetAddresses(g.peerAddresses())
	g.srv = ingress.New(ingress.Options{
		Dialect: dialect, Fleet: g.fleet, Log: g.log, Metrics: metrics,
		RequestLog: telemetry.NewLoggerAt(out.Share(requestLogFraction), "gateway", s.Name, obs.Level),
		Random:     rand.Float64,
		ConfigAge:  g.config.Age,
		NewBudget:  func() ingress.RetryBudget { return g.retryBudgets.newBudget() },
		Quarantine: suspected, Sharing: g.sharing,
		BufferBytes: int64(bufferMemoryFraction * s.MemoryMB * (1 << 20)),
	})
	g.conns = callers.NewTracker(callers.Options{
		Limits: g.callerLimits, MaxConnections: s.maxConnections(), MetricPrefix: "lavendermoor.gateway",
	})
	err = telemetry.RegisterInstruments(obs.Meter, append(g.conns.Instruments(), g.instruments(suspected)...))
	g.admin = obs.Admin(func() any { return g.srv.Dump() }, g.ready)
	return g, err
}

// callerLimits returns the limits of the active configuration, the defaults before the first one.
func (g *gateway) callerLimits() callers.Limits {
	c := g.srv.Catalog()
	if c == nil {
		return callers.Limits{}
	}
	l := c.Limits
	return callers.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// reload applies the settings that can change while the process runs. Changes of the others, such as the listen
// addresses, need a restart.
func (g *gateway) reload(s Settings) {
	s.Peers = s.usablePeers(g.log)
	g.settings.Store(&s)
	g.peers.SetAddresses(g.peerAddresses())
	g.fleet.SetRegions(s.Regions)
	g.obs.SetLogLevel(s.LogLevel)
	process.SetMemoryLimit(s.MemoryMB)
}

// ready reports whether the gateway can serve requests. Without the server list it would refuse all of them.
func (g *gateway) ready() bool { return g.serverKnowledge.sufficient.Load() && g.srv.Ready() }

// run serves until the context ends, then drains. The listeners are those for callers, readiness probes and control, in
// this order.
func (g *gateway) run(ctx context.Context, listeners []net.Listener) error {
	// callers.Tracker limits the time of headers and of idle connections.
	server := &http.Server{Handler: g.srv, MaxHeaderBytes: maxHeaderBytes, BaseContext: g.srv.BaseContext}
	g.conns.Attach(server)
	if err := callers.LimitSocketBuffers(listeners[0]); err != nil {
		return err
	}
	start := func(serving context.Context, group *errgroup.Group) {
		group.Go(func() error { g.config.Run(serving); return nil })
		group.Go(func() error { g.servers.Run(serving); return nil })
		group.Go(func() error { g.suspects.Run(serving); return nil })
		group.Go(func() error { g.sharing.Run(serving); return nil })
		group.Go(func() error { g.srv.RunHousekeeping(serving); return nil })
		group.Go(func() error { g.removeExpired(serving); return nil })
		group.Go(func() error { g.pauses.run(serving); return nil })
		group.Go(func() error { g.conns.Run(serving, g.log); return nil })
		group.Go(func() error { g.presence.Run(serving); return nil })
		group.Go(func() error { g.followPresence(serving); return nil })
		group.Go(func() error { g.pollGroups(serving); return nil })
		group.Go(func() error {
			return telemetry.ServeServer(serving, g.conns.Wrap(listeners[0]), server, listenerShutdownTimeout)
		})
		group.Go(func() error { return telemetry.Serve(serving, listeners[1], g.readyHandler(), listenerShutdownTimeout) })
		group.Go(func() error {
			return telemetry.Serve(serving, listeners[2], g.controlHandler(), listenerShutdownTimeout)
		})
		g.log.Info("started", zap.Stringer("listen", listeners[0].Addr()))
	}
	return process.RunUntilDone(ctx, start, g.drain)
}

// peerAddresses returns the control addresses of the other gateways, those of the settings while the list is unknown.
func (g *gateway) peerAddresses() []string {
	s := g.settings.Load()
	addresses := slices.Clone(s.Peers)
	for _, m := range g.presence.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	isSelf := func(address string) bool { return address == s.ControlListen }
	return slices.DeleteFunc(slices.Compact(addresses), isSelf)
}

// drain makes the readiness probe fail and each connection close after its response, and waits for the running
// requests.
func (g *gateway) drain() {
	now := time.Now()
	grace := time.Duration(g.settings.Load().GraceSeconds*float64(time.Second)) - shutdownMargin
	// What runs may go on until the latest possible end, and what arrives must end before the earliest one.
	begun, end := g.pauses.earliestSignal(now), now.Add(grace)
	g.srv.Drain(begun.Add(drainDelay), begun.Add(grace), end)
	g.log.Info("stopping", zap.Int64("active", g.srv.InFlight()), zap.Duration("late", now.Sub(begun)))
	time.Sleep(time.Until(begun.Add(drainDelay)))
	g.conns.CloseIdle()
	g.waitUntilIdle(end.Add(lastResponsesTime))
	// A request may just begin on a connection that was accepted before.
	g.conns.StopAccepting()
	g.waitUntilIdle(end.Add(lastResponsesTime))
	g.log.Info("drain ended", zap.Duration("took", time.Since(now)), zap.Int64("active", g.srv.InFlight()),
		zap.Int("busy_connections", g.conns.BusyCount()))
}

// waitUntilIdle waits until no request is being read or served, but not beyond a time.
func (g *gateway) waitUntilIdle(latest time.Time) {
	for g.srv.InFlight()+int64(g.conns.BusyCount()) > 0 && time.Now().Before(latest) {
		time.Sleep(drainPollInterval)
	}
}

func (g *gateway) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (g *gateway) controlHandler() http.Handler {
	r := mux.NewRouter()
	mirrors := map[string]*mirror.Mirror{
		platform.ConfigPrefix: g.config, platform.ServersPrefix: g.servers, quarantine.RecordPrefix: g.suspects,
	}
	r.HandleFunc(mirror.PathFollow, mirror.FollowHandler(mirrors, g.log)).Methods(http.MethodGet)
	r.HandleFunc(quarantine.PathCrash, g.sharing.CrashHandler()).Methods(http.MethodPost)
	r.HandleFunc(mirror.PathSnapshot, mirror.SnapshotHandler(mirrors, g.log)).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(g.admin.Handler())
	return r
}
