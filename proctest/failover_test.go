package proctest

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/engineserver"
)

// Guards against engine connections that break in mid-stream: the answer goes on where the engine can resume. Two
// breaks a stream stay within the retry budget of each entry.
func TestStreamsSurviveBrokenEngineConnections(t *testing.T) {
	d := deploySmall(t)
	for _, s := range d.ModelSidecars {
		d.SetEngineFaults(s, engineserver.Faults{BreakAfter: 12})
	}
	requireComplete(t, d.startStreams(6, 30)(), 30)
}

// Guards against a side process that is paused holding up its callers: idempotent work moves on to another
// replica, and what the paused process does when it wakes disturbs nobody.
func TestPausedSidecarDoesNotDelayStreams(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(9, 100)
	d.ModelSidecars[1].Pause()
	all := wait()
	d.ModelSidecars[1].Resume()
	requireComplete(t, all, 100)
	requireComplete(t, d.startStreams(9, 20)(), 20)
}

// Guards against a call of a service that fails because one of its replicas has died.
func TestReadsContinueAfterSidecarDies(t *testing.T) {
	d := deploySmall(t)
	d.ServiceSidecars[0].Kill()
	for i := range 20 {
		status, _, body := Do(t, http.MethodGet, d.Entries[i%2].URL+"/v1/services/booking/bookings", nil, nil)
		require.Equal(t, http.StatusOK, status, "%s", body)
	}
}
