package quarantine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/standin/kvserver"
)

// gatewayStub is a gateway's quarantine with its sharing.
type gatewayStub struct {
	*Quarantine
	*Sharing
	store  *kvserver.LocalStore
	server *kvserver.Server
}

// newGatewayStub returns a gateway that has answered the parts, and shares with peers through a store.
func newGatewayStub(server *kvserver.Server, peers []string, answered ...string) *gatewayStub {
	store := kvserver.NewLocalStore(server)
	q := newWarm(&clock{now: time.Now().Add(-time.Minute)}, answered...)
	return &gatewayStub{Quarantine: q, store: store, server: server, Sharing: NewSharing(SharingOptions{
		Store: store, Quarantine: q, Client: http.DefaultClient, Peers: func() []string { return peers }, Log: zap.NewNop(),
	})}
}

// read takes over the records in the store, as a mirror does.
func (g *gatewayStub) read(t *testing.T) {
	t.Helper()
	entries, err := kvserver.NewLocalStore(g.server).List(t.Context(), RecordPrefix, RecordPrefix, 100)
	require.NoError(t, err)
	s := &mirror.Snapshot{Entries: map[string]kv.Entry{}}
	for _, e := range entries {
		s.Entries[e.Key] = e
	}
	g.OnChange(s, time.Time{})
}

func (g *gatewayStub) passes(part string) bool {
	return g.Check(service, []string{part}, nil, time.Now()).Passes()
}

// crashX records a crash by the part x and writes it.
func (g *gatewayStub) crashX(t *testing.T, server string) {
	t.Helper()
	for _, first := range g.RecordCrash(service, []string{"x"}, begun(server), time.Now()) {
		g.write(t.Context(), change{part: first.Part, kind: crashed, record: first})
	}
}

// storedX returns the record of the part x in the store.
func (g *gatewayStub) storedX(t *testing.T) (Record, bool) {
	t.Helper()
	e, err := kvserver.NewLocalStore(g.server).Get(t.Context(), recordKey(Part{service, "x"}))
	if err != nil {
		return Record{}, false
	}
	r, err := decodeRecord(e)
	require.NoError(t, err)
	return r, true
}

// Guards against a part that crashes a server for each gateway.
func TestCrashBlocksThePartAtAllGateways(t *testing.T) {
	server := kvserver.New()
	a, b := newGatewayStub(server, nil), newGatewayStub(server, nil)
	a.crashX(t, "s1")
	b.read(t)
	require.False(t, b.passes("x"))
	require.True(t, b.passes("y"))
	restarted := newGatewayStub(server, nil)
	restarted.read(t)
	require.False(t, restarted.passes("x"), "a gateway that starts anew reads the records")
}

// Guards against counting a crash twice after a lost response, and against losing one of two concurrent crashes.
func TestCrashesAreCountedOnceInTheStore(t *testing.T) {
	server := kvserver.New()
	a, b := newGatewayStub(server, nil), newGatewayStub(server, nil)
	var lost atomic.Bool
	a.store.Outcome = func(call, _ string) kvserver.CallOutcome {
		if call == "put" && lost.CompareAndSwap(false, true) {
			return kvserver.ResponseLost
		}
		return kvserver.Normal
	}
	a.crashX(t, "s1")
	require.True(t, lost.Load())
	r, _ := a.storedX(t)
	require.Equal(t, 1, r.Crashes)
	b.crashX(t, "s2") // b has not read the record of a.
	r, _ = a.storedX(t)
	require.Equal(t, 2, r.Crashes)
	require.Equal(t, "s2", r.LastServer)
}

// Guards against blocking what another gateway has answered, before the crash or after it.
func TestAnswersOfOtherGatewaysAreShared(t *testing.T) {
	server := kvserver.New()
	accuser, witness, third := newGatewayStub(server, nil), newGatewayStub(server, nil, "x"), newGatewayStub(server, nil)
	accuser.crashX(t, "s1")
	third.read(t)
	require.False(t, third.passes("x"))
	witness.read(t)
	require.True(t, witness.passes("x"))
	require.Len(t, witness.changes, 1)
	witness.write(t.Context(), <-witness.changes)
	accuser.read(t)
	third.read(t)
	require.True(t, accuser.passes("x"))
	require.True(t, third.passes("x"))

	parts := third.RecordAnswer(service, []string{"x"}, time.Now(), time.Now())
	require.Len(t, parts, 1)
	third.write(t.Context(), change{part: parts[0], kind: cleared})
	_, ok := third.storedX(t)
	require.False(t, ok)
}

// Guards against removing the record of a crash that came after the answer.
func TestLaterCrashKeepsTheRecord(t *testing.T) {
	server := kvserver.New()
	a, b := newGatewayStub(server, nil), newGatewayStub(server, nil)
	a.crashX(t, "s1")
	a.read(t)
	b.read(t)
	a.RecordAnswer(service, []string{"x"}, time.Now(), time.Now())
	b.crashX(t, "s2")
	a.write(t.Context(), change{part: Part{service, "x"}, kind: cleared})
	r, ok := a.storedX(t)
	require.True(t, ok)
	require.Equal(t, 2, r.Crashes)
}

