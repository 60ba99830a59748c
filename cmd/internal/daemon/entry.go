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
	c, err := newControlPlane(identity{
		program: "entry", name: s.Name, failureDomain: s.FailureDomain, peerAddress: l.Peers.Addr().String(),
		keyValueURL: s.KeyValue, instanceURL: s.Instances, logLevel: s.LogLevel,
	}, logs)
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
		Metrics: metrics, Log: c.log,
	})
	callers, err := callerServer(s, c, srv)
	if err != nil {
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
		group.Go(func() error { return telemetry.ServeServer(serving, l.Callers, callers, listenerShutdownTimeout) })
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

func callerServer(s entry.Settings, c *controlPlane, srv *entry.Server) (*http.Server, error) {
	r := mux.NewRouter().UseEncodedPath()
	path, rpc := operator.New(operator.Options{
		Store: c.store, Node: c.node, BootstrapKeySHA256: s.BootstrapKeySHA256, Processes: c.expectedProcesses,
		Client: c.client, Log: c.log,
	})
	r.PathPrefix(path).Handler(rpc)
	srv.Register(r)
	callers := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	if s.TLS != nil {
		cfg, err := entry.ServerTLS(*s.TLS, c.log)
		if err != nil {
			return nil, err
		}
		callers.TLSConfig = cfg
	}
	return callers, nil
}

// headerTimeout bounds how long a caller may take to send the request headers.
const headerTimeout = 10 * time.Second
