package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

var startTime = time.UnixMilli(1_700_000_000_000)

// startedServer is a server that says when it startedServer and how often it has written its entry.
func startedServer(id string, at time.Time, seq int64) catalog.Server {
	s := server(id)
	s.Started, s.Seq = at, seq
	return s
}

func pickErr(f *Fleet, now time.Time) error {
	_, err := f.Pick(PickOptions{Service: "s", Random: func() float64 { return 0.5 }, Now: now})
	return err
}

// Guards against requests to a server that has asked for none for a while, and against a herd of them at the end of that time.
// Pattern: callers that were refused come back together.
func TestSuspendedServerGetsNothingAndThenOneProbe(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a")}, time.Time{}, now)
	a := f.Backends("s")[0]
	a.Suspend(2*time.Second, now)
	a.Suspend(time.Second, now) // A shorter wish does not end a longer one.
	later := now.Add(500 * time.Millisecond)
	require.Error(t, pickErr(f, later))
	require.Equal(t, 1500*time.Millisecond, f.SuspendedFor("s", later))
	require.False(t, a.Accepts(now.Add(1999*time.Millisecond)))

	end := now.Add(2 * time.Second)
	require.True(t, a.Accepts(end))
	require.NoError(t, pickErr(f, end), "the trial")
	require.Error(t, pickErr(f, end.Add(time.Millisecond)), "the trial has not been answered")
	a.ObserveAccepted(end.Add(-time.Millisecond))
	require.Error(t, pickErr(f, end.Add(2*time.Millisecond)), "an answer to a request from before says nothing")
	a.ObserveAccepted(end)
	for range 3 {
		require.NoError(t, pickErr(f, end.Add(3*time.Millisecond)))
	}
	require.Zero(t, f.SuspendedFor("s", end))
}

// Guards against callers that are told to wait for the end of a hold although another server takes requests, or for a server that
// leaves.
func TestSuspensionOfServiceNeedsAllServers(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b"), server("c")}, time.Time{}, now)
	f.byID("a").Suspend(3*time.Second, now)
	f.byID("b").Suspend(2*time.Second, now)
	require.Zero(t, f.SuspendedFor("s", now))
	f.byID("c").MarkLeaving()
	require.Equal(t, 2*time.Second, f.SuspendedFor("s", now))
}

// Guards against a server that is never tried again because its trial was not answered, and against a second hold that is missed.
func TestProbeMayFail(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a")}, time.Time{}, now)
	a := f.Backends("s")[0]
	a.Suspend(time.Second, now)
	now = now.Add(time.Second)
	require.NoError(t, pickErr(f, now))
	now = now.Add(probeTimeout)
	require.NoError(t, pickErr(f, now), "another trial")
	a.Suspend(time.Second, now)
	require.Error(t, pickErr(f, now.Add(900*time.Millisecond)))
}

// Guards against a hold, or the word of a server that it leaves, that is lost when its entry is away for a while. It ends when the
// server starts anew under its ID.
func TestServerStateSurvivesListChanges(t *testing.T) {
	for name, say := range map[string]func(b *Backend, now time.Time){
		"wants nothing": func(b *Backend, now time.Time) { b.Suspend(time.Minute, now) },
		"leaves":        func(b *Backend, _ time.Time) { require.True(t, b.MarkLeaving()); require.False(t, b.MarkLeaving()) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			f := NewFleet(noDialect{}, "d")
			f.Update([]catalog.Server{startedServer("a", startTime, 1)}, time.Time{}, now)
			say(f.Backends("s")[0], now)
			require.Empty(t, pickID(t, f, now))
			f.Update([]catalog.Server{startedServer("a", startTime, 2)}, time.Time{}, now)
			require.Empty(t, pickID(t, f, now), "its entry was written again")
			f.Update(nil, time.Time{}, now)
			f.Update([]catalog.Server{startedServer("a", startTime, 3)}, time.Time{}, now)
			require.Empty(t, pickID(t, f, now), "its entry has come back")
			f.Update([]catalog.Server{startedServer("a", startTime.Add(time.Second), 1)}, time.Time{}, now)
			require.Equal(t, "a", pickID(t, f, now), "it has started anew")
		})
	}
}