// Guards against several gateways that probe a deadly part at the same time.
func TestOneGatewayGetsTheProbe(t *testing.T) {
	server := kvserver.New()
	gateways := []*gatewayStub{newGatewayStub(server, nil), newGatewayStub(server, nil), newGatewayStub(server, nil)}
	gateways[0].crashX(t, "s1")
	claims := 0
	for _, g := range gateways {
		g.read(t)
	}
	for _, g := range gateways {
		if g.ClaimProbe(t.Context(), Part{service, "x"}) {
			claims++
		}
	}
	require.Equal(t, 1, claims)
	require.False(t, gateways[0].ClaimProbe(t.Context(), Part{service, "unknown"}))
	for _, g := range gateways {
		g.read(t)
		require.False(t, g.Check(service, []string{"x"}, nil, time.Now().Add(probeTime-time.Second)).CanProbe)
	}
}

// Guards against records that another writer has left, which must neither end a gateway nor block anything.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	server := kvserver.New()
	g := newGatewayStub(server, nil)
	g.crashX(t, "s1")
	for key, value := range map[string]string{
		"nested": strings.Repeat("[", 20_000), "number": `{"service":"s","part":"y","crashes":1e99}`,
		"other key": `{"service":"s","part":"y","crashes":3}`, "empty": "", "type": `{"service":7}`,
	} {
		_, err := g.store.Put(t.Context(), RecordPrefix+key, []byte(value), kv.Absent, 0)
		require.NoError(t, err)
	}
	other := newGatewayStub(server, nil)
	other.read(t)
	require.False(t, other.passes("x"))
	require.True(t, other.passes("y"))
}

// Guards against gateways that learn of a crash only through the store.
func TestPeersLearnOfACrashDirectly(t *testing.T) {
	peer, witness := newGatewayStub(kvserver.New(), nil), newGatewayStub(kvserver.New(), nil, "y")
	var addresses []string
	for _, g := range []*gatewayStub{peer, witness} {
		srv := httptest.NewServer(g.CrashHandler())
		t.Cleanup(srv.Close)
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	g := newGatewayStub(kvserver.New(), append(addresses, "127.0.0.1:1"))
	for _, part := range []string{"x", "y"} {
		for _, first := range g.RecordCrash(service, []string{part}, begun("s"), time.Now()) {
			g.tellPeers(t.Context(), first)
		}
	}
	require.False(t, peer.passes("x"))
	require.False(t, witness.passes("x"))
	require.False(t, g.passes("x"))
	require.True(t, witness.passes("y"))
	require.True(t, g.passes("y"), "the witness has had an answer with y before")
}

// Guards against messages of a crash that are not valid.
func TestInvalidMessagesOfPeersAreRejected(t *testing.T) {
	g := newGatewayStub(kvserver.New(), nil)
	for _, body := range []string{
		"", "[]", "{}", strings.Repeat("[", 20_000), `{"service":"s","part":"x","crashes":2}`,
		`{"service":"s","part":"x","crashes":1e400}`, `{"service":"s","part":"` + strings.Repeat("x", maxCrashBytes) + `","crashes":1}`,
	} {
		w := httptest.NewRecorder()
		g.CrashHandler()(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, PathCrash, strings.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, w.Code)
	}
	require.Zero(t, g.count.Load())
}

// Guards against writing a crash, late, of a part that was answered in the meantime, and against leaving the record of
// such a part because this process has not read it yet.
func TestCrashOfAClearedPartIsNotShared(t *testing.T) {
	server := kvserver.New()
	g := newGatewayStub(server, nil)
	first := g.RecordCrash(service, []string{"x"}, begun("s1"), time.Now())[0]
	g.RecordAnswer(service, []string{"x"}, time.Now(), time.Now())
	g.write(t.Context(), change{part: first.Part, kind: crashed, record: first})
	_, ok := g.storedX(t)
	require.False(t, ok)

	g.crashX(t, "s2")
	g.RecordAnswer(service, []string{"x"}, time.Now(), time.Now())
	_, ok = g.storedX(t)
	require.True(t, ok)
	g.write(t.Context(), change{part: first.Part, kind: cleared})
	_, ok = g.storedX(t)
	require.False(t, ok)
}

// Guards against losing in the store that a server had begun to answer, because a weaker record of its crash was first.
func TestStoreKeepsTheStrongerEvidenceOfACrash(t *testing.T) {
	server := kvserver.New()
	weak, strong := newGatewayStub(server, nil), newGatewayStub(server, nil)
	for _, first := range weak.RecordCrash(service, []string{"x"}, Crash{Server: "s1"}, time.Now()) {
		weak.write(t.Context(), change{part: first.Part, kind: crashed, record: first})
	}
	strong.crashX(t, "s1")
	r, _ := strong.storedX(t)
	require.True(t, r.AnswerBegun)
	require.Equal(t, 1, r.Crashes)
	weak.read(t)
	require.False(t, weak.passes("x"))
}
