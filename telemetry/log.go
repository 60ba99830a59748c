// Package telemetry provides what every process shows of itself: logs, metrics and the admin listener with
// its state dump.
package telemetry

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LevelError says that a text is not a log level.
type LevelError struct{ Text string }

func (e *LevelError) Error() string {
	return fmt.Sprintf("%q is not a log level (debug, info, warn, error)", e.Text)
}

// NewLogger returns a logger that writes one key=value line for each event, and the level, which may be
// changed at run time. It fails with a *LevelError.
func NewLogger(w io.Writer, program, name, level string) (*zap.Logger, zap.AtomicLevel, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, &LevelError{Text: level}
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)
	return zap.New(core).With(zap.String("program", program), zap.String("name", name)), lvl, nil
}
