package membership

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/instances"
)

// testState drives a state in virtual time.
type testState struct {
	*State
	now time.Time
}

func newTestState(domains ...string) *testState {
	s := &testState{now: time.Unix(1_000_000, 0)}
	s.State = NewState(s.now, 1)
	var servers []Server
	for _, d := range domains {
		for i := range 4 {
			servers = append(servers, Server{fmt.Sprintf("%s%d", d, i), d})
		}
	}
	s.SetServers(s.now, servers)
	return s
}

func (s *testState) applyList(version int64, state instances.State, names ...string) {
	l := instances.List{Version: version}
	for _, n := range names {
		l.Instances = append(l.Instances, instances.Instance{Name: n, Program: instances.ProgramSide, State: state})
	}
	s.ApplyList(s.now, l)
}

func (s *testState) reasonOf(server string) Reason { return s.View(s.now).Status(server).Reason }

// advance moves time on; alive answers the probes.
func (s *testState) advance(d time.Duration, alive func(server string) (Report, bool)) (probes int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickInterval) {
		for _, name := range s.Tick(s.now) {
			probes++
			if rep, ok := alive(name); ok {
				s.ProbeSucceeded(s.now, rep)
			} else {
				s.ProbeFailed(s.now, name)
			}
		}
	}
	return probes
}

func noResponse(string) (Report, bool) { return Report{}, false }

func respondAs(n int64) func(string) (Report, bool) {
	return func(s string) (Report, bool) { return Report{Server: s, Incarnation: n}, true }
}

// Guards against a draining server that gets work again because a lagging list still shows it as live.
func TestListDoesNotRestoreADrainingServer(t *testing.T) {
	s := newTestState("a")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	require.Equal(t, Draining, s.reasonOf("a0"))
	s.applyList(1, instances.Live, "a0", "a1")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3}) // a reply that was delayed
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 2})
	require.Equal(t, Draining, s.reasonOf("a0"))
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 4})
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true, Slow: true})
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.False(t, s.View(s.now).Status("a0").Slow, "a late report of the incarnation before")
}

// Guards against a drained server that is never found again: it gets no work, so only a probe can find its new
// incarnation.
func TestDrainedServerIsProbedForItsNextIncarnation(t *testing.T) {
	s := newTestState("a")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	s.advance(5*time.Second, noResponse)
	require.NotEqual(t, Usable, s.reasonOf("a0"))
	s.advance(maxProbeBackoff+time.Second, respondAs(4))
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.NotZero(t, s.View(s.now).Status("a0").UsableSince, "a new incarnation must ramp up")
}

