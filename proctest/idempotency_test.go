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

// bookingResult is the response to a booking.
type bookingResult struct {
	// state is "run" if the booking succeeded, otherwise the value of executed in the error, or "unknown" after a
	// transport error.
	state    string
	body     string
	replayed bool
	err      *callerapi.Error
}

// book sends a booking with the given headers through an entry.
func (d *Deployment) book(e *Entry, shed string, header http.Header) bookingResult {
	url := e.URL + "/v1/services/" + ServiceName + "/bookings"
	status, h, body := Do(d.t, http.MethodPost, url, header, map[string]string{"shed": shed})
	b := bookingResult{state: "run", body: string(body), replayed: h.Get("Idempotent-Replayed") == "true", err: DecodeError(body)}
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

// holders returns the sidecars that hold the records of a key, in rendezvous order.
func (d *Deployment) holders(key string) []*Sidecar {
	var members []cluster.Member
	byName := map[string]*Sidecar{}
	for _, s := range d.ServiceSidecars {
		members = append(members, cluster.Member{Name: s.Settings.Name, Domain: s.Settings.FailureDomain})
		byName[s.Settings.Name] = s
	}
	shard := idempotency.ShardOf(peerapi.CallKey{Service: ServiceName, Customer: "crew", Key: key})
	var out []*Sidecar
	for _, m := range idempotency.Holders(ServiceName, shard, members) {
		out = append(out, byName[m.Name])
	}
	return out
}

// runCount returns the number of executions of the booking of a shed.
func (d *Deployment) runCount(shed string) int {
	n := 0
	for _, r := range d.Runs() {
		if strings.Contains(r.Body, `"`+shed+`"`) {
			n++
		}
	}
	return n
}

type idempotencyState struct {
	Once struct {
		Incomplete int `json:"incomplete_shards"`
		Records    int `json:"records"`
	} `json:"once"`
}

// waitCopied waits until a sidecar is authoritative for all its keys again.
func (d *Deployment) waitCopied(s *Sidecar) {
	Eventually(d.t, s.Name+" has copied its records", func() bool {
		var st idempotencyState
		return s.State(&st) == nil && st.Once.Incomplete == 0
	})
}

func deployBooking(t *testing.T) *Deployment {
	return Deploy(t, DeploymentOptions{Entries: 2, Services: 3, Slots: 4, ServiceArgs: []string{"-write-time", "100ms"}})
}

// Guards against a second run of a key after its holders, one after the other, were killed and restarted with empty
// memory.
func TestKeySurvivesDeathOfEachHolder(t *testing.T) {
	d := deployBooking(t)
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first)
	for _, s := range d.holders("k1") {
		s.Kill()
		retry := d.book(d.Entries[1], "shed-1", keyHeader("k1"))
		require.Equal(t, first.body, retry.body)
		require.True(t, retry.replayed)
		d.Restart(s)
		s.WaitReady()
		d.waitCopied(s)
	}
	retry := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, first.body, retry.body)
	require.Equal(t, 1, d.runCount("shed-1"))
	other := d.book(d.Entries[0], "shed-2", keyHeader("k1"))
	require.Equal(t, callerapi.KeyReused, other.err.Type)
}

// Guards against a second run of a key, and against reporting it as not executed, after its runner was killed during
// the run.
func TestKilledRunnerLeavesOutcomeUnknown(t *testing.T) {
	d := Deploy(t, DeploymentOptions{Entries: 2, Services: 3, Slots: 4, ServiceArgs: []string{"-write-time", "1s"}})
	done := make(chan bookingResult)
	go func() { done <- d.book(d.Entries[0], "shed-1", keyHeader("k3")) }()
	Eventually(t, "the call runs", func() bool { return d.runCount("shed-1") == 1 })
	runner := d.holders("k3")[0]
	runner.Kill()
	require.Equal(t, "unknown", (<-done).state)
	require.Equal(t, "unknown", d.book(d.Entries[1], "shed-1", keyHeader("k3")).state)
	d.Restart(runner)
	runner.WaitReady()
	d.waitCopied(runner)
	require.Equal(t, "unknown", d.book(d.Entries[1], "shed-1", keyHeader("k3")).state)
	require.Equal(t, 1, d.runCount("shed-1"))
	newCall := d.book(d.Entries[1], "shed-2", keyHeader("k2"))
	require.Equal(t, "run", newCall.state, "%+v", newCall.err)
}

