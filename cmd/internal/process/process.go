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

// Base is the log and the metrics of a process.
type Base struct {
	Log      *zap.Logger
	Level    zap.AtomicLevel
	Meter    metric.Meter
	Registry *prometheus.Registry
}

// New returns the base of a process of a program, which logs to a writer.
func New(logs io.Writer, program, name, level string) (*Base, error) {
	var b Base
	var err error
	if b.Log, b.Level, err = telemetry.NewLogger(logs, program, name, level); err != nil {
		return nil, err
	}
	b.Meter, b.Registry, err = telemetry.Meter(program)
	return &b, err
}

// SetLevel changes the log level. One that does not exist is refused with a log line.
func (b *Base) SetLevel(level string) {
	if err := b.Level.UnmarshalText([]byte(level)); err != nil {
		b.Log.Warn("log level not changed", zap.Error(err))
	}
}

// Admin returns the admin routes of the process.
func (b *Base) Admin(state func() any, ready func() bool) *telemetry.Admin {
	return &telemetry.Admin{State: state, Ready: ready, Registry: b.Registry, Level: b.Level, Log: b.Log}
}

// PlatformMetrics adds the metrics of a program on the users' platform: dropped lines of its log, and calls to the platform's
// store, which the function returned counts.
func (b *Base) PlatformMetrics(logs *telemetry.BoundedWriter) (count func(call string, err error), err error) {
	if err := telemetry.Register(b.Meter, []telemetry.Instrument{logs.DroppedLines()}); err != nil {
		return nil, err
	}
	return telemetry.CountCalls(b.Meter, "lavendermoor.store.calls", "Calls to the platform's store.")
}

const (
	// maxPeerHead bounds the head of an answer of another process in bytes.
	maxPeerHead = 64 << 10
	// peerIdleTime ends idle connections to other processes.
	peerIdleTime = 20 * time.Second
	peerDialTime = 250 * time.Millisecond
)

// PeerClient returns a client for calls to other processes and to servers on their instances. A call ends after the timeout, 0 for
// none.
func PeerClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: peerDialTime}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTime, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHead,
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
func RunUntilDone(ctx context.Context, start func(context.Context, *errgroup.Group), finish func()) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	start(serving, group)
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return group.Wait()
	}
	finish()
	stop()
	return group.Wait()
}

// memoryShare of the allowed memory is the garbage collector's soft limit; the rest is for stacks and sockets.
const memoryShare = 0.6

// LimitMemory sets the garbage collector's limit for a process that may use some megabytes.
func LimitMemory(megabytes int64) { debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20))) }

// Pause waits for a time or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
