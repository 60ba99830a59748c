package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// pollInterval is the time between two looks at a settings file, which may change without a signal.
const pollInterval = 2 * time.Second

// Watch reads a settings file anew at SIGHUP and when its content has changed, until the context ends. The apply function
// gets the settings read over the defaults; settings that are not valid are refused with a log line, and the old ones
// stay in force. Without a file nothing is read, and SIGHUP is taken without effect.
func Watch[T any](ctx context.Context, file string, defaults func() T, apply func(T), log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	// The first look takes the file in any case: it may have changed since the process has read it.
	var last []byte
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case <-tick.C:
		}
		if file == "" {
			continue
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			if signaled {
				log.Warn("settings not read; the old ones stay in force", zap.Error(err))
			}
			continue
		}
		if !signaled && bytes.Equal(raw, last) {
			continue
		}
		last = raw
		reload(file, raw, defaults(), apply, log)
	}
}

func reload[T any](file string, raw []byte, s T, apply func(T), log *zap.Logger) {
	if err := Parse(file, raw, &s); err != nil {
		log.Warn("settings refused; the old ones stay in force", zap.Error(err))
		return
	}
	apply(s)
	log.Info("settings read anew", zap.String("file", file))
}