// Guards against a holder that, after a pause, runs a key that another holder ran during the pause, and against calls
// that wait for the paused holder.
func TestPausedHolderDoesNotRunKeyAgain(t *testing.T) {
	d := deployBooking(t)
	paused := d.holders("k1")[0]
	paused.Pause()
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first.err)
	paused.Resume()
	d.waitCopied(paused)
	for i := range 4 {
		retry := d.book(d.Entries[i%2], "shed-1", keyHeader("k1"))
		require.Equal(t, first.body, retry.body, "%+v", retry.err)
	}
	require.Equal(t, 1, d.runCount("shed-1"))
}

func (d *Deployment) issueToken() string {
	status, _, body := Do(d.t, http.MethodPost, d.Entries[0].URL+"/v1/services/"+ServiceName+"/-/token", nil, nil)
	require.Equal(d.t, http.StatusOK, status, "%s", body)
	return strings.Split(string(body), `"`)[3]
}

// Guards against a second run of the call with a token, and against the loss of its outcome when the server that issued
// the token is drained.
func TestTokenOutcomeSurvivesDrain(t *testing.T) {
	d := deployBooking(t)
	token := d.issueToken()
	header := http.Header{callerapi.HeaderToken: {token}}
	first := d.book(d.Entries[0], "shed-1", header)
	require.Equal(t, "run", first.state, "%+v", first.err)
	require.Equal(t, first.body, d.book(d.Entries[1], "shed-1", header).body)
	parsed, ok := idempotency.ParseToken(token)
	require.True(t, ok)
	for _, s := range d.ServiceSidecars {
		if s.Settings.Name == parsed.Server {
			s.Terminate()
			require.NoError(t, s.WaitExit(waitTimeout))
		}
	}
	retry := d.book(d.Entries[1], "shed-1", header)
	require.Equal(t, first.body, retry.body, "%+v", retry.err)
	require.True(t, retry.replayed)
	require.Equal(t, 1, d.runCount("shed-1"))
}

// Guards against a holder that starts during an outage of the key-value service and considers itself authoritative for
// its keys. It can't record its incarnation, so its successor would consider itself the first incarnation.
func TestHolderRestartedDuringOutageIsNotAuthoritative(t *testing.T) {
	d := deployBooking(t)
	first := d.book(d.Entries[0], "shed-1", keyHeader("k1"))
	require.Equal(t, "run", first.state, "%+v", first.err)
	d.SetKVFaults(kvserver.Faults{Down: true})
	s := d.holders("k1")[0]
	s.Kill()
	d.Restart(s)
	s.WaitReady()
	require.Equal(t, first.body, d.book(d.Entries[0], "shed-1", keyHeader("k1")).body)
	newCall := d.book(d.Entries[0], "shed-2", keyHeader("k2"))
	require.Equal(t, "run", newCall.state, "%+v", newCall.err)
	var st idempotencyState
	require.NoError(t, s.State(&st))
	require.Equal(t, idempotency.Shards, st.Once.Incomplete)
	d.SetKVFaults(kvserver.Faults{})
	d.waitCopied(s)
	require.Equal(t, first.body, d.book(d.Entries[1], "shed-1", keyHeader("k1")).body)
	require.Equal(t, 1, d.runCount("shed-1"))
}

