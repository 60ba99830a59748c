package proctest

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/engineserver"
)

// Guards against streams that end when their engine connection breaks although the engine can resume them. The stream
// length allows at most two breaks per stream, which is within the retry budget of each entry.
func TestStreamsSurviveBrokenEngineConnections(t *testing.T) {
	d := deploySmall(t)
	for _, s := range d.ModelSidecars {
		d.SetEngineFaults(s, engineserver.Faults{BreakAfter: 12})
	}
	requireComplete(t, d.startStreams(6, 30)(), 30)
}

// Guards against lost or doubled tokens when a stream is resumed at an engine whose events hold several tokens, so that
// the number of events is not a position in the response.
func TestStreamsOfSeveralTokensAnEventSurviveBrokenEngineConnections(t *testing.T) {
	d := deploySmall(t, "-tokens-per-event", "4")
	for _, s := range d.ModelSidecars {
		d.SetEngineFaults(s, engineserver.Faults{BreakAfter: 12})
	}
	requireComplete(t, d.startStreams(6, 30)(), 30)
}

// Guards against streams that wait for a paused sidecar instead of moving to another replica, which is allowed because
// they are idempotent, and against a sidecar that disrupts other streams after it resumes.
func TestPausedSidecarDoesNotDelayStreams(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(9, 100)
	d.ModelSidecars[1].Pause()
	streams := wait()
	d.ModelSidecars[1].Resume()
	requireComplete(t, streams, 100)
	requireComplete(t, d.startStreams(9, 20)(), 20)
}

// Guards against reads from a service that fail because one of its sidecars was killed.
func TestReadsContinueAfterSidecarDies(t *testing.T) {
	d := deploySmall(t)
	d.ServiceSidecars[0].Kill()
	for i := range 20 {
		status, _, body := Do(t, http.MethodGet, d.Entries[i%2].URL+"/v1/services/booking/bookings", nil, nil)
		require.Equal(t, http.StatusOK, status, "%s", body)
	}
}
