package proctest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
	"lavendermoor.example/standin/kvserver"
)

// booked is the answer to a booking; it is "run" when the booking was made, or the value of executed.
type booked struct {
	state    string
	body     string
	replayed bool
	err      *callerapi.Error
}

// book sends a booking through an entry with the given headers.
func (d *Deployment) book(e *Entry, shed string, header http.Header) booked {
	url := e.URL + "/v1/services/" + Service + "/bookings"
	status, h, body := Do(d.t, http.MethodPost, url, header, map[string]string{"shed": shed})
	b := booked{state: "run", body: string(body), replayed: h.Get("Idempotent-Replayed") == "true", err: ErrorOf(body)}
	switch {
	case b.err != nil:
		b.state = string(b.err.Executed)
	case status == 0:
		b.state = "unknown"
	}
	return b
}

func keyHeader(key string) http.Header {
	return http.Header{callerapi.HeaderIdempotencyKey: {key}, callerapi.HeaderDeadline: {"8000"}}
}

// rank returns the servers that hold a key, in rank order.
func (d *Deployment) rank(key string) []*Server {
	var members []cluster.Member
	byName := map[string]*Server{}
	for _, s := range d.Services {
		members = append(members, cluster.Member{Name: s.Settings.Name, Domain: s.Settings.FailureDomain})
		byName[s.Settings.Name] = s
	}
	shard := idempotency.ShardOf(peerapi.CallKey{Service: Service, Customer: "crew", Key: key})
	var out []*Server
	for _, m := range idempotency.Holders(Service, shard, members) {
		out = append(out, byName[m.Name])
	}
	return out
}

// count returns how often a booking ran.
func (d *Deployment) count(shed string) int {
	n := 0
	for _, r := range d.Runs() {
		if strings.Contains(r.Body, `"`+shed+`"`) {
			n++
		}
	}
	return n
}

type onceState struct {
	Once struct {
		Incomplete int `json:"incomplete_shards"`
		Records    int `json:"records"`
	} `json:"once"`
}

// copied waits until a restarted server can judge all keys.
func (d *Deployment) copied(s *Server) {
	Eventually(d.t, s.Name+" has copied its records", func() bool {
		var st onceState
		return s.State(&st) == nil && st.Once.Incomplete == 0
	})
}

func booking(t *testing.T) *Deployment {
	return Deploy(t, Plan{Entries: 2, Services: 3, Slots: 4, ServiceArgs: []string{"-write-time", "100ms"}})
}

// TestKeySurvivesDeathOfEachHolder guards against a second run of a key after its runner was killed, restarted with an
// empty memory, and another holder was killed as well.
func TestKeySurvivesDeathOfEachHolder(t *testing.T) {
	d := booking(t)
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first)
	for _, s := range d.rank("k1") {
		s.Kill()
		again := d.book(d.Entries[1], "shed-1", keyHeader("k1"))
		require.Equal(t, first.body, again.body)
		require.True(t, again.replayed)
		d.Restart(s)
		s.Ready()
		d.copied(s)
	}
	again := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, first.body, again.body)
	require.Equal(t, 1, d.count("shed-1"))
	other := d.book(d.Entries[0], "shed-2", keyHeader("k1"))
	require.Equal(t, callerapi.KeyReused, other.err.Type)
}

// TestKilledRunnerLeavesUnknown guards against a second run, and against a false refusal, of a key whose runner was
// killed in the middle of the run.
func TestKilledRunnerLeavesUnknown(t *testing.T) {
	d := Deploy(t, Plan{Entries: 2, Services: 3, Slots: 4, ServiceArgs: []string{"-write-time", "1s"}})
	done := make(chan booked)
	go func() { done <- d.book(d.Entries[0], "shed-1", keyHeader("k3")) }()
	Eventually(t, "the call runs", func() bool { return d.count("shed-1") == 1 })
	runner := d.rank("k3")[0]
	runner.Kill()
	require.Equal(t, "unknown", (<-done).state)
	require.Equal(t, "unknown", d.book(d.Entries[1], "shed-1", keyHeader("k3")).state)
	d.Restart(runner)
	runner.Ready()
	d.copied(runner)
	require.Equal(t, "unknown", d.book(d.Entries[1], "shed-1", keyHeader("k3")).state)
	require.Equal(t, 1, d.count("shed-1"))
	fresh := d.book(d.Entries[1], "shed-2", keyHeader("k2"))
	require.Equal(t, "run", fresh.state, "%+v", fresh.err)
}

// TestPausedHolderDoesNotRunLater guards against a paused holder that runs a key after another one has, and against
// calls that wait for it.
func TestPausedHolderDoesNotRunLater(t *testing.T) {
	d := booking(t)
	paused := d.rank("k1")[0]
	paused.Pause()
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first.err)
	paused.Resume()
	d.copied(paused)
	for i := range 4 {
		again := d.book(d.Entries[i%2], "shed-1", keyHeader("k1"))
		require.Equal(t, first.body, again.body, "%+v", again.err)
	}
	require.Equal(t, 1, d.count("shed-1"))
}

func (d *Deployment) token() string {
	status, _, body := Do(d.t, http.MethodPost, d.Entries[0].URL+"/v1/services/"+Service+"/-/token", nil, nil)
	require.Equal(d.t, http.StatusOK, status, "%s", body)
	return strings.Split(string(body), `"`)[3]
}

