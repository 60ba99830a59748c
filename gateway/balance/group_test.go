package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// twoGroups returns a fleet of four servers, a and b in group g, c and d in group h.
func twoGroups(now time.Time) *Fleet {
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b"), server("c"), server("d")}, time.Time{}, now)
	f.ApplyGroupReport("s", "a:80", GroupReport{Group: "g", Epoch: 1, Serving: true, Members: []string{"a:80", "b:80"}, RequestedAt: now})
	f.ApplyGroupReport("s", "c:80", GroupReport{Group: "h", Epoch: 1, Serving: true, Members: []string{"c:80", "d:80"}, RequestedAt: now})
	return f
}

func (f *Fleet) backend(t *testing.T, id string) *Backend {
	t.Helper()
	for _, b := range f.All() {
		if b.Server().ID == id {
			return b
		}
	}
	t.Fatalf("no server %q", id)
	return nil
}

func servingGroups(f *Fleet, now time.Time) []string {
	var out []string
	for _, g := range f.Groups("s", now) {
		if g.Serving {
			out = append(out, g.Name)
		}
	}
	return out
}

// Guards against a gateway that learns server by server that a group is gone: one answer is enough. Pattern: a rank of one of
// two groups dies (527 of 3,548 arrivals refused by servers on mfca-coachworks scale-2).
func TestOneResponseMarksGroupFailed(t *testing.T) {
	now := time.Now()
	f := twoGroups(now)
	require.Equal(t, []string{"g", "h"}, servingGroups(f, now))
	name, news := f.MarkGroupFailed(f.backend(t, "b"), now)
	require.Equal(t, "g", name)
	require.True(t, news)
	_, news = f.MarkGroupFailed(f.backend(t, "a"), now)
	require.False(t, news)
	require.Equal(t, []string{"h"}, servingGroups(f, now))
	// Requests without a place keep away from it too.
	for range 10 {
		require.Contains(t, []string{"c", "d"}, pickID(t, f, now))
	}
}

// Guards against a report from before the failure that opens a group which serves nothing, and against a group that stays
// closed although it was formed anew.
func TestObservedFailureOverridesOlderReports(t *testing.T) {
	start := time.Now()
	f := twoGroups(start)
	report := func(requestedAfter time.Duration, epoch int64, open bool) {
		f.ApplyGroupReport("s", "a:80", GroupReport{Group: "g", Epoch: epoch, Serving: open, RequestedAt: start.Add(requestedAfter)})
	}
	at := start.Add(time.Second)
	f.MarkGroupFailed(f.backend(t, "a"), at)
	report(999*time.Millisecond, 1, true)
	require.Equal(t, []string{"h"}, servingGroups(f, at), "asked before the failure")
	report(1100*time.Millisecond, 1, true)
	require.Equal(t, []string{"h"}, servingGroups(f, at.Add(time.Second)), "the rank that has gone is not missed yet")
	report(2*time.Second, 1, false)
	require.Equal(t, []string{"h"}, servingGroups(f, at.Add(time.Hour)), "the group is known to be broken")
	report(3*time.Second, 2, true)
	require.Equal(t, []string{"g", "h"}, servingGroups(f, start.Add(3*time.Second)))
	report(3100*time.Millisecond, 1, false)
	require.Equal(t, []string{"g", "h"}, servingGroups(f, start.Add(3100*time.Millisecond)), "a report of an earlier epoch")
}

// Guards against a group that gets no work any more because nobody reports on it.
func TestFailedGroupIsRetriedWithoutReports(t *testing.T) {
	now := time.Now()
	f := twoGroups(now)
	f.MarkGroupFailed(f.backend(t, "a"), now)
	require.Equal(t, []string{"h"}, servingGroups(f, now.Add(failureTTL)))
	require.Equal(t, []string{"g", "h"}, servingGroups(f, now.Add(failureTTL+time.Millisecond)))
}