// Guards against a dead server that stays in use because the list lags: it must be out within 3 s of the first
// failure, also when this process sends nothing else to it, and stay out while the list shows it as live.
func TestFailedServerIsDownWithinThreeSeconds(t *testing.T) {
	s := newTestState("a", "b")
	s.applyList(1, instances.Live, "a0", "b0")
	s.ObserveSuccess(s.now, "a1")
	s.ObserveFailure(s.now, "a0")
	require.Equal(t, Usable, s.reasonOf("a0"), "one failure moves only that request")
	s.advance(3*time.Second, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
	s.applyList(2, instances.Live, "a0", "b0")
	s.ObserveSuccess(s.now, "a0") // the end of a stream that began before
	require.Equal(t, Down, s.reasonOf("a0"))
	s.advance(10*time.Second, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
	s.advance(maxProbeBackoff, respondAs(1))
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against a server whose new connections work but whose work shows no byte, or that is paused.
func TestSilentServerIsDownAfterThreeSeconds(t *testing.T) {
	s := newTestState("a")
	s.now = s.now.Add(time.Minute)
	s.ObserveSilence(s.now, "a0") // the connection was silent for 1 s already
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.disableProbe("a0")
	s.advance(DownAfterSilence-SilenceTimeout+tickInterval, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
}

// disableProbe switches the probe off, so that the silence rule is tested alone.
func (s *testState) disableProbe(server string) { s.records[server].probeAt = 0 }

// Guards against a single silent connection that takes a healthy server out of use.
func TestSingleSilentConnectionDoesNotMarkAServerDown(t *testing.T) {
	s := newTestState("a")
	s.ObserveSilence(s.now, "a0")
	s.advance(5*time.Second, respondAs(1))
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.False(t, s.View(s.now).Status("a0").Suspect)
}

// Guards against a list that lags in the other direction: it shows an instance as leaving that has restarted.
func TestReportOfANewIncarnationOverridesLeaving(t *testing.T) {
	s := newTestState("a")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 7})
	s.applyList(1, instances.Leaving, "a0")
	require.Equal(t, Leaving, s.reasonOf("a0"))
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 7})
	require.Equal(t, Leaving, s.reasonOf("a0"), "the same incarnation may not have read the list yet")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 8})
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.applyList(2, instances.Leaving, "a0", "a1")
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against a list that stays wrong for good: a server that keeps saying that it does not drain is used
// again after leavingOverruledAfter.
func TestRepeatedReportsOverrideAStaleLeavingState(t *testing.T) {
	s := newTestState("a")
	s.applyList(1, instances.Leaving, "a0")
	s.advance(leavingOverrideDelay-time.Second, respondAs(7))
	require.Equal(t, Leaving, s.reasonOf("a0"))
	s.advance(maxProbeBackoff, respondAs(7))
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against an older answer of the list that undoes a newer one, and against ignoring the list for good
// after its service restarted.
func TestOlderListIsIgnored(t *testing.T) {
	s := newTestState("a")
	s.applyList(5, instances.Leaving, "a0")
	s.applyList(4, instances.Live, "a0")
	require.Equal(t, Leaving, s.reasonOf("a0"))
	s.now = s.now.Add(listResetAfter)
	s.applyList(1, instances.Live, "a0")
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against taking an absent entry as proof of death.
func TestAbsentServerStaysUsable(t *testing.T) {
	s := newTestState("a")
	s.applyList(1, instances.Live, "a0")
	s.applyList(2, instances.Live, "a1")
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.applyList(3, instances.Leaving, "a1")
	s.applyList(4, instances.Live, "a0")
	require.Equal(t, Down, s.reasonOf("a1"), "an instance that was leaving has gone")
}

// Guards against reporting a whole domain as dead when this process is cut off from it, against sending work to
// its untried servers, and against probing all of them at once.
func TestFailureOfAWholeDomainIsTreatedAsAPartition(t *testing.T) {
	s := newTestState("a", "b")
	for i := range 3 {
		s.ObserveFailure(s.now, fmt.Sprintf("a%d", i))
		s.ObserveSuccess(s.now, "b0")
	}
	probes := s.advance(5*time.Second, noResponse)
	v := s.View(s.now)
	for i := range 4 {
		require.Equal(t, Partition, v.Status(fmt.Sprintf("a%d", i)).Reason)
	}
	require.True(t, v.Partitioned("a"))
	require.Empty(t, v.DownServers())
	require.Equal(t, Usable, v.Status("b0").Reason)
	require.LessOrEqual(t, probes, 8)
	s.advance(6*time.Second, respondAs(1))
	require.Equal(t, Usable, s.reasonOf("a3"))
}

// Guards against taking the loss of a rack as a partition: other servers of the domain still answer.
func TestFailuresAmongSuccessesAreNotAPartition(t *testing.T) {
	s := newTestState("a")
	for i := range 3 {
		for range DownAfterFailures {
			s.ObserveFailure(s.now, fmt.Sprintf("a%d", i))
			s.now = s.now.Add(time.Millisecond)
			s.ObserveSuccess(s.now, "a3")
		}
	}
	v := s.View(s.now)
	require.False(t, v.Partitioned("a"))
	require.Len(t, v.DownServers(), 3)
}

// Guards against a state that outgrows its bound of 64 bytes for each server.
func TestRecordSize(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(record{}), uintptr(64))
}

// Guards against a list that came before the configuration, or before a server was added to it, being forgotten.
func TestListBeforeConfigurationIsApplied(t *testing.T) {
	s := &testState{now: time.Unix(1_000_000, 0)}
	s.State = NewState(s.now, 1)
	s.applyList(1, instances.Leaving, "a0")
	s.SetServers(s.now, []Server{{"a0", "a"}, {"a1", "a"}})
	require.Equal(t, Leaving, s.reasonOf("a0"))
	require.Equal(t, Usable, s.reasonOf("a1"))
}

// Guards against a partition that is concluded from failures of servers that are no longer configured.
func TestFailuresOfRemovedServersDoNotCountTowardsAPartition(t *testing.T) {
	s := newTestState("a")
	s.ObserveFailure(s.now, "a0")
	s.ObserveFailure(s.now, "a1")
	s.SetServers(s.now, []Server{{"a0", "b"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}})
	s.ObserveFailure(s.now, "a2")
	require.False(t, s.View(s.now).Partitioned("a"))
	s.ObserveFailure(s.now, "a3")
	s.ObserveFailure(s.now, "a4")
	require.True(t, s.View(s.now).Partitioned("a"))
}
