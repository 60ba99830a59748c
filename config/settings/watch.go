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

// pollInterval is the time between two reads of a settings file, which may change without a signal.
const pollInterval = 2 * time.Second

// Watch reloads a settings file on SIGHUP and when its content has changed, until the context ends. It decodes the file
// over the defaults and passes the result to apply. Invalid settings are logged and not applied; the previous settings
// stay active. If file is empty, SIGHUP is caught and ignored.
func Watch[T any](ctx context.Context, file string, defaults func() T, apply func(T), log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	// The first poll always reloads the file: it may have changed since it was read at startup.
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
				log.Warn("failed to read the settings; the previous ones stay active", zap.Error(err))
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
		log.Warn("settings are not valid; the previous ones stay active", zap.Error(err))
		return
	}
	apply(s)
	log.Info("settings reloaded", zap.String("file", file))
}
