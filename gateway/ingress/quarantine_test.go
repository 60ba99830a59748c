package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/quarantine"
)

// newFragileGateway starts a gateway with servers that crash when they begin to answer a prompt with the part "deadly".
// Sound requests that hold the part "common" have been answered.
func newFragileGateway(t *testing.T, servers int) (*testGateway, []*testBackend) {
	t.Helper()
	return newGatewayWithFragileServers(t, servers, holdsPart("deadly"))
}

func newGatewayWithFragileServers(
	t *testing.T, servers int, deadly func(r *http.Request) bool,
) (*testGateway, []*testBackend) {
	t.Helper()
	var backends []*testBackend
	for i := range servers {
		backends = append(backends, newFragileBackend(t, strconv.Itoa(i), deadly))
	}
	g := newGateway(t, backends...)
	for range 20 {
		requireAnswered(t, g, "common")
	}
	return g, backends
}

func requireAnswered(t *testing.T, g *testGateway, prompt string) {
	t.Helper()
	resp, body, err := g.get(t, "/stream/x", testPrompt, prompt)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, eventsText(3), body)
}

func countCrashed(backends []*testBackend) int {
	n := 0
	for _, b := range backends {
		if b.hasCrashed() {
			n++
		}
	}
	return n
}

// Guards against requests with a part that crashes servers reaching one server after another.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	g, backends := newFragileGateway(t, 8)
	requireOneCrash(t, g, backends, "/stream/x", "common,deadly")
}

// requireOneCrash sends deadly requests under new IDs, and requires that one reaches a server and that sound ones are
// answered meanwhile.
func requireOneCrash(t *testing.T, g *testGateway, backends []*testBackend, path, prompt string) {
	t.Helper()
	for i := range 10 {
		resp, _, _ := g.get(t, path, testPrompt, prompt, testID, fmt.Sprint("repeat-", i))
		if i > 0 {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
		requireAnswered(t, g, "common")
	}
	require.Equal(t, 1, countCrashed(backends))
}

// Guards against a request that crashes servers and comes again under new IDs reaching one server after another, and
// against blocking the part of its prompt that sound requests share.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	g, backends := newGatewayWithFragileServers(t, 8, func(r *http.Request) bool { return r.RequestURI == "/stream/deadly" })
	requireOneCrash(t, g, backends, "/stream/deadly", "common")
}

// Guards against a plain request that crashes servers before they send a header: it may be repeated once, and then no
// more.
func TestPlainRequestThatCrashesServersIsQuarantined(t *testing.T) {
	var backends []*testBackend
	for i := range 8 {
		backends = append(backends, newCrashableBackend(t, strconv.Itoa(i), func(s *testBackend, c net.Conn, r *http.Request) bool {
			if r.RequestURI != "/idem/deadly" {
				return respondOK("sound")(c, r)
			}
			s.crash()
			return false
		}))
	}
	g := newGateway(t, backends...)
	_, _, _ = g.get(t, "/idem/deadly")
	require.Eventually(t, func() bool { return g.opts.Quarantine.CountBlocked() == 1 }, time.Minute, time.Millisecond)
	for range 5 {
		resp, _, _ := g.get(t, "/idem/deadly")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		resp, body, err := g.get(t, "/idem/sound")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "sound", body)
	}
	require.Equal(t, 2, countCrashed(backends))
}

