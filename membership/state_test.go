package membership

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/instances"
)

// world drives a state in virtual time.
type world struct {
	*State
	now time.Time
}

func newWorld(domains ...string) *world {
	w := &world{now: time.Unix(1_000_000, 0)}
	w.State = NewState(w.now, 1)
	var servers []Server
	for _, d := range domains {
		for i := range 4 {
			servers = append(servers, Server{fmt.Sprintf("%s%d", d, i), d})
		}
	}
	w.SetServers(w.now, servers)
	return w
}

func (w *world) list(version int64, state instances.State, names ...string) {
	l := instances.List{Version: version}
	for _, n := range names {
		l.Instances = append(l.Instances, instances.Instance{Name: n, Program: instances.ProgramSide, State: state})
	}
	w.ApplyList(w.now, l)
}

func (w *world) reasonOf(server string) Reason { return w.View(w.now).Of(server).Reason }

// run moves time on; alive answers the probes.
func (w *world) run(d time.Duration, alive func(server string) (Report, bool)) (probes int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tickInterval) {
		for _, name := range w.Tick(w.now) {
			probes++
			if rep, ok := alive(name); ok {
				w.ProbeSucceeded(w.now, rep)
			} else {
				w.ProbeFailed(w.now, name)
			}
		}
	}
	return probes
}

func dead(string) (Report, bool) { return Report{}, false }

func incarnation(n int64) func(string) (Report, bool) {
	return func(s string) (Report, bool) { return Report{Server: s, Incarnation: n}, true }
}

