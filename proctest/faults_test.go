package proctest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/engineserver"
	"lavendermoor.example/standin/kvserver"
)

// startStreams starts n streamed generations, distributed over all entries, and returns when each has received its
// first event or ended. The returned function waits until all have ended.
func (d *Deployment) startStreams(n, tokens int) (wait func() []Stream) {
	out := make([]Stream, n)
	var started, finished sync.WaitGroup
	started.Add(n)
	for i := range n {
		finished.Go(func() {
			var once sync.Once
			defer once.Do(started.Done)
			out[i] = StreamChat(d.t, d.Entries[i%len(d.Entries)].URL, fmt.Sprint("note ", i), tokens,
				func(int) { once.Do(started.Done) })
		})
	}
	started.Wait()
	return func() []Stream {
		finished.Wait()
		return out
	}
}

func requireComplete(t *testing.T, streams []Stream, tokens int) {
	t.Helper()
	for i, s := range streams {
		require.True(t, s.Done, "stream %d: %+v", i, s)
		require.Equal(t, expectedText(fmt.Sprint("note ", i), tokens), s.Text, "stream %d", i)
	}
}

type sidecarState struct {
	Side struct {
		Load struct {
			Incarnation, Revision int64
			Draining              bool
			Running, Waiting      int
			Limit                 int
		}
		Served int64
	}
}

func servedCount(t *testing.T, s *Sidecar) int64 {
	t.Helper()
	var st sidecarState
	require.NoError(t, s.State(&st))
	return st.Side.Served
}

// longStreamTokens is the number of tokens of a stream that outlasts all fixed delays of a shutdown: at 5 ms per
// token, it takes 5 s, and the shutdown waits 1 s while refusing requests and 2 s for the listeners.
const longStreamTokens = 1000

// Guards against a graceful shutdown of a sidecar that aborts running streams (invariant P6).
func TestTerminatedSidecarFinishesStreams(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(12, longStreamTokens)
	d.ModelSidecars[0].Terminate()
	requireComplete(t, wait(), longStreamTokens)
	require.NoError(t, d.ModelSidecars[0].WaitExit(waitTimeout))
}

// Guards against a graceful shutdown of an entry that aborts running streams (invariant P6).
func TestTerminatedEntryFinishesStreams(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(12, longStreamTokens)
	d.Entries[1].Terminate()
	requireComplete(t, wait(), longStreamTokens)
	require.NoError(t, d.Entries[1].WaitExit(waitTimeout))
}

// Guards against new requests to a server that an operator drains (invariant P5), and against a drain that aborts
// running streams (invariant P6).
func TestDrainedServerGetsNoNewRequests(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(12, 100)
	out, code := d.Ctl("drain", d.ModelSidecars[0].Settings.Name)
	require.Zero(t, code, out)
	requireComplete(t, wait(), 100)
	Eventually(t, "the sidecar is draining", func() bool {
		var st sidecarState
		return d.ModelSidecars[0].State(&st) == nil && st.Side.Load.Draining
	})
	before := servedCount(t, d.ModelSidecars[0])
	requireComplete(t, d.startStreams(20, 5)(), 5)
	require.Equal(t, before, servedCount(t, d.ModelSidecars[0]))
}

// Guards against a broken stream that looks complete, and against lost or duplicated tokens in a stream that continues
// on another replica (invariant P2).
func TestStreamCutByKilledSidecarIsNotComplete(t *testing.T) {
	d := deploySmall(t)
	wait := d.startStreams(12, 200)
	d.ModelSidecars[0].Kill()
	for i, s := range wait() {
		want := expectedText(fmt.Sprint("note ", i), 200)
		if s.Done {
			require.Equal(t, want, s.Text, "stream %d", i)
			continue
		}
		require.NotNil(t, s.Error, "stream %d: %+v", i, s)
		require.True(t, strings.HasPrefix(want, s.Text), "stream %d", i)
	}
}

// Guards against an outage of the key-value service that interrupts traffic, and against configuration changes that are
// reported as accepted during the outage (invariant P7).
func TestTrafficContinuesDuringKeyValueOutage(t *testing.T) {
	d := deploySmall(t)
	d.SetKVFaults(kvserver.Faults{Down: true})
	requireComplete(t, d.startStreams(6, 20)(), 20)
	out, code := d.Apply(`{"models": [{"name": "second"}]}`)
	require.Equal(t, 5, code, out)
	newEntry := d.startEntry(2)
	d.Entries = append(d.Entries, newEntry)
	newEntry.WaitReady()
	requireComplete(t, d.startStreams(6, 20)(), 20)
	d.SetKVFaults(kvserver.Faults{})
	Eventually(t, "a change is accepted again", func() bool {
		_, code := d.Apply(`{"models": [{"name": "second"}]}`)
		return code == 0
	})
	d.waitRevision(2)
}

// waitRevision waits until the revision is active in every sidecar. It fails the test if the revision of a sidecar
// decreases.
func (d *Deployment) waitRevision(revision int64) {
	d.t.Helper()
	for _, s := range append(append([]*Sidecar{}, d.ModelSidecars...), d.ServiceSidecars...) {
		var last int64
		Eventually(d.t, fmt.Sprintf("revision %d is active in %s", revision, s.Name), func() bool {
			var st sidecarState
			if s.State(&st) != nil {
				return false
			}
			require.GreaterOrEqual(d.t, st.Side.Load.Revision, last, "revision decreased in %s", s.Name)
			last = st.Side.Load.Revision
			return last >= revision
		})
	}
}