// TestTokenOutcomeSurvivesDrain guards against a second run of a token, and against the loss of its outcome when the
// server that issued it is drained.
func TestTokenOutcomeSurvivesDrain(t *testing.T) {
	d := booking(t)
	token := d.token()
	header := http.Header{callerapi.HeaderToken: {token}}
	first := d.book(d.Entries[0], "shed-1", header)
	require.Equal(t, "run", first.state, "%+v", first.err)
	require.Equal(t, first.body, d.book(d.Entries[1], "shed-1", header).body)
	parsed, ok := idempotency.ParseToken(token)
	require.True(t, ok)
	for _, s := range d.Services {
		if s.Settings.Name == parsed.Server {
			s.Terminate()
			require.NoError(t, s.Wait(patience))
		}
	}
	again := d.book(d.Entries[1], "shed-1", header)
	require.Equal(t, first.body, again.body, "%+v", again.err)
	require.True(t, again.replayed)
	require.Equal(t, 1, d.count("shed-1"))
}

// TestRestartDuringOutageGrantsNothing guards against a holder that starts while the key-value service is down and then
// judges keys, although its successor would take itself for the first incarnation.
func TestRestartDuringOutageGrantsNothing(t *testing.T) {
	d := booking(t)
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first.err)
	d.KVFaults(kvserver.Faults{Down: true})
	s := d.rank("k1")[0]
	s.Kill()
	d.Restart(s)
	s.Ready()
	require.Equal(t, first.body, d.book(d.Entries[0], "shed-1", keyHeader("k1")).body)
	fresh := d.book(d.Entries[0], "shed-2", keyHeader("k2"))
	require.Equal(t, "run", fresh.state, "%+v", fresh.err)
	var st onceState
	require.NoError(t, s.State(&st))
	require.Equal(t, idempotency.Shards, st.Once.Incomplete)
	d.KVFaults(kvserver.Faults{})
	d.copied(s)
	require.Equal(t, first.body, d.book(d.Entries[1], "shed-1", keyHeader("k1")).body)
	require.Equal(t, 1, d.count("shed-1"))
}

// TestChangeOfServersKeepsKeys guards against keys that are forgotten when a server is added, and against a list of
// previous servers that is never cleared.
func TestChangeOfServersKeepsKeys(t *testing.T) {
	d := Deploy(t, Plan{Entries: 2, Services: 4, Slots: 4, ServiceArgs: []string{"-write-time", "10ms"}})
	const keys = 20
	bodies := map[string]string{}
	for i := range keys {
		shed := fmt.Sprint("shed-", i)
		b := d.book(d.Entries[0], shed, keyHeader(shed))
		require.Equal(t, "run", b.state, "%+v", b.err)
		bodies[shed] = b.body
	}
	last := d.Services[3]
	for _, service := range []string{"", Service} { // The server leaves and comes back.
		change := fmt.Sprintf(`{"servers": [{"name": %q, "address": %q, "failure_domain": "tampere", "service": %q, "slots": 4}]}`,
			last.Settings.Name, last.Settings.Listen, Service)
		args := []string{"apply", "-f", "CHANGE"}
		if service == "" {
			args = []string{"delete", "server/" + last.Settings.Name}
		}
		Eventually(t, "change is accepted once the one before is complete", func() bool {
			var code int
			if service == "" {
				_, code = d.Ctl(args...)
			} else {
				_, code = d.Apply(change)
			}
			return code == 0
		})
		for shed, body := range bodies {
			Eventually(t, shed+" is replayed", func() bool {
				return d.book(d.Entries[0], shed, keyHeader(shed)).body == body
			})
		}
	}
	for shed := range bodies {
		require.Equal(t, 1, d.count(shed))
	}
	Eventually(t, "the previous servers are cleared", func() bool {
		out, code := d.Ctl("get", "service/"+Service)
		return code == 0 && strings.Contains(out, `"booking-4"`) && !strings.Contains(out, "previous")
	})
	out, _ := d.Ctl("get", "service/"+Service)
	require.Regexp(t, `"?epoch"?: *"?3`, out)
}

// TestKeysRunAtMostOnceInAStorm guards against a second run and against false answers while side processes are killed,
// paused and restarted at random and callers repeat their calls through both entries.
func TestKeysRunAtMostOnceInAStorm(t *testing.T) {
	d := booking(t)
	random := rand.New(rand.NewPCG(7, 7)) //nolint:gosec // a fixed seed is wanted
	const keys, repeats = 60, 4
	answers := make([][]booked, keys)
	var wg sync.WaitGroup
	for i := range keys {
		shed := fmt.Sprint("storm-", i)
		answers[i] = make([]booked, repeats)
		for j := range repeats {
			delay := time.Duration(random.IntN(6000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				answers[i][j] = d.book(d.Entries[j%2], shed, keyHeader(shed))
			})
		}
	}
	for range 8 {
		s := d.Services[random.IntN(3)]
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		if random.IntN(2) == 0 {
			s.Kill()
			d.Restart(s)
			continue
		}
		s.Pause()
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		s.Resume()
	}
	wg.Wait()
	tally := map[string]int{}
	for i, list := range answers {
		ran := d.count(fmt.Sprint("storm-", i))
		require.LessOrEqual(t, ran, 1, "key %d", i)
		body := ""
		for _, b := range list {
			tally[b.state]++
			if b.state == "run" {
				require.Equal(t, 1, ran, "key %d was answered as run", i)
				require.True(t, body == "" || body == b.body, "key %d has two answers", i)
				body = b.body
			}
		}
		allNo := true
		for _, b := range list {
			allNo = allNo && b.state == "no"
		}
		if allNo {
			require.Zero(t, ran, "key %d was said not to have run", i)
		}
	}
	t.Logf("answers: %v", tally)
}
