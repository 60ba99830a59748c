// Package daemon holds what the programs on the users' platform have in common: log, metrics, the memory limit and pauses.
package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"lavendermoor.example/telemetry"
)

// Base is the log and the metrics of a process.
type Base struct {
	Log      *zap.Logger
	Level    zap.AtomicLevel
	Meter    metric.Meter
	Registry *prometheus.Registry
	// CountCall counts a call to the platform's store.
	CountCall func(call string, err error)
}

// New returns the base of a process of a program, which logs to a writer.
func New(out *telemetry.BoundedWriter, program, name, level string) (*Base, error) {
	var b Base
	var err error
	if b.Log, b.Level, err = telemetry.NewLogger(out, program, name, level); err != nil {
		return nil, err
	}
	if b.Meter, b.Registry, err = telemetry.Meter(program); err != nil {
		return nil, err
	}
	b.CountCall, err = telemetry.CountCalls(b.Meter, "lavendermoor.store.calls", "Calls to the platform's store.")
	if err != nil {
		return nil, err
	}
	return &b, telemetry.Register(b.Meter, []telemetry.Instrument{{
		Name: "lavendermoor.log.dropped", Unit: "{line}", Counter: true, Value: out.Dropped,
		Description: "Log lines dropped because of the bounds on their volume or a reader that is behind.",
	}})
}

// SetLevel changes the log level. One that does not exist is refused with a log line.
func (b *Base) SetLevel(level string) {
	if err := b.Level.UnmarshalText([]byte(level)); err != nil {
		b.Log.Warn("log level not changed", zap.Error(err))
	}
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
