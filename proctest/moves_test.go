package proctest

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/engineserver"
)

// Guards against engine connections that break in mid-stream: the answer goes on where the engine can resume. Two
// breaks a stream stay within the retry budget of each entry.
func TestBrokenEngineConnectionsAreResumed(t *testing.T) {
	d := small(t)
	for _, s := range d.Models {
		d.EngineFaults(s, engineserver.Faults{BreakAfter: 12})
	}
	requireWhole(t, d.streams(6, 30)(), 30)
}

// Guards against a side process that is paused holding up its callers: idempotent work moves on to another
// replica, and what the paused process does when it wakes disturbs nobody.
func TestPausedSideDoesNotHoldUpStreams(t *testing.T) {
	d := small(t)
	wait := d.streams(9, 100)
	d.Models[1].Pause()
	all := wait()
	d.Models[1].Resume()
	requireWhole(t, all, 100)
	requireWhole(t, d.streams(9, 20)(), 20)
}

// Guards against a call of a service that fails because one of its replicas has died.
func TestReadsGoOnAfterAReplicaDied(t *testing.T) {
	d := small(t)
	d.Services[0].Kill()
	for i := range 20 {
		status, _, body := Do(t, http.MethodGet, d.Entries[i%2].URL+"/v1/services/booking/bookings", nil, nil)
		require.Equal(t, http.StatusOK, status, "%s", body)
	}
}
