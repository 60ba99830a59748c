// Package gatewayd wires a gateway process together.
package gatewayd

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/configsync/presence"
	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/ingress"
	"lavendermoor.example/platform"
	"lavendermoor.example/telemetry"
)

// Times and pauses of a gateway.
const (
	// configWaitShare is the part of the time for changes of the configuration for which a call waits for one. A call that
	// hears nothing although there was one is repeated within the rest.
	configWaitShare = 0.7
	configPause     = 20 * time.Millisecond
	// serversPauseShare is the part of the time for leaving servers in which changes of the list are collected; there are
	// several a second.
	serversPauseShare = 0.35
	serversWait       = 400 * time.Millisecond
	// stayAfterStop is how long a stopping process still takes every request: until the platform's balancer has noticed
	// twice that it is not ready. Idle connections of callers are closed then.
	stayAfterStop = 2700 * time.Millisecond
	// stopMargin is kept free before the platform ends the process.
	stopMargin     = 700 * time.Millisecond
	listenerGrace  = 300 * time.Millisecond
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 256 << 10
)

// gateway holds the parts of the process.
type gateway struct {
	set     atomic.Pointer[Settings]
	base    *process.Base
	log     *zap.Logger
	srv     *ingress.Server
	fleet   *balance.Fleet
	config  *mirror.Mirror
	servers *mirror.Mirror
	peers   *mirror.Peers
	// present are the gateways that share the servers and the bounds.
	present *presence.Presence
	shared  sharedBounds
	conns   *conns
	admin   *telemetry.Admin
}

// Run runs a gateway until the context ends and its requests are answered. Changes of the settings file are taken up.
func Run(ctx context.Context, s Settings, file string, logs io.Writer) error {
	process.LimitMemory(s.MemoryMB)
	out, stopLogs := telemetry.StartLogs(ctx, logs)
	defer stopLogs()
	g, err := build(s, out)
	if err != nil {
		return err
	}
	listeners, err := process.Listen(ctx, s.Listen, s.ReadyListen, s.ControlListen)
	if err != nil {
		return err
	}
	watching, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatch()
	go settings.Watch(watching, file, Defaults, g.reload, g.log)
	err = g.run(ctx, listeners)
	g.log.Info("stopped", zap.Error(err))
	return err
}

func build(s Settings, out *telemetry.BoundedWriter) (*gateway, error) {
	g := &gateway{conns: newConns(), peers: mirror.NewPeers(process.PeerClient(0), s.Peers)}
	g.set.Store(&s)
	g.shared.set(g.retryBounds(0))
	base, err := process.New(out, "gateway", s.Name, s.LogLevel)
	if err != nil {
		return nil, err
	}
	count, err := base.PlatformMetrics(out)
	if err != nil {
		return nil, err
	}
	g.base, g.log = base, base.Log
	metrics, err := ingress.NewMetrics(base.Meter)
	if err != nil {
		return nil, err
	}
	dialect := platform.Dialect{}
	g.fleet = balance.NewFleet(dialect, s.FailureDomain)
	store := platform.NewStore(s.Store, count)
	g.follow(store)
	self := presence.Member{Name: s.Name, Address: s.ControlListen, Domain: s.FailureDomain}
	g.present = presence.New(store, presencePrefix, self, g.log)
	g.srv = ingress.New(ingress.Options{
		Dialect: dialect, Fleet: g.fleet, Log: g.log, Metrics: metrics, Random: rand.Float64,
		ConfigAge: g.config.Age,
		NewBudget: func() ingress.RetryBudget { return g.shared.newBudget() },
	})
	err = telemetry.Register(base.Meter, []telemetry.Instrument{{
		Name: "lavendermoor.gateway.peers", Description: "Gateways listed at the last read.",
		Value: func() int64 { return int64(len(g.present.Members())) },
	}})
	g.admin = base.Admin(func() any { return g.srv.Dump() }, g.srv.Ready)
	return g, err
}

// reload takes up settings that can change while the process runs. Addresses stay as they were at the start.
func (g *gateway) reload(s Settings) {
	g.set.Store(&s)
	g.peers.SetAddresses(s.Peers)
	g.base.SetLevel(s.LogLevel)
	process.LimitMemory(s.MemoryMB)
}

