package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/instances"
	"lavendermoor.example/cmd/internal/callers"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/entry"
	"lavendermoor.example/entry/operator"
	"lavendermoor.example/entry/upstream"
	"lavendermoor.example/routing"
	"lavendermoor.example/telemetry"
)

// maxHeaderBytes bounds the request headers that the HTTP server reads. It exceeds the largest limit that operators can
// set, so that a request over the configured limit gets a typed error.
const maxHeaderBytes = 2 << 20

// entryDump is the state dump of an entry process.
type entryDump struct {
	Entry     entry.Dump           `json:"entry"`
	Refused   string               `json:"refused_configuration,omitempty"`
	Instances []instances.Instance `json:"instances"`
	Upstream  upstream.Counts      `json:"upstream"`
	// Servers are the reasons why backend servers get no requests, by server name.
	Servers map[string]string `json:"servers,omitempty"`
}

// RunEntry runs an entry process until the context ends and its running requests have completed.
func RunEntry(ctx context.Context, s entry.Settings, l *Listeners, logs io.Writer) error {
	out, stopLogs := telemetry.StartLogWriter(ctx, logs)
	defer stopLogs()
	c, err := newControlPlane(identity{
		program: "entry", name: s.Name, failureDomain: s.FailureDomain, peerAddress: l.Peers.Addr().String(),
		keyValueURL: s.KeyValue, instanceURL: s.Instances, logLevel: s.LogLevel,
	}, out)
	if err != nil {
		return err
	}
	metrics, err := entry.NewMetrics(c.meter)
	if err != nil {
		return err
	}
	policy, err := routing.PolicyByName(s.RoutingPolicy)
	if err != nil {
		return err
	}
	discovery := upstream.NewDiscovery(c.node, policy, s.FailureDomain, rand.Uint64())
	client := upstream.New(upstream.Options{Router: discovery.Router, Members: discovery.Members})
	if err := client.Register(c.meter); err != nil {
		return err
	}
	srv := entry.New(entry.Options{
		Name: s.Name, FailureDomain: s.FailureDomain, Configuration: c.node, Upstream: entry.NewUpstream(client),
		Quota: &entry.Quota{
			Limiter: routing.NewQuotaLimiter(), Entries: func() int { return discovery.Members.View().Entries },
		},
		Metrics: metrics, Log: c.log, BodyBytes: int64(s.MemoryMB * (1 << 20) / bodyMemoryFraction),
	})
	tracker := newCallerTracker(s, c)
	server, err := callerServer(s, c, srv, tracker)
	if err != nil {
		return err
	}
	if err := telemetry.RegisterInstruments(c.meter, append(tracker.Instruments(), telemetry.Instrument{
		Name: "lavendermoor.entry.body_bytes", Unit: "By", Description: "Memory that request bodies hold.",
		Value: srv.BodyBytes,
	})); err != nil {
		return err
	}
	if err := callers.LimitSocketBuffers(l.Callers); err != nil {
		return err
	}
	peers := mux.NewRouter()
	c.register(peers, func() bool { return !srv.Ready() })
	dump := func() any {
		return entryDump{
			Entry: srv.Dump(), Refused: c.node.Refused(), Instances: c.instances(), Upstream: client.Counts(),
			Servers: discovery.Members.View().UnusableReasons(),
		}
	}

	start := func(serving context.Context, group *errgroup.Group) {
		group.Go(func() error {
			return c.run(serving, func(l instances.List) { discovery.ApplyInstanceList(serving, l) })
		})
		group.Go(func() error { discovery.Run(serving); return nil })
		group.Go(func() error { srv.RunHousekeeping(serving); return nil })
		group.Go(func() error { tracker.Run(serving, c.log); return nil })
		group.Go(func() error {
			return telemetry.ServeServer(serving, tracker.Wrap(l.Callers), server, listenerShutdownTimeout)
		})
		group.Go(func() error { return telemetry.ServePeers(serving, l.Peers, peers, listenerShutdownTimeout) })
		group.Go(func() error {
			return telemetry.Serve(serving, l.Admin, c.admin(dump, srv.Ready), listenerShutdownTimeout)
		})
		c.log.Info("entry started", zap.Stringer("listen", l.Callers.Addr()))
	}
	return process.RunUntilDone(ctx, start, func() {
		srv.Drain()
		c.waitForDrain(srv.Idle, s.DrainTimeout.D())
	})
}

// newCallerTracker returns the tracker that holds callers' connections to their limits.
func newCallerTracker(s entry.Settings, c *controlPlane) *callers.Tracker {
	connections := s.MaxConnections
	if connections == 0 {
		connections = callers.MaxConnections(telemetry.DescriptorLimit(), s.MemoryMB)
	}
	return callers.NewTracker(callers.Options{
		Limits: func() callers.Limits { return callerLimits(c.node) }, MaxConnections: connections, TLS: s.TLS != nil,
		MetricPrefix: "lavendermoor.entry",
	})
}

// callerLimits returns the limits of the active configuration. A header of up to headerErrorFactor times the limit is
// read, so that its caller gets a typed error.
func callerLimits(node entry.Configuration) callers.Limits {
	limits := callers.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if st := node.State(); st != nil {
		limits.HeaderBytes = headerErrorFactor * st.Limits().MaxHeaderBytes
	}
	return limits
}

func callerServer(s entry.Settings, c *controlPlane, srv *entry.Server, tracker *callers.Tracker) (*http.Server, error) {
	r := mux.NewRouter().UseEncodedPath()
	path, rpc := operator.New(operator.Options{
		Store: c.store, Node: c.node, BootstrapKeySHA256: s.BootstrapKeySHA256, Processes: c.expectedProcesses,
		Client: c.client, Log: c.log,
	})
	r.PathPrefix(path).Handler(rpc)
	srv.Register(r)
	server := &http.Server{Handler: r, MaxHeaderBytes: maxHeaderBytes}
	tracker.Attach(server)
	if s.TLS != nil {
		cfg, err := entry.ServerTLS(*s.TLS, c.log)
		if err != nil {
			return nil, err
		}
		server.TLSConfig = cfg
	}
	return server, nil
}

const (
	// headerTimeout bounds how long a caller may take to send the request headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection of a caller may be idle. It is above the idle time of common clients and
	// balancers.
	idleTimeout       = 2 * time.Minute
	headerErrorFactor = 2
	// bodyMemoryFraction is the part of the memory for request bodies: one eighth. A body is copied three times at most
	// while it is parsed and sent on.
	bodyMemoryFraction = 8
)
