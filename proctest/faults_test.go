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

// streams starts n streamed generations through all entries and returns when each has begun. The function
// returned waits for their ends.
func (d *Deployment) streams(n, tokens int) (wait func() []Stream) {
	out := make([]Stream, n)
	var begun, ended sync.WaitGroup
	begun.Add(n)
	for i := range n {
		ended.Go(func() {
			var once sync.Once
			defer once.Do(begun.Done)
			out[i] = Chat(d.t, d.Entries[i%len(d.Entries)].URL, fmt.Sprint("note ", i), tokens, func(int) { once.Do(begun.Done) })
		})
	}
	begun.Wait()
	return func() []Stream {
		ended.Wait()
		return out
	}
}

func requireWhole(t *testing.T, all []Stream, tokens int) {
	t.Helper()
	for i, s := range all {
		require.True(t, s.Done, "stream %d: %+v", i, s)
		require.Equal(t, expected(fmt.Sprint("note ", i), tokens), s.Text, "stream %d", i)
	}
}

type sideState struct {
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

func served(t *testing.T, s *Server) int64 {
	t.Helper()
	var st sideState
	require.NoError(t, s.State(&st))
	return st.Side.Served
}

// longStream is the number of tokens of a stream that outlasts all fixed times of a shutdown: at 5 ms a token, 5 s
// against 1 s of refusals and 2 s for the listeners.
const longStream = 1000

// Guards against a graceful shutdown of a side process that cuts off running work (P6).
func TestTerminatedSideFinishesItsStreams(t *testing.T) {
	d := small(t)
	wait := d.streams(12, longStream)
	d.Models[0].Terminate()
	requireWhole(t, wait(), longStream)
	require.NoError(t, d.Models[0].Wait(patience))
}

// Guards against a graceful shutdown of an entry that cuts off its callers (P6).
func TestTerminatedEntryFinishesItsStreams(t *testing.T) {
	d := small(t)
	wait := d.streams(12, longStream)
	d.Entries[1].Terminate()
	requireWhole(t, wait(), longStream)
	require.NoError(t, d.Entries[1].Wait(patience))
}

// Guards against work that goes on to reach a server which the operator drains (P5), and against a drain that
// cuts off what runs there (P6).
func TestDrainedServerGetsNoNewWork(t *testing.T) {
	d := small(t)
	wait := d.streams(12, 100)
	out, code := d.Ctl("drain", d.Models[0].Settings.Name)
	require.Zero(t, code, out)
	requireWhole(t, wait(), 100)
	Eventually(t, "drain is in force", func() bool {
		var st sideState
		return d.Models[0].State(&st) == nil && st.Side.Load.Draining
	})
	before := served(t, d.Models[0])
	requireWhole(t, d.streams(20, 5)(), 5)
	require.Equal(t, before, served(t, d.Models[0]))
}

// Guards against a broken stream that looks like a complete answer, and against tokens that are lost or
// doubled when it goes on elsewhere (P2).
func TestKilledSideLeavesNoFalseCompleteAnswer(t *testing.T) {
	d := small(t)
	wait := d.streams(12, 200)
	d.Models[0].Kill()
	for i, s := range wait() {
		want := expected(fmt.Sprint("note ", i), 200)
		if s.Done {
			require.Equal(t, want, s.Text, "stream %d", i)
			continue
		}
		require.NotNil(t, s.Error, "stream %d: %+v", i, s)
		require.True(t, strings.HasPrefix(want, s.Text), "stream %d", i)
	}
}

// Guards against an outage of the key-value service that stops traffic, and against changes that seem accepted
// during it (P7).
func TestTrafficGoesOnWithoutKeyValueService(t *testing.T) {
	d := small(t)
	d.KVFaults(kvserver.Faults{Down: true})
	requireWhole(t, d.streams(6, 20)(), 20)
	out, code := d.Apply(`{"models": [{"name": "second"}]}`)
	require.Equal(t, 5, code, out)
	late := d.startEntry(2)
	d.Entries = append(d.Entries, late)
	late.Ready()
	requireWhole(t, d.streams(6, 20)(), 20)
	d.KVFaults(kvserver.Faults{})
	Eventually(t, "a change is accepted again", func() bool {
		_, code := d.Apply(`{"models": [{"name": "second"}]}`)
		return code == 0
	})
	d.inForce(2)
}

// inForce waits until a revision is in force in every process, and checks that none goes back.
func (d *Deployment) inForce(revision int64) {
	d.t.Helper()
	for _, s := range append(append([]*Server{}, d.Models...), d.Services...) {
		var last int64
		Eventually(d.t, fmt.Sprintf("revision %d in force in %s", revision, s.Name), func() bool {
			var st sideState
			if s.State(&st) != nil {
				return false
			}
			require.GreaterOrEqual(d.t, st.Side.Load.Revision, last, "revision goes back in %s", s.Name)
			last = st.Side.Load.Revision
			return last >= revision
		})
	}
}

// Guards against a change that is lost, or applied twice, when the answer of the key-value service is lost
// after the write took effect.
func TestLostAnswerAppliesAChangeOnce(t *testing.T) {
	d := small(t)
	d.KVFaults(kvserver.Faults{LoseResponses: 1})
	out, code := d.Apply(`{"models": [{"name": "second"}]}`)
	require.Zero(t, code, out)
	out, code = d.Ctl("history")
	require.Zero(t, code, out)
	d.inForce(2)
	out, code = d.Apply(`{"models": [{"name": "third"}]}`)
	require.Zero(t, code, out)
	d.inForce(3)
	var st sideState
	require.NoError(t, d.Models[0].State(&st))
	require.Equal(t, int64(3), st.Side.Load.Revision)
}

// Guards against two operators who both believe that their change was made on the same revision.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	d := small(t)
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
	d.inForce(2)
}