// Guards against a list that was restored from an older copy and takes back what is known: a server that drains, and one that has
// gone. A living one is used again as soon as it writes its entry.
func TestOlderListRevertsNothing(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	old := []catalog.Server{startedServer("a", startTime, 5), startedServer("b", startTime, 5), startedServer("c", startTime, 5)}
	f.Update(old, time.Time{}, now)
	drains := startedServer("a", startTime, 7)
	drains.Draining = true
	f.Update([]catalog.Server{drains, startedServer("c", startTime, 6)}, time.Time{}, now)
	require.Equal(t, "c", pickID(t, f, now))

	f.Update(old, now.Add(time.Second), now)
	c := f.byID("c")
	require.Equal(t, "c", pickID(t, f, now))
	require.Empty(t, pickID(t, f, now, c), "a drains and b has gone")
	require.EqualValues(t, 6, c.Server().Seq)
	f.Update([]catalog.Server{startedServer("a", startTime, 8), startedServer("b", startTime, 7), startedServer("c", startTime, 7)}, time.Time{}, now)
	require.Equal(t, "b", pickID(t, f, now, c), "b lives, a has not started anew")
	require.Empty(t, pickID(t, f, now, c, f.byID("b")))
}

// Guards against a copy that shows the start of a server before the present one, whose entry is then taken for a restart.
func TestEntryOfEarlierIncarnationIsNoRestart(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{startedServer("a", startTime, 5)}, time.Time{}, now)
	f.Update([]catalog.Server{startedServer("a", startTime.Add(time.Minute), 2)}, time.Time{}, now)
	present := f.byID("a")
	present.Suspend(time.Minute, now)
	f.Update([]catalog.Server{startedServer("a", startTime, 5)}, now.Add(time.Second), now)
	require.Same(t, present, f.byID("a"))
	require.Empty(t, pickID(t, f, now))
}

// Guards against a notice that outlives the start of the server which it means.
func TestLeavingNoticeAppliesToOneIncarnation(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{startedServer("a", startTime, 1), startedServer("b", startTime, 1)}, time.Time{}, now)
	require.Empty(t, f.SetLeaving("s", map[string]int64{"a:80": startTime.UnixMilli() - 1, "b:80": 0}))
	require.NotEmpty(t, pickID(t, f, now))
	require.Len(t, f.SetLeaving("s", map[string]int64{"a:80": startTime.UnixMilli()}), 1)
	require.Equal(t, "b", pickID(t, f, now))
	require.Equal(t, 1, f.Usable("s"))
	require.Equal(t, 4, f.Groups("s", now)[0].Slots)
}

func (f *Fleet) byID(id string) *Backend { return f.current.Load().byID[id] }

// Guards against requests to a server that has gone and whose entry is still listed, beside that of the next one at its address: all
// of them are refused, and after two of them the caller is. Pattern: all instances lose power and start again under other IDs.
func TestLatestServerAtAddressWins(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	before, after := startedServer("a", startTime, 5), startedServer("b", startTime.Add(time.Second), 1)
	after.Address = before.Address
	other := startedServer("c", startTime, 5)
	f.Update([]catalog.Server{before, other}, time.Time{}, now)
	f.Update([]catalog.Server{before, after, other}, now.Add(time.Minute), now)
	require.Nil(t, f.byID("a"), "also just after an outage of the list")
	require.Equal(t, "b", pickID(t, f, now, f.byID("c")))
	require.Empty(t, pickID(t, f, now, f.byID("c"), f.byID("b")))
	after.Started = time.Time{}
	f.Update([]catalog.Server{before, after, other}, time.Time{}, now)
	require.NotNil(t, f.byID("b"), "it does not say when it started")
}
