package proctest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type entryState struct {
	Upstream struct{ Resumed, Continued, Silent int64 }
	Servers  map[string]string
}

func upstreamOf(t *testing.T, e *Entry) entryState {
	t.Helper()
	var st entryState
	require.NoError(t, e.State(&st))
	return st
}

func continued(t *testing.T, d *Deployment) (n int64) {
	for _, e := range d.Entries {
		n += upstreamOf(t, e).Upstream.Continued
	}
	return n
}

// Guards against streams that end with their side process although another replica's engine can continue them, and
// against a dead server that stays in use.
func TestStreamsOutliveAKilledSide(t *testing.T) {
	d := small(t)
	requireWhole(t, d.streams(12, 5)(), 5) // The entries learn that the engines continue answers.
	wait := d.streams(12, 200)
	d.Models[0].Kill()
	requireWhole(t, wait(), 200)
	require.NotZero(t, continued(t, d))
	for _, e := range d.Entries {
		// An entry learns of a dead server only by sending to it.
		Eventually(t, "killed server is out", func() bool {
			require.True(t, Chat(t, e.URL, "a note", 1, nil).Done)
			return upstreamOf(t, e).Servers[d.Models[0].Settings.Name] == "down"
		})
	}
}

// Guards against callers who wait for a paused side process until their deadline, and against a paused server that
// stays out after it resumes.
func TestStreamsMoveAwayFromAPausedSide(t *testing.T) {
	d := small(t)
	requireWhole(t, d.streams(12, 5)(), 5)
	wait := d.streams(12, 200)
	d.Models[0].Pause()
	requireWhole(t, wait(), 200)
	require.NotZero(t, continued(t, d))
	d.Models[0].Resume()
	for _, e := range d.Entries {
		Eventually(t, "resumed server is back", func() bool { return len(upstreamOf(t, e).Servers) == 0 })
	}
}
