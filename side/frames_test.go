package side

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/peerapi"
)

// Guards against a keep-alive after the last frame: the ticker may fire while the last frame is written, and the
// response must not be written to after its handler has returned.
func TestNoKeepAliveAfterLastFrame(t *testing.T) {
	w := httptest.NewRecorder()
	f := newFrameWriter(w, "1", 0, peerapi.LoadReport{})
	f.finish(nil, nil)
	size := w.Body.Len()
	f.tick()
	f.tick() // The first tick after a frame never sends a keep-alive.
	require.Equal(t, size, w.Body.Len())
}