// Guards against a draining server that gets work again because a lagging list still shows it as live.
func TestListNeverBringsBackADrainingServer(t *testing.T) {
	w := newWorld("a")
	w.Report(w.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	require.Equal(t, Draining, w.reasonOf("a0"))
	w.list(1, instances.Live, "a0", "a1")
	w.Report(w.now, Report{Server: "a0", Incarnation: 3}) // a reply that was delayed
	w.Report(w.now, Report{Server: "a0", Incarnation: 2})
	require.Equal(t, Draining, w.reasonOf("a0"))
	w.Report(w.now, Report{Server: "a0", Incarnation: 4})
	require.Equal(t, Usable, w.reasonOf("a0"))
	w.Report(w.now, Report{Server: "a0", Incarnation: 3, Draining: true, Slow: true})
	require.Equal(t, Usable, w.reasonOf("a0"))
	require.False(t, w.View(w.now).Of("a0").Slow, "a late report of the incarnation before")
}

// Guards against a drained server that is never found again: it gets no work, so only a probe can find its new
// incarnation.
func TestDrainedServerIsProbedForItsNextIncarnation(t *testing.T) {
	w := newWorld("a")
	w.Report(w.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	w.run(5*time.Second, dead)
	require.NotEqual(t, Usable, w.reasonOf("a0"))
	w.run(maxProbePause+time.Second, incarnation(4))
	require.Equal(t, Usable, w.reasonOf("a0"))
	require.NotZero(t, w.View(w.now).Of("a0").Since, "a new incarnation must ramp up")
}

// Guards against a dead server that stays in use because the list lags: it must be out within 3 s of the first
// failure, also when this process sends nothing else to it, and stay out while the list shows it as live.
func TestDeadServerIsOutWithinThreeSeconds(t *testing.T) {
	w := newWorld("a", "b")
	w.list(1, instances.Live, "a0", "b0")
	w.Connected(w.now, "a1")
	w.Failed(w.now, "a0")
	require.Equal(t, Usable, w.reasonOf("a0"), "one failure moves only that request")
	w.run(3*time.Second, dead)
	require.Equal(t, Down, w.reasonOf("a0"))
	w.list(2, instances.Live, "a0", "b0")
	w.Connected(w.now, "a0") // the end of a stream that began before
	require.Equal(t, Down, w.reasonOf("a0"))
	w.run(10*time.Second, dead)
	require.Equal(t, Down, w.reasonOf("a0"))
	w.run(maxProbePause, incarnation(1))
	require.Equal(t, Usable, w.reasonOf("a0"))
}

// Guards against a server whose new connections work but whose work shows no byte, or that is paused.
func TestSilenceTakesAServerDownAfterThreeSeconds(t *testing.T) {
	w := newWorld("a")
	w.now = w.now.Add(time.Minute)
	w.Silent(w.now, "a0") // the connection was silent for 1 s already
	require.Equal(t, Usable, w.reasonOf("a0"))
	w.probeAtNever("a0")
	w.run(SilenceIsDown-ConnectionSilence+tickInterval, dead)
	require.Equal(t, Down, w.reasonOf("a0"))
}

// probeAtNever switches the probe off, so that the silence rule is tested alone.
func (w *world) probeAtNever(server string) { w.records[server].probeAt = 0 }

// Guards against a single silent connection that takes a healthy server out of use.
func TestASilentConnectionAloneDoesNotTakeAServerDown(t *testing.T) {
	w := newWorld("a")
	w.Silent(w.now, "a0")
	w.run(5*time.Second, incarnation(1))
	require.Equal(t, Usable, w.reasonOf("a0"))
	require.False(t, w.View(w.now).Of("a0").Suspect)
}

// Guards against a list that lags in the other direction: it shows an instance as leaving that has restarted.
func TestSelfReportOfANewIncarnationOutweighsLeaving(t *testing.T) {
	w := newWorld("a")
	w.Report(w.now, Report{Server: "a0", Incarnation: 7})
	w.list(1, instances.Leaving, "a0")
	require.Equal(t, Leaving, w.reasonOf("a0"))
	w.Report(w.now, Report{Server: "a0", Incarnation: 7})
	require.Equal(t, Leaving, w.reasonOf("a0"), "the same incarnation may not have read the list yet")
	w.Report(w.now, Report{Server: "a0", Incarnation: 8})
	require.Equal(t, Usable, w.reasonOf("a0"))
	w.list(2, instances.Leaving, "a0", "a1")
	require.Equal(t, Usable, w.reasonOf("a0"))
}

// Guards against a list that stays wrong for good: a server that keeps saying that it does not drain is used
// again after leavingOverruledAfter.
func TestLastingSelfReportsOutweighAListThatStaysWrong(t *testing.T) {
	w := newWorld("a")
	w.list(1, instances.Leaving, "a0")
	w.run(leavingOverruledAfter-time.Second, incarnation(7))
	require.Equal(t, Leaving, w.reasonOf("a0"))
	w.run(maxProbePause, incarnation(7))
	require.Equal(t, Usable, w.reasonOf("a0"))
}

// Guards against an older answer of the list that undoes a newer one, and against ignoring the list for good
// after its service restarted.
func TestOlderListIsIgnored(t *testing.T) {
	w := newWorld("a")
	w.list(5, instances.Leaving, "a0")
	w.list(4, instances.Live, "a0")
	require.Equal(t, Leaving, w.reasonOf("a0"))
	w.now = w.now.Add(listResetAfter)
	w.list(1, instances.Live, "a0")
	require.Equal(t, Usable, w.reasonOf("a0"))
}

// Guards against taking an absent entry as proof of death.
func TestAbsentServerStaysUsable(t *testing.T) {
	w := newWorld("a")
	w.list(1, instances.Live, "a0")
	w.list(2, instances.Live, "a1")
	require.Equal(t, Usable, w.reasonOf("a0"))
	w.list(3, instances.Leaving, "a1")
	w.list(4, instances.Live, "a0")
	require.Equal(t, Down, w.reasonOf("a1"), "an instance that was leaving has gone")
}

// Guards against reporting a whole domain as dead when this process is cut off from it, against sending work to
// its untried servers, and against probing all of them at once.
func TestFailureOfAWholeDomainIsAPartition(t *testing.T) {
	w := newWorld("a", "b")
	for i := range 3 {
		w.Failed(w.now, fmt.Sprintf("a%d", i))
		w.Connected(w.now, "b0")
	}
	probes := w.run(5*time.Second, dead)
	v := w.View(w.now)
	for i := range 4 {
		require.Equal(t, Partition, v.Of(fmt.Sprintf("a%d", i)).Reason)
	}
	require.True(t, v.Partitioned("a"))
	require.Empty(t, v.ReportedDown())
	require.Equal(t, Usable, v.Of("b0").Reason)
	require.LessOrEqual(t, probes, 8)
	w.run(6*time.Second, incarnation(1))
	require.Equal(t, Usable, w.reasonOf("a3"))
}

// Guards against taking the loss of a rack as a partition: other servers of the domain still answer.
func TestFailuresAmongSuccessesAreNoPartition(t *testing.T) {
	w := newWorld("a")
	for i := range 3 {
		for range DownAfterFailures {
			w.Failed(w.now, fmt.Sprintf("a%d", i))
			w.now = w.now.Add(time.Millisecond)
			w.Connected(w.now, "a3")
		}
	}
	v := w.View(w.now)
	require.False(t, v.Partitioned("a"))
	require.Len(t, v.ReportedDown(), 3)
}

// Guards against a state that outgrows its bound of 64 bytes for each server.
func TestRecordSize(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(record{}), uintptr(64))
}

// Guards against a list that came before the configuration, or before a server was added to it, being forgotten.
func TestListBeforeConfigurationCounts(t *testing.T) {
	w := &world{now: time.Unix(1_000_000, 0)}
	w.State = NewState(w.now, 1)
	w.list(1, instances.Leaving, "a0")
	w.SetServers(w.now, []Server{{"a0", "a"}, {"a1", "a"}})
	require.Equal(t, Leaving, w.reasonOf("a0"))
	require.Equal(t, Usable, w.reasonOf("a1"))
}

// Guards against a partition that is concluded from failures of servers that are no longer configured.
func TestFailuresOfRemovedServersDoNotCountTowardsAPartition(t *testing.T) {
	w := newWorld("a")
	w.Failed(w.now, "a0")
	w.Failed(w.now, "a1")
	w.SetServers(w.now, []Server{{"a0", "b"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}})
	w.Failed(w.now, "a2")
	require.False(t, w.View(w.now).Partitioned("a"))
	w.Failed(w.now, "a3")
	w.Failed(w.now, "a4")
	require.True(t, w.View(w.now).Partitioned("a"))
}
