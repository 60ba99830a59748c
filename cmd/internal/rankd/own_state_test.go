package rankd

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/platform"
)

// Guards against a sidecar that never plans again because a connection to its own replica has gone silent: the call must
// end although its context does not.
func TestOwnStateOfASilentReplicaFails(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() // Connections are accepted by the kernel and never answered.
	p := &rankSidecar{replica: platform.NewRank(l.Addr().String(), process.PeerClient(0))}
	_, err = p.ownState(t.Context())
	require.Error(t, err)
}
