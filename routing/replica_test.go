package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ignoring a report that arrives just after a query has read the clock.
func TestReportNewerThanTheQueryIsUsed(t *testing.T) {
	r := router(t, newFleet(1), affinity()).replica("m-s0000")
	r.ObserveReport(start.Add(time.Millisecond), Report{Running: 16, Limit: 16})
	require.InDelta(t, 1, r.externalLoad(start, 0), 1e-6)
	require.Less(t, r.externalLoad(start.Add(25*24*time.Hour), 0), 1e-6, "an old report must not count as a new one")
}
