package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTargetGap = 120 * time.Millisecond

// observeGaps records gaps every 10 ms for the duration d.
func observeGaps(l *Limiter, gap time.Duration, now *time.Time, d time.Duration) {
	for end := now.Add(d); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		l.ObserveGap(gap, testTargetGap, *now)
	}
}

// Guards against streams that are all late because too many run concurrently, as in a traffic peak that lengthens
// every pass, and against a limit that stays low after the peak.
func TestLimitFollowsGaps(t *testing.T) {
	now := time.Now()
	l := New(now)
	for l.TryAcquire() {
	}
	require.Equal(t, initialLimit, l.InFlight())
	observeGaps(l, testTargetGap, &now, 3*time.Second)
	reduced := l.Limit()
	require.Less(t, reduced, initialLimit/2)
	for l.InFlight() > reduced {
		l.Release(time.Second)
	}
	for range 30 { // Waiting callers use every new permit.
		for l.TryAcquire() {
		}
		observeGaps(l, testTargetGap/2, &now, 100*time.Millisecond)
	}
	require.Greater(t, l.Limit(), reduced+5)
}

// Guards against refusals that continue after a fault because the limit increases by one stream at a time. Such
// refusals lasted 6 s after a rank had been slow for some seconds while callers waited.
func TestLimitRecoversSoonAfterSlowdown(t *testing.T) {
	now := time.Now()
	l := New(now)
	for l.TryAcquire() {
	}
	observeGaps(l, 6*testTargetGap, &now, 10*time.Second)
	for l.InFlight() > l.Limit() {
		l.Release(time.Second)
	}
	require.LessOrEqual(t, l.Limit(), 6)
	for range 30 { // For 3 s, waiting callers use every new permit.
		for l.TryAcquire() {
		}
		observeGaps(l, testTargetGap*4/10, &now, 100*time.Millisecond)
	}
	require.GreaterOrEqual(t, l.Limit(), initialLimit*3/4)
}

// Guards against a limit that increases without being used and would then admit a whole traffic peak at the same time.
func TestUnusedLimitDoesNotIncrease(t *testing.T) {
	now := time.Now()
	l := New(now)
	require.True(t, l.TryAcquire())
	observeGaps(l, testTargetGap/4, &now, 10*time.Second)
	require.Equal(t, initialLimit, l.Limit())
	l.SetCapacity(630, 1.0/6)
	require.Equal(t, 52, l.Limit(), "half of the process's share of the slots")
	l.SetCapacity(10, 1.0/6)
	require.Equal(t, minLimit, l.Limit())
}

// engineGroup models a group, shared by several limiters, whose passes take a constant time plus a time per stream.
type engineGroup struct {
	emptyPass, perStream time.Duration
	limiters             []*Limiter
}

func (g *engineGroup) passTime() time.Duration {
	n := 0
	for _, l := range g.limiters {
		n += l.InFlight()
	}
	return g.emptyPass + time.Duration(n)*g.perStream
}

// run acquires every free permit and observes gaps of one pass for the duration d.
func (g *engineGroup) run(now *time.Time, d time.Duration) {
	for end := now.Add(d); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		for _, l := range g.limiters {
			for l.TryAcquire() {
			}
			l.ObserveGap(g.passTime(), testTargetGap, *now)
		}
	}
}

// Guards against callers that are refused for seconds although passes are short, because the limit increases in small
// steps, and against a limit that exceeds what the group can serve on time. Both occur when all processes restart
// during a traffic peak.
func TestLimitsOfAllProcessesConvergeToGroupCapacity(t *testing.T) {
	now := time.Now()
	g := &engineGroup{emptyPass: 18 * time.Millisecond, perStream: time.Millisecond}
	for range 4 {
		l := New(now)
		l.SetCapacity(300, 1.0/16)
		l.SetEmptyPass(g.emptyPass)
		g.limiters = append(g.limiters, l)
	}
	// The limit decreases above this number of streams.
	sustainable := int((time.Duration(decreaseAbove*float64(testTargetGap)) - g.emptyPass) / g.perStream)
	g.run(&now, 1500*time.Millisecond)
	n := int((g.passTime() - g.emptyPass) / g.perStream)
	require.Greater(t, n, sustainable/2)
	for range 20 {
		g.run(&now, 500*time.Millisecond)
		require.Less(t, g.passTime(), testTargetGap)
	}
	n = int((g.passTime() - g.emptyPass) / g.perStream)
	require.Greater(t, n, sustainable*2/3)
}

// Guards against a limit that is set from the process's share while the number of processes is unknown, and stays there
// once the number is known. This occurs when all processes restart during a traffic peak.
func TestInitialLimitFollowsProcessShare(t *testing.T) {
	now := time.Now()
	l := New(now)
	l.SetCapacity(96, 1.0/16)
	require.Equal(t, minLimit, l.Limit())
	l.SetCapacity(96, 1.0/4)
	require.Equal(t, 12, l.Limit())
	for l.TryAcquire() {
	}
	observeGaps(l, testTargetGap/2, &now, time.Second)
	increased := l.Limit()
	require.Greater(t, increased, 12)
	l.SetCapacity(96, 1.0/5)
	require.Equal(t, increased, l.Limit(), "after an adjustment, the share no longer sets the limit")
	l.SetCapacity(10, 1.0/5)
	require.Equal(t, 10, l.Limit(), "the limit is bounded by the slots")
}
