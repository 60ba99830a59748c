package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

type watched struct {
	Port int `json:"port" validate:"gt=0"`
}

// Guards against a process that exits on SIGHUP, misses a change of its settings or applies invalid settings.
func TestWatchAppliesOnlyValidChanges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(`{"port": 1}`)
	ctx, stop := context.WithCancel(context.Background())
	applied := make(chan int, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, file, func() watched { return watched{} }, func(w watched) { applied <- w.Port },
			zap.NewNop())
	}()
	// The first poll needs no signal, and shows that the watch is running.
	require.Equal(t, 1, <-applied)
	write(`{"port": -1}`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	write(`{"port": 3}`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for port := range applied {
		require.NotEqual(t, -1, port, "invalid settings were applied")
		if port == 3 {
			break
		}
	}
	stop()
	<-done
}
