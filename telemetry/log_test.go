package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against log events that are not one line of key=value pairs, and against stack traces of errors in them.
func TestLogEventIsOneLine(t *testing.T) {
	var out bytes.Buffer
	log, _, err := NewLogger(&out, "entry", "e1", "info")
	require.NoError(t, err)
	log.Info("request failed", zap.Error(merry.Wrap(&LevelError{Text: "x\ny"})), zap.Int("n", 1))
	line := out.String()
	require.Equal(t, 1, strings.Count(line, "\n"), line)
	require.Contains(t, line, "program=entry")
	require.Contains(t, line, "n=1")
	require.NotContains(t, line, "log_test.go")
}
