package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/membership"
	"lavendermoor.example/telemetry/invariant"
)

const tokens = 6

// whole sends the answer from the event asked for.
func whole(o *out, r *peerapi.GenerateRequest, _ int) {
	o.data(int(r.ResumeFrom), tokens)
	o.end(tokens)
}

// violations fails the test when a property is violated.
func violations(t *testing.T) {
	t.Cleanup(invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) }))
}

// Guards against a lost, doubled or misplaced token when a stream breaks, at each position, and is taken up again
// at the same side process.
func TestStreamBrokenAtEachPositionIsResumed(t *testing.T) {
	violations(t)
	for position := 1; position <= tokens; position++ {
		a := newSide(t, "m1")
		a.generate = func(o *out, r *peerapi.GenerateRequest, n int) {
			if n == 1 {
				o.data(0, position)
				o.cut()
			}
			whole(o, r, n)
		}
		c := client(t, a)
		got := generate(t, c)
		require.Nil(t, got.e, "position %d", position)
		require.Equal(t, words(tokens), got.text.String())
		require.Equal(t, int64(position), a.generations()[1].ResumeFrom)
		require.Empty(t, a.generations()[1].Generated)
		require.EqualValues(t, 1, c.Counts().Resumed)
	}
}

// Guards against the same when the side process dies: another replica continues from the text so far.
func TestStreamContinuesAtAnotherReplica(t *testing.T) {
	violations(t)
	for position := 0; position <= tokens; position++ {
		a, b := newSide(t, "m1"), newSide(t, "m2")
		for _, s := range []*side{a, b} {
			s.load.Continues = true
			s.generate = whole
		}
		c := client(t, a, b)
		generate(t, c) // Both report that they continue answers.
		generate(t, c)
		broken := func(o *out, r *peerapi.GenerateRequest, _ int) {
			o.data(int(r.ResumeFrom), position)
			o.cut()
		}
		first := a
		if c.Picker().Replica("m1").InFlight() == 0 && len(a.generations()) > len(b.generations()) {
			first = b
		}
		first.change(func() { first.generate = broken })
		for range 2 { // One of the two meets the broken replica first.
			got := generate(t, c)
			require.Nil(t, got.e, "position %d", position)
			require.Equal(t, words(tokens), got.text.String(), "position %d", position)
		}
		if position > 0 {
			require.EqualValues(t, 1, c.Counts().Continued)
			continued := 0
			for _, r := range append(a.generations(), b.generations()...) {
				if len(r.Generated) > 0 {
					continued++
					var text string
					require.NoError(t, json.Unmarshal(r.Generated, &text))
					require.Equal(t, words(position), text)
				}
			}
			require.Equal(t, 1, continued)
		}
	}
}

// Guards against an answer that looks complete but is not: the engine does not continue answers, so the stream
// ends with an error.
func TestStreamThatCannotContinueEndsWithAnError(t *testing.T) {
	violations(t)
	a, b := newSide(t, "m1"), newSide(t, "m2")
	var attempts atomic.Int64
	for _, s := range []*side{a, b} {
		s.generate = func(o *out, r *peerapi.GenerateRequest, n int) {
			if attempts.Add(1) <= 2 { // the first attempt and the resume at the same side process
				o.data(int(r.ResumeFrom), 3)
				o.cut()
			}
			whole(o, r, n)
		}
	}
	got := generate(t, client(t, a, b))
	require.NotNil(t, got.e)
	require.Equal(t, callerapi.StreamBroken, got.e.Type)
	require.Equal(t, callerapi.ExecutedUnknown, got.e.Executed)
	require.Equal(t, words(3), got.text.String())
}

// Guards against a connection that goes silent in mid-stream and holds the caller until its deadline.
func TestSilenceInMidStreamIsNoticed(t *testing.T) {
	violations(t)
	a := newSide(t, "m1")
	r := newRelay(t, a.address)
	a.address = r.listener.Addr().String()
	passed := make(chan struct{}, tokens)
	a.generate = func(o *out, in *peerapi.GenerateRequest, n int) {
		if n == 1 {
			o.data(0, 2)
			<-passed
			<-passed
			r.freeze()
			o.data(2, 4)
			<-o.ctx.Done()
			return
		}
		whole(o, in, n)
	}
	c := client(t, a)
	got := generateWith(t, c, func() { passed <- struct{}{} })
	require.Nil(t, got.e)
	require.Equal(t, words(tokens), got.text.String())
	require.EqualValues(t, 1, c.Counts().Silent)
	require.EqualValues(t, 1, c.Counts().Resumed)
}

