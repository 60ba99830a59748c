package telemetry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// Admin serves the admin endpoints of a process: state dump, metrics, health, profiles and log level.
type Admin struct {
	// State returns the state dump, which must not contain secrets. It must be safe for concurrent use.
	State func() any
	// Ready reports whether the process accepts new requests.
	Ready    func() bool
	Registry *prometheus.Registry
	Level    zap.AtomicLevel
	Log      *zap.Logger
}

// Handler returns the handler of the admin listener.
func (a *Admin) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/debug/state", a.serveState).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.serveReady)
	r.Handle("/debug/loglevel", http.MaxBytesHandler(a.Level, maxLevelBytes))
	r.Handle("/metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return r
}

// maxLevelBytes bounds the body that sets the log level.
const maxLevelBytes = 1 << 10

func (a *Admin) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(a.State()); err != nil {
		a.Log.Warn("failed to write the state dump", zap.Error(err))
	}
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Limits of the connections to a port that is not for callers.
const (
	// headerTimeout limits the time that a peer or operator may take to send request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is above the time for which peers keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the headers of a request; those of peers and operators are far shorter.
	maxHeaderBytes = 8 << 10
	// controlFraction and peersFraction are the parts of the process's descriptors for a port of operators and probes,
	// and for a port over which requests of callers arrive. The rest is for the other ports and for outgoing connections.
	controlFraction = 8
	peersFraction   = 3
)

// Serve serves a handler for operators, probes and control messages on a listener until the context ends. It then closes
// the listener, waits up to grace for running requests, and closes the connections of those that still run. It returns the
// first error other than http.ErrServerClosed.
func Serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	return serveLimited(ctx, LimitConnections(l, max(DescriptorLimit()/controlFraction, 1)), h, grace)
}

// ServePeers is Serve for a port over which other processes forward the requests of callers.
func ServePeers(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	return serveLimited(ctx, LimitConnections(l, max(DescriptorLimit()/peersFraction, 1)), h, grace)
}

func serveLimited(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return ServeServer(ctx, l, srv, grace)
}

// ServeServer is like Serve for a preconfigured server; with a TLS configuration it serves TLS. It goes on when a connection
// cannot be accepted.
func ServeServer(ctx context.Context, l net.Listener, srv *http.Server, grace time.Duration) error {
	l = &retryingListener{Listener: l}
	if srv.TLSConfig != nil {
		l = tls.NewListener(l, srv.TLSConfig)
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := srv.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close() // Long polls and profiles do not end by themselves.
	}
	if err != nil {
		return err
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