// Guards against a call that may not be repeated but is run twice, with replicas killed and paused around it,
// and against "executed: no" for one that ran (P3, P4).
func TestCallsWithoutKeyRunAtMostOnce(t *testing.T) {
	d := small(t)
	var wg sync.WaitGroup
	const calls = 60
	executed := make([]string, calls)
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			status, _, body := Do(t, http.MethodPost, d.Entries[i%2].URL+"/v1/services/booking/bookings", nil,
				map[string]string{"shed": fmt.Sprint("shed-", i)})
			executed[i] = "yes"
			if e := ErrorOf(body); e != nil {
				executed[i] = string(e.Executed)
			} else if status == 0 {
				executed[i] = "unknown"
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	d.Services[0].Kill()
	time.Sleep(50 * time.Millisecond)
	d.Services[1].Pause()
	time.Sleep(100 * time.Millisecond)
	d.Services[1].Resume()
	wg.Wait()
	ran := map[string]int{}
	for _, r := range d.Runs() {
		ran[r.Body]++
	}
	for i := range calls {
		n := ran[fmt.Sprintf(`{"shed":"shed-%d"}`, i)]
		require.LessOrEqual(t, n, 1, "call %d", i)
		switch executed[i] {
		case "no":
			require.Zero(t, n, "call %d was said not to have run", i)
		case "yes":
			require.Equal(t, 1, n, "call %d", i)
		}
	}
}

// Guards against a number of slots that operators change without effect on the side process.
func TestSlotsFollowTheConfiguration(t *testing.T) {
	d := small(t)
	s := d.Models[0]
	out, code := d.Ctl("get", "server/"+s.Settings.Name)
	require.Zero(t, code, out)
	content := fmt.Sprintf(`{"servers": [{"name": %q, "address": %q, "failure_domain": %q, "group": %q, "slots": 3}]}`,
		s.Settings.Name, s.Settings.Listen, s.Settings.FailureDomain, s.Settings.Name)
	out, code = d.Apply(content)
	require.Zero(t, code, out)
	Eventually(t, "the limit follows", func() bool {
		var st struct {
			Side struct{ Load struct{ Limit int } }
		}
		return s.State(&st) == nil && st.Side.Load.Limit == 3
	})
}

// Guards against work that goes on at the engine after its caller has gone away.
func TestCallerWhoLeavesCancelsTheGeneration(t *testing.T) {
	d := small(t)
	ctx, cancel := context.WithCancel(context.Background())
	ChatCtx(ctx, t, d.Entries[0].URL, "note", 2000, func(n int) {
		if n == 3 {
			cancel()
		}
	})
	Eventually(t, "the engine has cancelled the work", func() bool {
		var cancelled, running int64
		for _, s := range d.Models {
			var c engineserver.Counts
			require.NoError(t, getJSON(s.Backend+"/standin/counts", &c))
			cancelled, running = cancelled+c.Cancelled, running+c.Running
		}
		return cancelled == 1 && running == 0
	})
}

// Guards against a status that leaves out the entry which answers it, or a configured server that the instance list
// does not show.
func TestStatusListsEveryProcess(t *testing.T) {
	d := small(t)
	out, code := d.Apply(`{"models": [{"name": "m2"}], "groups": [{"name": "g2", "model": "m2", "ranks": 1}],
		"servers": [{"name": "absent", "address": "127.0.0.1:1", "failure_domain": "lahti", "group": "g2", "slots": 1}]}`)
	require.Zero(t, code, out)
	out, code = d.Ctl("status")
	require.Zero(t, code, out)
	require.Contains(t, out, "absent")
	require.Contains(t, out, d.Entries[0].Name)
	// The other entry is known from the instance list only, which lags.
	Eventually(t, "status shows every process", func() bool {
		out, _ := d.Ctl("status")
		return !slices.ContainsFunc(d.processes(), func(p *Proc) bool { return !strings.Contains(out, p.Name) })
	})
}