// Guards against pooled connections that went silent while they were idle: the request moves, and the others to
// the same address are not tried one after the other.
func TestSilentIdleConnectionsAreReplaced(t *testing.T) {
	a := newSide(t, "m1")
	r := newRelay(t, a.address)
	a.address = r.listener.Addr().String()
	both := make(chan struct{}, 2)
	release := make(chan struct{})
	a.generate = func(o *out, in *peerapi.GenerateRequest, n int) {
		if n <= 3 {
			both <- struct{}{}
			<-release
		}
		whole(o, in, n)
	}
	c := client(t, a)
	done := make(chan *answer, 3)
	for range 3 {
		go func() { done <- generate(t, c) }()
	}
	for range 3 {
		<-both
	}
	close(release)
	for range 3 {
		require.Nil(t, (<-done).e)
	}
	// The connections become idle after the answer was passed on.
	require.Eventually(t, func() bool { return c.conns.idle() == 3 }, 10*time.Second, time.Millisecond)
	r.freeze()
	require.Nil(t, generate(t, c).e)
	require.EqualValues(t, 1, c.Counts().Silent, "the other two idle connections were closed with the first")
	require.EqualValues(t, 2, c.Counts().StaleConnections)
}

func (c *conns) idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, set := range c.open {
		for own := range set {
			if own.user == nil {
				n++
			}
		}
	}
	return n
}

// Guards against work that goes on for a caller who has left.
func TestCallerWhoLeavesCancelsTheWork(t *testing.T) {
	a := newSide(t, "m1")
	cancelled := make(chan struct{})
	a.generate = func(o *out, _ *peerapi.GenerateRequest, _ int) {
		o.data(0, 1)
		for o.ctx.Err() == nil {
			o.frame(peerapi.Frame{})
			time.Sleep(testSilence / 10)
		}
		close(cancelled)
	}
	c := client(t, a)
	c.opts.Silence = time.Hour // Only the caller may end the exchange.
	ctx, cancel := context.WithCancel(t.Context())
	r := &peerapi.GenerateRequest{Work: peerapi.Work{ID: "r1", Idempotent: true}, Model: "m", Body: json.RawMessage(`{}`)}
	e := c.Generate(ctx, r, func(json.RawMessage) error { cancel(); return nil })
	require.Equal(t, callerapi.ExecutedUnknown, e.Executed)
	<-cancelled
	require.Len(t, a.generations(), 1)
	require.Zero(t, c.Counts().Broken, "the caller's end says nothing of the server")
	require.Zero(t, c.Counts().Silent)
	require.Zero(t, c.Picker().Replica("m1").InFlight())
}

// Guards against new work for a server after it has refused with draining, although the list shows it as live.
func TestDrainingServerGetsNoFurtherWork(t *testing.T) {
	a, b := newSide(t, "m1"), newSide(t, "m2")
	a.load.Draining = true
	a.generate = func(o *out, _ *peerapi.GenerateRequest, _ int) { o.refuse(callerapi.Draining) }
	b.generate = whole
	c := client(t, a, b)
	for range 3 {
		require.Nil(t, generate(t, c).e)
		require.Eventually(t, func() bool {
			return len(a.generations()) == 0 || c.opts.Members.View().Of("m1").Reason == membership.Draining &&
				c.Picker().Version == c.opts.Members.View().Version
		}, 10*time.Second, time.Millisecond)
	}
	require.LessOrEqual(t, len(a.generations()), 1)
}

// Guards against a retry storm: replicas that refuse everything must not get every request several times.
func TestRetryBudgetBoundsAStorm(t *testing.T) {
	var sides []*side
	for i := range 4 {
		s := newSide(t, fmt.Sprintf("m%d", i))
		s.generate = func(o *out, _ *peerapi.GenerateRequest, _ int) { o.refuse(callerapi.Overloaded) }
		sides = append(sides, s)
	}
	c := client(t, sides...)
	const requests = 200
	for range requests {
		got := generate(t, c)
		require.Equal(t, callerapi.Overloaded, got.e.Type)
		require.Equal(t, callerapi.ExecutedNo, got.e.Executed)
		require.Equal(t, 100*time.Millisecond, got.e.RetryAfter)
	}
	sent := 0
	for _, s := range sides {
		sent += len(s.generations())
	}
	require.LessOrEqual(t, sent, requests+requests/10+11)
	require.Greater(t, sent, requests)
}

// Guards against an untrue "executed: no": the first attempt may have run, the second was refused.
func TestALaterRefusalDoesNotHideAnEarlierRun(t *testing.T) {
	a, b := newSide(t, "m1"), newSide(t, "m2")
	script := func(o *out, _ *peerapi.GenerateRequest, _ int) {
		if len(a.generations())+len(b.generations()) == 1 {
			o.cut()
		}
		o.refuse(callerapi.Overloaded)
	}
	a.generate, b.generate = script, script
	got := generate(t, client(t, a, b))
	require.Equal(t, callerapi.ExecutedUnknown, got.e.Executed)
}
