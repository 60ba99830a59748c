package membership

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/instances"
)

// testState runs a State in virtual time.
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

// advance advances the time by d in steps of tickInterval and calls probe for each server that is due. probe returns
// false for a failure. advance returns the number of probes.
func (s *testState) advance(d time.Duration, probe func(server string) (Report, bool)) (probes int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickInterval) {
		for _, name := range s.Tick(s.now) {
			probes++
			if rep, ok := probe(name); ok {
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

// Guards against sending new requests to a draining server because a stale list still shows it as live, or because of a
// delayed report from before the drain.
func TestListDoesNotRestoreADrainingServer(t *testing.T) {
	s := newTestState("a")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	require.Equal(t, Draining, s.reasonOf("a0"))
	s.applyList(1, instances.Live, "a0", "a1")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3}) // a delayed response
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 2})
	require.Equal(t, Draining, s.reasonOf("a0"))
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 4})
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true, Slow: true})
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.False(t, s.View(s.now).Status("a0").Slow, "a delayed report of the previous incarnation is ignored")
}

// Guards against a drained server that stays out of use after its restart: it gets no requests, so only a probe can
// detect its new incarnation.
func TestDrainedServerIsProbedForItsNextIncarnation(t *testing.T) {
	s := newTestState("a")
	s.ObserveReport(s.now, Report{Server: "a0", Incarnation: 3, Draining: true})
	s.advance(5*time.Second, noResponse)
	require.NotEqual(t, Usable, s.reasonOf("a0"))
	s.advance(maxProbeBackoff+time.Second, respondAs(4))
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.NotZero(t, s.View(s.now).Status("a0").UsableSince, "a new incarnation must ramp up")
}

// Guards against a failed server that stays in use because the list is stale. It must be down within 3 s of the first
// failure, even if this process sends it no more requests, and stay down while the list shows it as live.
func TestFailedServerIsDownWithinThreeSeconds(t *testing.T) {
	s := newTestState("a", "b")
	s.applyList(1, instances.Live, "a0", "b0")
	s.ObserveSuccess(s.now, "a1")
	s.ObserveFailure(s.now, "a0")
	require.Equal(t, Usable, s.reasonOf("a0"), "a single failure does not mark the server as down")
	s.advance(3*time.Second, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
	s.applyList(2, instances.Live, "a0", "b0")
	s.ObserveSuccess(s.now, "a0") // the end of a stream that began before the failure
	require.Equal(t, Down, s.reasonOf("a0"))
	s.advance(10*time.Second, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
	s.advance(maxProbeBackoff, respondAs(1))
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against a server that accepts connections but sends no response bytes, for example a suspended process.
func TestSilentServerIsDownAfterThreeSeconds(t *testing.T) {
	s := newTestState("a")
	s.now = s.now.Add(time.Minute)
	s.ObserveSilence(s.now, "a0") // the connection has already been silent for 1 s
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.disableProbe("a0")
	s.advance(DownAfterSilence-SilenceTimeout+tickInterval, noResponse)
	require.Equal(t, Down, s.reasonOf("a0"))
}

// disableProbe cancels the scheduled probe, so that only the silence rule applies.
func (s *testState) disableProbe(server string) { s.records[server].probeAt = 0 }

// Guards against a healthy server being marked as down because of one silent connection.
func TestSingleSilentConnectionDoesNotMarkAServerDown(t *testing.T) {
	s := newTestState("a")
	s.ObserveSilence(s.now, "a0")
	s.advance(5*time.Second, respondAs(1))
	require.Equal(t, Usable, s.reasonOf("a0"))
	require.False(t, s.View(s.now).Status("a0").Suspect)
}

// Guards against a restarted server that stays out of use because a stale list still shows it as leaving.
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

// Guards against a list that permanently shows a server as leaving: a server that keeps reporting that it is not
// draining is used again after leavingOverrideDelay.
func TestRepeatedReportsOverrideAStaleLeavingState(t *testing.T) {
	s := newTestState("a")
	s.applyList(1, instances.Leaving, "a0")
	s.advance(leavingOverrideDelay-time.Second, respondAs(7))
	require.Equal(t, Leaving, s.reasonOf("a0"))
	s.advance(maxProbeBackoff, respondAs(7))
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against an older list that replaces a newer one, and against ignoring the list permanently after its service
// has restarted.
func TestOlderListIsIgnored(t *testing.T) {
	s := newTestState("a")
	s.applyList(5, instances.Leaving, "a0")
	s.applyList(4, instances.Live, "a0")
	require.Equal(t, Leaving, s.reasonOf("a0"))
	s.now = s.now.Add(listResetAfter)
	s.applyList(1, instances.Live, "a0")
	require.Equal(t, Usable, s.reasonOf("a0"))
}

// Guards against treating absence from the list as proof that a server has failed.
func TestAbsentServerStaysUsable(t *testing.T) {
	s := newTestState("a")
	s.applyList(1, instances.Live, "a0")
	s.applyList(2, instances.Live, "a1")
	require.Equal(t, Usable, s.reasonOf("a0"))
	s.applyList(3, instances.Leaving, "a1")
	s.applyList(4, instances.Live, "a0")
	require.Equal(t, Down, s.reasonOf("a1"), "a leaving instance that is no longer listed has stopped")
}

// Guards against reporting the servers of a domain as down when this process is cut off from it, against sending
// requests to the servers of the domain that have not failed yet, and against probing all of them at the same time.
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

// Guards against treating the loss of a rack as a partition while other servers of the domain still respond.
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

// Guards against a record that exceeds its limit of 64 bytes per server.
func TestRecordSize(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(record{}), uintptr(64))
}

// Guards against ignoring a list that arrived before the configuration, or before a server was added to it.
func TestListBeforeConfigurationIsApplied(t *testing.T) {
	s := &testState{now: time.Unix(1_000_000, 0)}
	s.State = NewState(s.now, 1)
	s.applyList(1, instances.Leaving, "a0")
	s.SetServers(s.now, []Server{{"a0", "a"}, {"a1", "a"}})
	require.Equal(t, Leaving, s.reasonOf("a0"))
	require.Equal(t, Usable, s.reasonOf("a1"))
}

// Guards against detecting a partition because of failures of servers that have since left the domain or the
// configuration.
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
