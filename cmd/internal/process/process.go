// Package process holds the common parts of the daemons: log and metrics, listeners, shutdown order and memory limit.
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/telemetry"
	"lavendermoor.example/telemetry/buildinfo"
)

// Observability holds the logger and the metrics of a process.
type Observability struct {
	Log      *zap.Logger
	Level    zap.AtomicLevel
	Meter    metric.Meter
	Registry *prometheus.Registry
}

// NewObservability returns the logger and the metrics of a process. The logger writes to logs. The first line and a
// metric tell the build of the program.
func NewObservability(logs io.Writer, program, name, level string) (*Observability, error) {
	var o Observability
	var err error
	if o.Log, o.Level, err = telemetry.NewLogger(logs, program, name, level); err != nil {
		return nil, err
	}
	if o.Meter, o.Registry, err = telemetry.NewMeter(program); err != nil {
		return nil, err
	}
	if err := buildinfo.Register(o.Registry); err != nil {
		return nil, err
	}
	o.Log.Info("starting", buildinfo.Current().Fields()...)
	return &o, nil
}

// SetLogLevel changes the log level. It logs and ignores an invalid level.
func (o *Observability) SetLogLevel(level string) {
	if err := o.Level.UnmarshalText([]byte(level)); err != nil {
		o.Log.Warn("log level not changed", zap.Error(err))
	}
}

// Admin returns the admin routes of the process.
func (o *Observability) Admin(state func() any, ready func() bool) *telemetry.Admin {
	return &telemetry.Admin{State: state, Ready: ready, Registry: o.Registry, Level: o.Level, Log: o.Log}
}

// RegisterPlatformMetrics registers the metrics of a process on the users' platform: dropped log lines, and calls to
// the platform's store. The returned function counts a call.
func (o *Observability) RegisterPlatformMetrics(logs *telemetry.BoundedWriter) (observeCall func(call string, err error), err error) {
	if err := telemetry.RegisterInstruments(o.Meter, []telemetry.Instrument{logs.DroppedLines()}); err != nil {
		return nil, err
	}
	return telemetry.NewCallCounter(o.Meter, "lavendermoor.store.calls", "Calls to the platform's store.")
}

const (
	// maxPeerHeaderBytes bounds the response headers of another process.
	maxPeerHeaderBytes = 64 << 10
	// peerIdleTimeout is how long an idle connection to another process is kept.
	peerIdleTimeout = 20 * time.Second
	peerDialTimeout = 250 * time.Millisecond
)

// PeerClient returns a client for calls to other processes and to the servers on their instances. A timeout of 0 means
// no timeout.
func PeerClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}}
}

// RunUntilDone starts the parts of a process and waits until the termination signal ends ctx or a part fails. After the
// signal the parts keep running until drain returns, so that running work can complete.
func RunUntilDone(ctx context.Context, start func(context.Context, *errgroup.Group), drain func()) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	start(serving, group)
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return group.Wait()
	}
	drain()
	stop()
	return group.Wait()
}

// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the memory that the process may use. The
// rest is left for stacks and sockets.
const memoryLimitFraction = 0.6

// SetMemoryLimit sets the Go runtime's soft memory limit for a process that may use the given number of MiB.
func SetMemoryLimit(mebibytes float64) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * mebibytes * (1 << 20)))
}

// Sleep waits for the duration d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
