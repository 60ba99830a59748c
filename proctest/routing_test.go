package proctest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type entryState struct {
	Upstream struct{ Resumed, Continued, Silent int64 }
	Servers  map[string]string
}

func readEntryState(t *testing.T, e *Entry) entryState {
	t.Helper()
	var st entryState
	require.NoError(t, e.State(&st))
	return st
}

func countContinuedStreams(t *testing.T, d *Deployment) (n int64) {
	for _, e := range d.Entries {
		n += readEntryState(t, e).Upstream.Continued
	}
	return n
}

// Guards against streams that end when their sidecar is killed although the engine of another replica can continue
// them, and against entries that keep sending requests to a killed server.
func TestStreamsSurviveKilledSidecar(t *testing.T) {
	d := deploySmall(t)
	requireComplete(t, d.startStreams(12, 5)(), 5) // The entries detect that the engines support continuation.
	wait := d.startStreams(12, 200)
	d.ModelSidecars[0].Kill()
	requireComplete(t, wait(), 200)
	require.NotZero(t, countContinuedStreams(t, d))
	for _, e := range d.Entries {
		// An entry detects a dead server only by sending a request to it.
		Eventually(t, "killed server is down", func() bool {
			require.True(t, StreamChat(t, e.URL, "a note", 1, nil).Done)
			return readEntryState(t, e).Servers[d.ModelSidecars[0].Settings.Name] == "down"
		})
	}
}

// Guards against streams that wait for a paused sidecar until their deadline, and against a server that remains unused
// after its sidecar resumes.
func TestStreamsMoveFromPausedSidecar(t *testing.T) {
	d := deploySmall(t)
	requireComplete(t, d.startStreams(12, 5)(), 5)
	wait := d.startStreams(12, 200)
	d.ModelSidecars[0].Pause()
	requireComplete(t, wait(), 200)
	require.NotZero(t, countContinuedStreams(t, d))
	d.ModelSidecars[0].Resume()
	for _, e := range d.Entries {
		Eventually(t, "resumed server is usable", func() bool { return len(readEntryState(t, e).Servers) == 0 })
	}
}
