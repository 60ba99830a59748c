package membership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a drain or a failure that is published late, and against a goroutine that outlives the tracker, which
// makes synctest fail.
func TestTrackerPublishesWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var alive atomic.Bool
		probe := func(ctx context.Context, _ string) (Report, error) {
			if alive.Load() {
				return Report{Incarnation: 9}, nil
			}
			<-ctx.Done()
			return Report{}, ctx.Err()
		}
		tr := NewTracker(1, probe, nil)
		go tr.Run(ctx)
		tr.SetServers(ctx, []Server{{"a0", "a"}, {"a1", "a"}, {"b0", "b"}})
		synctest.Wait()
		tr.ObserveSuccess("a1", "a")
		tr.ObserveReport(Report{Server: "b0", Incarnation: 2, Draining: true})
		synctest.Wait()
		require.Equal(t, Draining, tr.View().Status("b0").Reason)

		tr.ObserveFailure("a0")
		time.Sleep(time.Second)
		tr.ObserveSuccess("a1", "a")
		time.Sleep(2 * time.Second)
		require.Equal(t, Down, tr.View().Status("a0").Reason)
		alive.Store(true)
		time.Sleep(time.Minute)
		require.True(t, tr.View().Status("a0").Usable())
		require.True(t, tr.View().Status("b0").Usable())
		cancel()
	})
}

// Guards against wall-clock success times: after a backward step of that clock they would hide a partition.
func TestSuccessTimesUseTheMonotonicClock(t *testing.T) {
	tr := NewTracker(1, nil, nil)
	tr.state.SetServers(time.Now(), []Server{{"s", "a"}})
	tr.ObserveSuccess("s", "a")
	tr.mergeSuccessTimes()
	lastSuccess := tr.state.domains[tr.state.domainIndex["a"]].lastSuccess
	require.False(t, lastSuccess.IsZero())
	// Round(0) strips the monotonic clock reading, if there is one.
	require.NotEqual(t, lastSuccess.Round(0).String(), lastSuccess.String())
}

// Guards against a slow group that still gets requests and briefly counts as normal every SlowReportTTL.
func TestRepeatedSlowReportsKeepAGroupSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		normalViews := 0
		tr := NewTracker(1, nil, func(v *View) {
			if !v.Status("s").Slow {
				normalViews++
			}
		})
		go tr.Run(ctx)
		tr.SetServers(ctx, []Server{{"s", "a"}})
		synctest.Wait()
		tr.ObserveReport(Report{Server: "s", Incarnation: 1, Slow: true})
		synctest.Wait()
		before := normalViews
		for range 4 * int(SlowReportTTL/time.Second) {
			time.Sleep(time.Second)
			tr.ObserveReport(Report{Server: "s", Incarnation: 1, Slow: true})
			synctest.Wait()
		}
		require.Equal(t, before, normalViews)
		require.True(t, tr.View().Status("s").Slow)
		cancel()
	})
}
