// Package telemetry provides the logs, the metrics and the admin listener of every process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LevelError reports that a text is not a log level.
type LevelError struct{ Text string }

func (e *LevelError) Error() string {
	return fmt.Sprintf("%q is not a log level (debug, info, warn, error)", e.Text)
}

// NewLogger returns a logger that writes each event as one line of key=value pairs, and its level, which may be changed
// at run time. It fails with a *LevelError.
func NewLogger(w io.Writer, program, name, level string) (*zap.Logger, zap.AtomicLevel, error) {
	atomicLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, &LevelError{Text: level}
	}
	return NewLoggerAt(w, program, name, atomicLevel), atomicLevel, nil
}

// NewLoggerAt is NewLogger with a level that other loggers may share.
func NewLoggerAt(w io.Writer, program, name string, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(&plainErrorCore{Core: core}).With(zap.String("program", program), zap.String("name", name))
}

// plainErrorCore logs errors without the stack trace that their type may carry, which would make lines of several
// kilobytes.
type plainErrorCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c *plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return &plainErrorCore{Core: c.Core.With(withPlainErrors(fields))}
}

// Check implements zapcore.Core.
func (c *plainErrorCore) Check(e zapcore.Entry, to *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return to.AddCore(e, c)
	}
	return to
}

// Write implements zapcore.Core.
func (c *plainErrorCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withPlainErrors(fields))
}

func withPlainErrors(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
