package proctest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// attempt is one request of a caller and what became of it.
type attempt struct {
	id, path string
	gateway  *Gateway
	began    time.Time
	ended    time.Time
	// status is 0 when the connection broke before an answer.
	status int
	body   string
	// whole says that the answer ended as complete.
	whole      bool
	header     http.Header
	events     int
	prompt     string
	retryAfter string
}

// notRun says that the caller was promised that the request has not run.
func (a *attempt) notRun() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// problem returns what is wrong with an answer in itself, empty for nothing.
func (a *attempt) problem() string {
	switch {
	case a.status == 0:
		return ""
	case a.header.Get("X-Attempt-Id") != a.id:
		return "the answer has the id " + a.header.Get("X-Attempt-Id")
	case a.status == http.StatusServiceUnavailable && a.retryAfter == "":
		return "a refusal without Retry-After"
	case a.status != http.StatusOK:
		return ""
	case a.header.Get("X-Replica-Seal") == "":
		return "a success without the signature of a replica"
	}
	want := replicaserver.PlainResponse(a.id)
	if a.events > 0 {
		want = ""
		for n := range a.events {
			want += replicaserver.Event(a.prompt, n+1)
		}
	}
	if a.whole && a.body != want {
		return fmt.Sprintf("a complete answer of %d bytes instead of %d", len(a.body), len(want))
	}
	if !strings.HasPrefix(want, a.body) {
		return "the answer is no beginning of what the replica sends"
	}
	return ""
}

// callers send requests and keep what became of them.
type callers struct {
	f   *Fleet
	ctx context.Context

	mu       sync.Mutex
	attempts []*attempt
	next     atomic.Int64
}

// client keeps connections, as callers do, until the gateway's process is gone.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
}

// deadline is what callers allow for a request.
const deadline = 6 * time.Second

// send makes one request; events is the length of a stream, 0 for a plain request.
func (c *callers) send(h *http.Client, g *Gateway, path, key string, events int) *attempt {
	n := c.next.Add(1)
	a := &attempt{
		id: fmt.Sprintf("a%x", n), path: path, gateway: g, began: time.Now(), events: events,
		prompt: fmt.Sprintf("prompt %d", n%40),
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	method := http.MethodGet
	if path != "/read/x" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, g.URL+path, bytes.NewReader([]byte(a.prompt)))
	require.NoError(c.f.t, err)
	req.Host, req.GetBody = Host, nil
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if events > 0 {
		req.Header.Set("X-Token-Usage", fmt.Sprintf("100,%d", events))
	}
	c.receive(h, req, a)
	a.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

func (c *callers) receive(h *http.Client, req *http.Request, a *attempt) {
	resp, err := h.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	a.status, a.header, a.retryAfter = resp.StatusCode, resp.Header, resp.Header.Get("Retry-After")
	body, err := io.ReadAll(resp.Body)
	a.body, a.whole = string(body), err == nil
}

// loop sends requests of one kind until the context ends, and comes back after a refusal when it is told to.
func (c *callers) loop(rng *rand.Rand, path string, stream bool) {
	h := client()
	for c.ctx.Err() == nil {
		events := 0
		if stream {
			events = 2 + rng.IntN(60)
		}
		g := c.f.Gateways[rng.IntN(len(c.f.Gateways))]
		a := c.send(h, g, path, CallerKey, events)
		pause := time.Duration(rng.IntN(20)) * time.Millisecond
		if s, err := strconv.ParseFloat(a.retryAfter, 64); err == nil {
			pause += time.Duration(s * float64(time.Second))
		} else if a.status == 0 {
			pause += 50 * time.Millisecond
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(min(pause, time.Second)):
		}
	}
}

func (c *callers) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt{}, c.attempts...)
}

// Guards against a path that does not serve at all: requests of each kind get whole answers through every gateway, and
// the map of the group is changed.
func TestFleetServes(t *testing.T) {
	t.Parallel()
	f := DeployFleet(t, FleetPlan{Gateways: 2, Models: 3, Plain: 2})
	c := &callers{f: f, ctx: context.Background()}
	for _, g := range f.Gateways {
		for path, events := range map[string]int{"/stream/x": 20, "/once/x": 0, "/read/x": 0} {
			a := c.send(client(), g, path, CallerKey, events)
			require.Equal(t, http.StatusOK, a.status, path)
			require.True(t, a.whole)
			require.Empty(t, a.problem())
		}
		require.Equal(t, http.StatusUnauthorized, c.send(client(), g, "/read/x", "no-key", 0).status)
		require.Equal(t, http.StatusNotFound, c.send(client(), g, "/none/", CallerKey, 0).status)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.ctx = ctx
	go c.loop(rand.New(rand.NewPCG(1, 1)), "/stream/x", true)
	go c.loop(rand.New(rand.NewPCG(1, 2)), "/stream/x", true)
	Eventually(t, "the map of the group is changed", func() bool { return f.Group().Switches > 0 })
	require.Empty(t, f.Group().Violations)
}
