// Package process holds what the daemons have in common: log and metrics, listeners, the order in which the parts end, the
// memory limit and pauses.
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
)

// Observability is the log and the metrics of a process.
type Observability struct {
	Log      *zap.Logger
	Level    zap.AtomicLevel
	Meter    metric.Meter
	Registry *prometheus.Registry
}

// NewObservability returns the base of a process of a program, which logs to a writer.
func NewObservability(logs io.Writer, program, name, level string) (*Observability, error) {
	var o Observability
	var err error
	if o.Log, o.Level, err = telemetry.NewLogger(logs, program, name, level); err != nil {
		return nil, err
	}
	o.Meter, o.Registry, err = telemetry.Meter(program)
	return &o, err
}

// SetLogLevel changes the log level. One that does not exist is refused with a log line.
func (o *Observability) SetLogLevel(level string) {
	if err := o.Level.UnmarshalText([]byte(level)); err != nil {
		o.Log.Warn("log level not changed", zap.Error(err))
	}
}

// Admin returns the admin routes of the process.
func (o *Observability) Admin(state func() any, ready func() bool) *telemetry.Admin {
	return &telemetry.Admin{State: state, Ready: ready, Registry: o.Registry, Level: o.Level, Log: o.Log}
}

// RegisterPlatformMetrics adds the metrics of a program on the users' platform: dropped lines of its log, and calls to the platform's
// store, which the function returned counts.
func (o *Observability) RegisterPlatformMetrics(logs *telemetry.BoundedWriter) (observeCall func(call string, err error), err error) {
	if err := telemetry.Register(o.Meter, []telemetry.Instrument{logs.DroppedLines()}); err != nil {
		return nil, err
	}
	return telemetry.CountCalls(o.Meter, "lavendermoor.store.calls", "Calls to the platform's store.")
}

const (
	// maxPeerHeaderBytes bounds the head of an answer of another process in bytes.
	maxPeerHeaderBytes = 64 << 10
	// peerIdleTimeout ends idle connections to other processes.
	peerIdleTimeout = 20 * time.Second
	peerDialTimeout = 250 * time.Millisecond
)

// PeerClient returns a client for calls to other processes and to servers on their instances. A call ends after the timeout, 0 for
// none.
func PeerClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}}
}

// Listen opens all of the addresses or none. An empty address has no listener.
func Listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	out := make([]net.Listener, len(addresses))
	var lc net.ListenConfig
	for i, address := range addresses {
		if address == "" {
			continue
		}
		l, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			for _, open := range out {
				if open != nil {
					open.Close()
				}
			}
			return nil, err
		}
		out[i] = l
	}
	return out, nil
}

// RunUntilDone starts the parts of a process and waits for the termination signal, which ends ctx, or for a part that
// fails. The parts outlive the signal until finish returns, so that running work is answered.
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

// memoryLimitFraction of the allowed memory is the garbage collector's soft limit; the rest is for stacks and sockets.
const memoryLimitFraction = 0.6

// SetMemoryLimit sets the garbage collector's limit for a process that may use some megabytes.
func SetMemoryLimit(megabytes int64) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes<<20)))
}

// Sleep waits for a time or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