// Guards against a sound request that is not repeated, though it may be, because its server crashed for another reason.
func TestSoundRequestAtACrashedServerIsRepeated(t *testing.T) {
	a := newCrashableBackend(t, "a", func(s *testBackend, _ net.Conn, _ *http.Request) bool {
		s.crash()
		return false
	})
	g := newGateway(t, a, newTestBackend(t, "b", respondOK("sound")))
	g.preferServer("a")
	resp, body, err := g.get(t, "/idem/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "sound", body)
	require.True(t, a.hasCrashed())
}

// Guards against a request in flight that crashes a further server after its part has become known.
func TestRequestInFlightIsWithdrawnWhenItsPartIsBlocked(t *testing.T) {
	received := make(chan struct{}, 1)
	closed := make(chan error, 1)
	s := newTestBackend(t, "a", func(c net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	g := newGateway(t, s, newTestBackend(t, "b", respondOK("")))
	g.preferServer("a")
	done := make(chan int, 1)
	go func() {
		resp, _, _ := g.get(t, "/stream/x", testPrompt, "common,deadly")
		done <- resp.StatusCode
	}()
	<-received
	g.opts.Quarantine.ApplyPeer(quarantine.Record{
		Part: quarantine.Part{Service: "s", ID: "deadly"}, Crashes: 1, AnswerBegun: true, LastServer: "c",
	}, time.Now())
	require.Error(t, <-closed, "the server sees that the request was given up")
	require.Equal(t, http.StatusBadGateway, <-done, "the request may have run")
}

// Guards against suspecting prompts because a connection broke although the server runs on.
func TestBrokenConnectionOfALiveServerSuspectsNothing(t *testing.T) {
	breakOff := respondAndClose(eventStream(1, 0))
	ok := respond(eventStream(1, 3) + lastChunk)
	a, b := newTestBackend(t, "a", breakOff, ok), newTestBackend(t, "b", breakOff, ok)
	g := newGateway(t, a, b)
	_, _, _ = g.get(t, "/fixed/x", testPrompt, "rare")
	require.Empty(t, g.opts.Quarantine.Dump(time.Now()))
	requireAnswered(t, g, "rare")
}

// stubSharing grants every probe and records what it is told.
type stubSharing struct {
	mu      sync.Mutex
	crashes []quarantine.Record
	cleared []quarantine.Part
	probes  int
}

func (s *stubSharing) ShareCrash(first quarantine.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, first)
}

func (s *stubSharing) ShareCleared(part quarantine.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleared = append(s.cleared, part)
}

func (s *stubSharing) ClaimProbe(context.Context, quarantine.Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	return true
}

// Guards against a part that stays blocked for good, and against more than the probe after its block.
func TestPartIsProbedAfterItsBlock(t *testing.T) {
	g, backends := newFragileGateway(t, 4)
	sharing := &stubSharing{}
	g.opts.Sharing = sharing
	longAgo := time.Now().Add(-2 * time.Minute)
	for _, part := range []string{"sound", "deadly"} {
		g.opts.Quarantine.RecordCrash("s", []string{part}, quarantine.Crash{Server: "gone", AnswerBegun: true}, longAgo)
	}
	requireAnswered(t, g, "common,sound")
	require.Equal(t, []quarantine.Part{{Service: "s", ID: "sound"}}, sharing.cleared)
	require.Equal(t, 1, sharing.probes)
	requireAnswered(t, g, "common,sound")
	require.Equal(t, 1, sharing.probes)

	resp, _, _ := g.get(t, "/stream/x", testPrompt, "common,deadly")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 1, countCrashed(backends))
	require.Len(t, sharing.crashes, 2, "the part, and the request as a whole")
	require.Equal(t, "deadly", sharing.crashes[0].Part.ID)
	require.True(t, sharing.crashes[1].Part.IsRequest())
	resp, _, _ = g.get(t, "/stream/x", testPrompt, "common,deadly")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, 1, countCrashed(backends))
}

// Guards against passing on a stream as complete that its server ended, with its connection, before the first event.
func TestStreamThatEndsBeforeItsFirstEventIsNotComplete(t *testing.T) {
	unframed := respondAndClose(signed + "Content-Type: text/event-stream\r\n\r\n")
	whole := respondAndClose(signed + "Content-Type: text/event-stream\r\n\r\n" + eventsText(3))
	cut := respondAndClose(signed + "Content-Type: text/event-stream\r\n\r\n" + eventsText(2) + "id: 3\nda")
	g := newGateway(t, newTestBackend(t, "a", unframed, whole), newTestBackend(t, "b", unframed, whole))
	resp, body, err := g.get(t, "/fixed/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "data:")
	g = newGateway(t, newTestBackend(t, "a", whole))
	_, body, err = g.get(t, "/fixed/x")
	require.NoError(t, err)
	require.Equal(t, eventsText(3), body)
	g = newGateway(t, newTestBackend(t, "a", cut))
	_, _, err = g.get(t, "/fixed/x")
	require.Error(t, err, "a stream that ends inside an event must not look complete")
}

// Guards against log lines that grow with the number of parts of a prompt.
func TestLoggedPromptIsBounded(t *testing.T) {
	require.Equal(t, "a,b", promptText([]string{"a", "b"}))
	require.Empty(t, promptText(nil))
	require.Equal(t, strings.Repeat("x,", maxLoggedParts)+"and 3 more", promptText(slices.Repeat([]string{"x"}, maxLoggedParts+3)))
}