// Guards against a server that counts to the group in which another list has it, or to that of an earlier start: what the
// process beside it says counts, and a restarted server is asked anew. Pattern: a replica restarts under its ID.
func TestOwnSidecarDecidesGroupOfServer(t *testing.T) {
	now := time.Now()
	f := twoGroups(now)
	f.ApplyGroupReport("s", "b:80", GroupReport{Group: "h", Epoch: 1, Serving: true, RequestedAt: now})
	f.ApplyGroupReport("s", "a:80", GroupReport{Group: "g", Epoch: 1, Serving: true, Members: []string{"a:80", "b:80"}, RequestedAt: now})
	_, group := f.backend(t, "b").entry()
	require.Equal(t, "h", group.Name)

	started := func(id string, at time.Time) catalog.Server {
		s := server(id)
		s.Started = at
		return s
	}
	f.Update([]catalog.Server{started("a", now)}, time.Time{}, now)
	old := f.backend(t, "a")
	f.Update([]catalog.Server{started("a", now)}, time.Time{}, now)
	require.Same(t, old, f.backend(t, "a"))
	changes := f.Update([]catalog.Server{started("a", now.Add(time.Second))}, time.Time{}, now)
	require.Len(t, changes, 1)
	require.Equal(t, "added", changes[0].What)
	_, group = f.backend(t, "a").entry()
	require.Nil(t, group, "nothing of the earlier start is kept")
	require.True(t, f.HasUnknownGroup("s"))
}

// Guards against questions to each server of each group all the time, and against a broken group that is noticed late to be
// back.
func TestOneServerOfEachGroupIsPolled(t *testing.T) {
	now := time.Now()
	f := twoGroups(now)
	random := func() float64 { return 0.5 }
	require.Len(t, f.PollTargets("s", random, now), 2)
	require.Empty(t, f.PollTargets("s", random, now.Add(failedPollInterval)))
	f.MarkGroupFailed(f.backend(t, "a"), now)
	asked := f.PollTargets("s", random, now.Add(failedPollInterval))
	require.Len(t, asked, 1)
	require.Contains(t, []string{"a", "b"}, asked[0].Server().ID)
	// Servers whose group is not known are asked too, each now and then.
	f.Update([]catalog.Server{server("x"), server("y")}, time.Time{}, now)
	require.Len(t, f.PollTargets("s", random, now), 2)
	require.Empty(t, f.PollTargets("s", random, now.Add(unknownPollInterval/2)))
}

// Guards against a server that refuses at once and therefore looks idle, which drew the traffic of servers that work, and
// against sending on and on when all refuse (BUDGET on a sweep at 30 and 100 machines without a whole group).
func TestRefusingServersGetNoRequests(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b")}, time.Time{}, now)
	refuse := func(id string) {
		b := f.backend(t, id)
		b.Begin(0, now)
		b.End(0, Refused, 0, now)
	}
	refuse("a")
	for range 3 {
		f.backend(t, "b").Begin(0, now)
	}
	require.Equal(t, "b", pickID(t, f, now), "a loaded server goes before one that refuses")
	require.Equal(t, "a", pickID(t, f, now, f.backend(t, "b")), "a full server is the last choice")
	for range refusingAfter {
		refuse("a")
		refuse("b")
	}
	require.Empty(t, pickID(t, f, now))
	require.NotEmpty(t, pickID(t, f, now.Add(maxBackoff)), "they are tried again")
	b := f.backend(t, "b")
	b.End(0, Served, time.Millisecond, now)
	require.Equal(t, "b", pickID(t, f, now), "one that serves again counts as usual")
}

// Guards against GONE: requests that are written to an instance that stands still are read when it goes on, after their callers
// have left. Pattern: the instance of one server freezes for seconds.
func TestSilentServerGetsNoRequests(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b")}, time.Time{}, now)
	a, b := f.backend(t, "a"), f.backend(t, "b")
	moved := 0
	a.OnDegraded(func() { moved++ })
	a.Begin(0, now)
	for range 3 {
		b.Begin(0, now)
	}
	later := now.Add(silentAfter + time.Millisecond)
	b.ObserveActivity(later)
	require.Equal(t, "b", pickID(t, f, later), "b has more to do, but is heard of")
	require.Empty(t, f.MoveFromSilent("s", nil, later))
	later = now.Add(moveSilentAfter + time.Millisecond)
	b.ObserveActivity(later)
	require.Len(t, f.MoveFromSilent("s", nil, later), 1)
	require.Empty(t, f.MoveFromSilent("s", nil, later), "they are moved once")
	require.Equal(t, 1, moved)
	a.ObserveActivity(later)
	require.Equal(t, "a", pickID(t, f, later), "a server that is heard of again counts as usual")
	a.End(0, Served, 0, later)
	require.Equal(t, "a", pickID(t, f, later.Add(time.Hour), b), "a server without requests has nothing to say")
}
