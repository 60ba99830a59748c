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

// Guards against streams that end with their side process although another replica's engine can continue them, and
// against a dead server that stays in use.
func TestStreamsSurviveKilledSidecar(t *testing.T) {
	d := deploySmall(t)
	requireComplete(t, d.startStreams(12, 5)(), 5) // The entries learn that the engines continue answers.
	wait := d.startStreams(12, 200)
	d.ModelSidecars[0].Kill()
	requireComplete(t, wait(), 200)
	require.NotZero(t, countContinuedStreams(t, d))
	for _, e := range d.Entries {
		// An entry learns of a dead server only by sending to it.
		Eventually(t, "killed server is out", func() bool {
			require.True(t, StreamChat(t, e.URL, "a note", 1, nil).Done)
			return readEntryState(t, e).Servers[d.ModelSidecars[0].Settings.Name] == "down"
		})
	}
}

// Guards against callers who wait for a paused side process until their deadline, and against a paused server that
// stays out after it resumes.
func TestStreamsMoveFromPausedSidecar(t *testing.T) {
	d := deploySmall(t)
	requireComplete(t, d.startStreams(12, 5)(), 5)
	wait := d.startStreams(12, 200)
	d.ModelSidecars[0].Pause()
	requireComplete(t, wait(), 200)
	require.NotZero(t, countContinuedStreams(t, d))
	d.ModelSidecars[0].Resume()
	for _, e := range d.Entries {
		Eventually(t, "resumed server is back", func() bool { return len(readEntryState(t, e).Servers) == 0 })
	}
}