// follow makes the mirrors of the configuration and of the servers.
func (g *gateway) follow(store *platform.Store) {
	set := g.set.Load()
	configWait := time.Duration(configWaitShare * float64(set.ConfigMS) * float64(time.Millisecond))
	serversPause := time.Duration(serversPauseShare * float64(set.DrainMS) * float64(time.Millisecond))
	g.config = mirror.New(mirror.Options{
		Source: store, Prefix: platform.ConfigPrefix, PollWait: configWait, PollDelay: configPause,
		FetchFromPeer: g.peers.FetchSnapshot, FollowReader: g.askReader,
		OnChange: func(s *mirror.Snapshot, _ time.Time) { g.configChanged(s) }, Log: g.log,
	})
	g.servers = mirror.New(mirror.Options{
		Source: store, Prefix: platform.ServersPrefix, PollWait: serversWait, PollDelay: serversPause,
		FetchFromPeer: g.peers.FetchSnapshot, FollowReader: g.askReader,
		OnChange: func(s *mirror.Snapshot, keepUntil time.Time) { g.serversChanged(s.Entries, keepUntil) }, Log: g.log,
	})
}

func (g *gateway) configChanged(s *mirror.Snapshot) {
	c, err := platform.DecodeCatalog(s.Entries)
	if err != nil {
		g.log.Warn("configuration not taken", zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision), zap.Error(err))
		return
	}
	if g.srv.SetCatalog(c) {
		g.log.Info("configuration in force", zap.Int64("config_version", c.Version), zap.Int64("era", s.At.Era),
			zap.Int64("revision", s.At.Revision),
			zap.Int("routes", len(c.Routes)), zap.Int("keys", len(c.Keys)))
	}
}

func (g *gateway) serversChanged(entries map[string]kv.Entry, keepUntil time.Time) {
	servers, failed := platform.DecodeServers(entries)
	for _, err := range failed {
		g.log.Debug("entry of the servers list left out", zap.Error(err))
	}
	g.logChanges(g.fleet.Update(servers, keepUntil, time.Now()))
}

func (g *gateway) logChanges(changes []balance.Change) {
	for _, c := range changes {
		g.log.Info("backend server "+c.What, zap.String("server", c.Server.ID),
			zap.String("service", c.Server.Service), zap.String("address", c.Server.Address),
			zap.Duration("list_age", g.servers.Age()))
	}
}

// settle removes servers whose entries did not come back after an outage, until the context ends.
func (g *gateway) settle(ctx context.Context) {
	const every = 100 * time.Millisecond
	for {
		process.Pause(ctx, every)
		if ctx.Err() != nil {
			return
		}
		g.logChanges(g.fleet.RemoveExpired(time.Now()))
	}
}

// run serves until the context ends, then finishes what runs. The listeners are those for callers, for the platform's
// question whether the process is ready, and for control.
func (g *gateway) run(ctx context.Context, listeners []net.Listener) error {
	callers := &http.Server{
		Handler: g.srv, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.conns.changed,
	}
	start := func(serving context.Context, group *errgroup.Group) {
		group.Go(func() error { g.config.Run(serving); return nil })
		group.Go(func() error { g.servers.Run(serving); return nil })
		group.Go(func() error { g.srv.RunHousekeeping(serving); return nil })
		group.Go(func() error { g.settle(serving); return nil })
		group.Go(func() error { g.present.Run(serving); return nil })
		group.Go(func() error { g.followPresence(serving); return nil })
		group.Go(func() error { g.followGroups(serving); return nil })
		group.Go(func() error {
			return telemetry.ServeServer(serving, g.conns.listen(listeners[0]), callers, listenerGrace)
		})
		group.Go(func() error { return telemetry.Serve(serving, listeners[1], g.readyHandler(), listenerGrace) })
		group.Go(func() error { return telemetry.Serve(serving, listeners[2], g.controlHandler(), listenerGrace) })
		g.log.Info("started", zap.Stringer("listen", listeners[0].Addr()))
	}
	return process.RunUntilDone(ctx, start, g.finish)
}

// finish tells callers and the platform to go elsewhere, and waits for the requests that run.
func (g *gateway) finish() {
	now := time.Now()
	end := now.Add(time.Duration(g.set.Load().GraceSeconds*float64(time.Second)) - stopMargin)
	g.srv.Drain(now.Add(stayAfterStop), end)
	g.log.Info("stopping", zap.Int64("active", g.srv.Active()))
	time.Sleep(stayAfterStop)
	g.conns.closeIdle()
	for g.srv.Active()+int64(g.conns.busy()) > 0 && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (g *gateway) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.srv.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (g *gateway) controlHandler() http.Handler {
	r := mux.NewRouter()
	mirrors := map[string]*mirror.Mirror{platform.ConfigPrefix: g.config, platform.ServersPrefix: g.servers}
	r.HandleFunc(mirror.FollowPath, mirror.FollowHandler(mirrors, g.log)).Methods(http.MethodGet)
	r.HandleFunc(mirror.SnapshotPath, mirror.SnapshotHandler(mirrors, g.log)).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(g.admin.Handler())
	return r
}