// Guards against keys whose outcomes are lost when a server is removed or added, and against a list of previous servers
// that is never cleared.
func TestServerChangesKeepKeys(t *testing.T) {
	d := Deploy(t, DeploymentOptions{Entries: 2, Services: 4, Slots: 4, ServiceArgs: []string{"-write-time", "10ms"}})
	const keys = 20
	bodies := map[string]string{}
	for i := range keys {
		shed := fmt.Sprint("shed-", i)
		b := d.book(d.Entries[0], shed, keyHeader(shed))
		require.Equal(t, "run", b.state, "%+v", b.err)
		bodies[shed] = b.body
	}
	lastServer := d.ServiceSidecars[3]
	for _, assignedService := range []string{"", ServiceName} { // Remove the server, then add it again.
		change := fmt.Sprintf(`{"servers": [{"name": %q, "address": %q, "failure_domain": "tampere", "service": %q, "slots": 4}]}`,
			lastServer.Settings.Name, lastServer.Settings.Listen, ServiceName)
		args := []string{"apply", "-f", "CHANGE"}
		if assignedService == "" {
			args = []string{"delete", "server/" + lastServer.Settings.Name}
		}
		Eventually(t, "the change is accepted after the previous one is complete", func() bool {
			var code int
			if assignedService == "" {
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
		require.Equal(t, 1, d.runCount(shed))
	}
	Eventually(t, "the previous servers are cleared", func() bool {
		out, code := d.Ctl("get", "service/"+ServiceName)
		return code == 0 && strings.Contains(out, `"booking-4"`) && !strings.Contains(out, "previous")
	})
	out, _ := d.Ctl("get", "service/"+ServiceName)
	require.Regexp(t, `"?epoch"?: *"?3`, out)
}

// Guards against second runs and wrong responses when callers repeat their calls through both entries while sidecars
// are killed, paused and restarted at random.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	d := deployBooking(t)
	rng := rand.New(rand.NewPCG(7, 7)) //nolint:gosec // The seed is fixed for reproducibility.
	const keys, repeats = 60, 4
	results := make([][]bookingResult, keys)
	var wg sync.WaitGroup
	for i := range keys {
		shed := fmt.Sprint("storm-", i)
		results[i] = make([]bookingResult, repeats)
		for j := range repeats {
			delay := time.Duration(rng.IntN(6000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				results[i][j] = d.book(d.Entries[j%2], shed, keyHeader(shed))
			})
		}
	}
	for range 8 {
		s := d.ServiceSidecars[rng.IntN(3)]
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			s.Kill()
			d.Restart(s)
			continue
		}
		s.Pause()
		time.Sleep(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		s.Resume()
	}
	wg.Wait()
	stateCounts := map[string]int{}
	for i, repeated := range results {
		runs := d.runCount(fmt.Sprint("storm-", i))
		require.LessOrEqual(t, runs, 1, "key %d", i)
		body := ""
		for _, b := range repeated {
			stateCounts[b.state]++
			if b.state == "run" {
				require.Equal(t, 1, runs, "key %d was reported as executed", i)
				require.True(t, body == "" || body == b.body, "key %d has two different responses", i)
				body = b.body
			}
		}
		allNotExecuted := true
		for _, b := range repeated {
			allNotExecuted = allNotExecuted && b.state == "no"
		}
		if allNotExecuted {
			require.Zero(t, runs, "key %d ran although it was reported as not executed", i)
		}
	}
	t.Logf("responses by state: %v", stateCounts)
}

// Guards against a new service that responds to keyed calls with "unknown" for the retention time because its sidecars
// were restarted before the service was created.
func TestServiceCreatedAfterRestartsAcceptsKeys(t *testing.T) {
	d := deploySmall(t)
	var servers []string
	for i := range 3 {
		s := d.startSidecar(fmt.Sprintf("lights-%d", i+1), i, d.ServiceSidecars[i].BackendURL)
		Eventually(t, s.Name+" is healthy", func() bool {
			return statusCode("http://"+s.Settings.Admin+"/healthz") == http.StatusOK
		})
		s.Kill()
		d.Restart(s)
		servers = append(servers, fmt.Sprintf(`{"name": %q, "address": %q, "failure_domain": %q, "service": "lights", "slots": 8}`,
			s.Settings.Name, s.Settings.Listen, s.Settings.FailureDomain))
	}
	out, code := d.Apply(`{"services": [{"name": "lights"}], "servers": [` + strings.Join(servers, ",") + `]}`)
	require.Zero(t, code, out)
	Eventually(t, "a keyed call succeeds", func() bool {
		key := http.Header{callerapi.HeaderIdempotencyKey: {fmt.Sprint("key-", time.Now().UnixNano())}}
		status, _, _ := Do(t, http.MethodPost, d.Entries[0].URL+"/v1/services/lights/lights/l1/commands", key, nil)
		return status == http.StatusOK
	})
}
