package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/kv"
)

// deadlyRequest is the ID of a whole request in tests.
var deadlyRequest = RequestID("POST", "/x", []string{"common", "rare"}, []byte("body"))

// Guards against a request that crashes servers again under another ID, and against blocking what sound requests share
// with it.
func TestFirstCrashBlocksTheWholeRequest(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	require.Len(t, q.RecordCrash(service, []string{"common", deadlyRequest}, begun("a"), c.now), 2)
	requireBlocked(t, q, c, firstBlock, "common", deadlyRequest)
	require.True(t, check(q, c, "common").Passes())
	other := RequestID("POST", "/x", []string{"common", "rare"}, []byte("another body"))
	require.True(t, check(q, c, "common", other).Passes())
	require.True(t, q.Check("another", []string{deadlyRequest}, nil, c.now).Passes())

	started := New()
	started.RecordCrash(service, []string{"common", deadlyRequest}, begun("a"), c.now)
	require.True(t, check(started, c, "common").Passes(), "right after a start, all requests may hold the part")
	requireBlocked(t, started, c, firstBlock, deadlyRequest)
}

// Guards against whole requests with the same ID although their contents differ.
func TestRequestIDDependsOnTheContent(t *testing.T) {
	ids := map[string]bool{deadlyRequest: true}
	for _, id := range []string{
		RequestID("PUT", "/x", []string{"common", "rare"}, []byte("body")),
		RequestID("POST", "/x?y", []string{"common", "rare"}, []byte("body")),
		RequestID("POST", "/x", []string{"common"}, []byte("body")),
		RequestID("POST", "/x", []string{"common", "rare"}, nil),
	} {
		require.False(t, ids[id])
		ids[id] = true
	}
	require.Equal(t, deadlyRequest, RequestID("POST", "/x", []string{"common", "rare"}, []byte("body")))
}

// Guards against sound requests that stay blocked because of a part which they share with a request that crashes servers
// and comes again, and against taking a caller's retry for that.
func TestPartsOfARequestThatComesAgainAreProbedAtOnce(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	deadly := []string{"common", "rare", deadlyRequest}
	crash := begun("a")
	crash.Deadline = c.now.Add(8 * time.Second)
	q.RecordCrash(service, deadly, crash, c.now)
	requireBlocked(t, q, c, firstBlock, "common", "rare")
	c.advance(time.Second)
	q.RecordArrival(service, deadly, crash.Deadline.Add(100*time.Millisecond))
	requireBlocked(t, q, c, firstBlock-time.Second, "common", "rare")
	q.RecordArrival(service, deadly, c.now.Add(8*time.Second))
	require.True(t, check(q, c, "common", "rare").CanProbe)
	require.False(t, check(q, c, deadly...).CanProbe)

	q.BeginProbe(Part{service, "rare"}, kv.Position{Revision: 1}, c.now)
	require.False(t, check(q, c, "common", "rare").CanProbe, "one probe")
	other := []string{"common", "rare", RequestID("POST", "/x", nil, []byte("other"))}
	q.RecordCrash(service, other, begun("b"), c.advance(2*sameCrashWindow))
	require.False(t, check(q, c, "common", "rare").CanProbe, "the part is deadly as well")
}

// Guards against accusing a part again at each crash of a request that is known to come again.
func TestRequestThatComesAgainAccusesNoPart(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	deadly := []string{"common", "rare", deadlyRequest}
	q.RecordCrash(service, deadly, begun("a"), c.now)
	for range 2 {
		q.RecordArrival(service, deadly, c.advance(5*time.Second).Add(8*time.Second))
	}
	q.RecordAnswer(service, []string{"rare"}, c.now, c.now)
	records := q.RecordCrash(service, deadly, begun("b"), c.advance(2*firstBlock))
	require.Len(t, records, 1)
	require.True(t, records[0].Part.IsRequest())
	require.True(t, check(q, c, "common", "rare").Passes())
}
