package rankd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls to the store that increase with the ranks of a group: the standby sidecars of 129 ranks made
// eight calls a second in steady state.
func TestStandbySidecarsOfALargeGroupMakeFewCalls(t *testing.T) {
	for _, ranks := range []int{8, 64, 129, 300} {
		calls := float64(ranks-candidateRanks) / standbyWait(ranks).Seconds()
		require.LessOrEqual(t, calls, 1/standbyPerRank.Seconds(), "%d ranks", ranks)
	}
	require.Equal(t, minStandbyWait, standbyWait(8))
	require.Greater(t, standbyWait(129), time.Minute)
}