// Guards against a configuration change that is lost or applied twice when the response of the key-value service is
// lost after the write has taken effect.
func TestLostResponseAppliesChangeOnce(t *testing.T) {
	d := deploySmall(t)
	d.SetKVFaults(kvserver.Faults{LoseResponses: 1})
	out, code := d.Apply(`{"models": [{"name": "second"}]}`)
	require.Zero(t, code, out)
	out, code = d.Ctl("history")
	require.Zero(t, code, out)
	d.waitRevision(2)
	out, code = d.Apply(`{"models": [{"name": "third"}]}`)
	require.Zero(t, code, out)
	d.waitRevision(3)
	var st sidecarState
	require.NoError(t, d.ModelSidecars[0].State(&st))
	require.Equal(t, int64(3), st.Side.Load.Revision)
}

// Guards against more than one success when several operators concurrently make changes that expect the same revision.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	d := deploySmall(t)
	const operators = 6
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			file := writeSettings(t, fmt.Sprint("race-", i), map[string]any{
				"models": []map[string]any{{"name": fmt.Sprint("model-", i)}},
			})
			_, codes[i] = d.CtlAt(d.Entries[i%2], "apply", "-f", file, "-expect", "1")
		})
	}
	wg.Wait()
	count := map[int]int{}
	for _, c := range codes {
		count[c]++
	}
	require.Equal(t, map[int]int{0: 1, 4: operators - 1}, count)
	d.waitRevision(2)
}

// Guards against calls without an idempotency key that run twice, or that get "executed: no" although they ran, while
// sidecars are killed and paused (invariants P3 and P4).
func TestUnkeyedCallsRunAtMostOnce(t *testing.T) {
	d := deploySmall(t)
	var wg sync.WaitGroup
	const calls = 60
	executed := make([]string, calls)
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			status, _, body := Do(t, http.MethodPost, d.Entries[i%2].URL+"/v1/services/booking/bookings", nil,
				map[string]string{"shed": fmt.Sprint("shed-", i)})
			executed[i] = "yes"
			if e := DecodeError(body); e != nil {
				executed[i] = string(e.Executed)
			} else if status == 0 {
				executed[i] = "unknown"
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	d.ServiceSidecars[0].Kill()
	time.Sleep(50 * time.Millisecond)
	d.ServiceSidecars[1].Pause()
	time.Sleep(100 * time.Millisecond)
	d.ServiceSidecars[1].Resume()
	wg.Wait()
	runs := map[string]int{}
	for _, r := range d.Runs() {
		runs[r.Body]++
	}
	for i := range calls {
		n := runs[fmt.Sprintf(`{"shed":"shed-%d"}`, i)]
		require.LessOrEqual(t, n, 1, "call %d", i)
		switch executed[i] {
		case "no":
			require.Zero(t, n, "call %d ran although it was reported as not executed", i)
		case "yes":
			require.Equal(t, 1, n, "call %d", i)
		}
	}
}

// Guards against a sidecar that keeps its admission limit when the configuration changes its number of slots.
func TestSlotsFollowConfiguration(t *testing.T) {
	d := deploySmall(t)
	s := d.ModelSidecars[0]
	out, code := d.Ctl("get", "server/"+s.Settings.Name)
	require.Zero(t, code, out)
	content := fmt.Sprintf(`{"servers": [{"name": %q, "address": %q, "failure_domain": %q, "group": %q, "slots": 3}]}`,
		s.Settings.Name, s.Settings.Listen, s.Settings.FailureDomain, s.Settings.Name)
	out, code = d.Apply(content)
	require.Zero(t, code, out)
	Eventually(t, "the limit equals the number of slots", func() bool {
		var st struct {
			Side struct{ Load struct{ Limit int } }
		}
		return s.State(&st) == nil && st.Side.Load.Limit == 3
	})
}

// Guards against a generation that continues on the engine after its caller has disconnected.
func TestCanceledCallerCancelsGeneration(t *testing.T) {
	d := deploySmall(t)
	ctx, cancel := context.WithCancel(context.Background())
	StreamChatContext(ctx, t, d.Entries[0].URL, "note", 2000, func(n int) {
		if n == 3 {
			cancel()
		}
	})
	Eventually(t, "the engine has canceled the generation", func() bool {
		var canceled, running int64
		for _, s := range d.ModelSidecars {
			var c engineserver.Counts
			require.NoError(t, getJSON(s.BackendURL+"/standin/counts", &c))
			canceled, running = canceled+c.Canceled, running+c.Running
		}
		return canceled == 1 && running == 0
	})
}

// Guards against a status that omits a process, for example the entry that serves it, or a configured server that is
// not on the instance list.
func TestStatusListsEveryProcess(t *testing.T) {
	d := deploySmall(t)
	out, code := d.Apply(`{"models": [{"name": "m2"}], "groups": [{"name": "g2", "model": "m2", "ranks": 1}],
		"servers": [{"name": "absent", "address": "127.0.0.1:1", "failure_domain": "lahti", "group": "g2", "slots": 1}]}`)
	require.Zero(t, code, out)
	out, code = d.Ctl("status")
	require.Zero(t, code, out)
	require.Contains(t, out, "absent")
	require.Contains(t, out, d.Entries[0].Name)
	// The status gets the other entry only from the instance list, which shows it with a delay.
	Eventually(t, "status shows every process", func() bool {
		out, _ := d.Ctl("status")
		return !slices.ContainsFunc(d.processes(), func(p *Proc) bool { return !strings.Contains(out, p.Name) })
	})
}
