package entry

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against an invalid key pair that takes the listener down or is not logged.
func TestInvalidKeyPairLeavesTheOldOneInUse(t *testing.T) {
	dir := t.TempDir()
	files := TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	require.NoError(t, os.WriteFile(files.CertFile, []byte("broken"), 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, []byte("broken"), 0o600))
	core, logs := observer.New(zap.ErrorLevel)
	old := &tls.Certificate{}
	p := &keyPair{files: files, log: zap.New(core), cert: old}
	require.Same(t, old, p.current(time.Now()))
	require.Equal(t, 1, logs.FilterMessage("key pair not reloaded").Len())
}
