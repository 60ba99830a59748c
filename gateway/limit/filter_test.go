package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a permit in a group that the request must not use, on arrival, after a wait and after a move, and against
// other requests that wait behind such a request while a group has free permits.
func TestRequestsRunInAllowedGroupsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue("g", "h")
		permits := q.acquireAll(t)
		onlyG := AcquireOptions{MaxOnTimeWait: time.Hour, AllowedGroups: map[string]bool{"g": true}}
		requests := waitingRequests{q: q}
		requests.add(t.Context(), t, "restricted", onlyG)
		permits["h"][0].Release()
		permits["h"][1].Release()
		synctest.Wait()
		require.Empty(t, requests.admitted)
		other, err := q.Acquire(t.Context(), AcquireOptions{})
		require.NoError(t, err, "h has a free permit")
		require.Equal(t, "h", other.Group())
		require.Error(t, permits["g"][1].Move(t.Context(), AcquireOptions{AllowedGroups: onlyG.AllowedGroups}))
		require.False(t, permits["g"][1].OtherGroupUsable(onlyG.AllowedGroups))
		require.True(t, permits["g"][1].OtherGroupUsable(nil))
		permits["g"][0].Release()
		synctest.Wait()
		require.Equal(t, []string{"restricted"}, requests.admitted)
		require.Equal(t, "g", requests.permits["restricted"].Group())
		permits["g"][1].Release()
		p, err := q.Acquire(t.Context(), onlyG)
		require.NoError(t, err)
		require.Equal(t, "g", p.Group(), "h has a free permit too")
		_, err = q.Acquire(t.Context(), AcquireOptions{MaxWait: time.Hour, AllowedGroups: map[string]bool{}})
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.True(t, refused.NoGroup)
	})
}

// Guards against a new request that overtakes waiting ones while a request waits for particular groups. Permits can become
// free as time passes, without an admission.
func TestNewRequestsDoNotOvertakeWaitingOnes(t *testing.T) {
	q, now := newTestQueue("g", "h"), time.Now()
	q.waiting = []*waiter{{filter: groupFilter{allowed: map[string]bool{"g": true}}}}
	require.Equal(t, "h", q.leastUtilized(groupFilter{}, false, now).name)
	require.Equal(t, -1, q.precedence.next(q.waiting, "h", now), "requests of several priorities compete")
	q.waiting = append(q.waiting, &waiter{})
	require.Nil(t, q.leastUtilized(groupFilter{}, false, now))
	require.NotNil(t, q.leastUtilized(groupFilter{}, true, now), "a stream that moves goes first")
}
