package upstream

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

func call(t *testing.T, c *Client, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	return c.Call(ctx, r)
}

// Guards against a call that is sent twice although it may have run.
func TestACallThatMustNotBeRepeatedIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		said     peerapi.OutcomeResponse
		want     callerapi.Executed
		attempts int
	}{
		"unknown": {peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown}, callerapi.ExecutedUnknown, 1},
		"ran":     {peerapi.OutcomeResponse{Executed: callerapi.ExecutedYes}, callerapi.ExecutedYes, 1},
		"did not": {peerapi.OutcomeResponse{Executed: callerapi.ExecutedNo}, callerapi.ExecutedNo, 2},
	} {
		a, b := newSide(t, "s1"), newSide(t, "s2")
		for _, s := range []*side{a, b} {
			s.call = func(o *out, _ *peerapi.CallRequest, _ int) { o.cut() }
			s.outcome = func(id string) peerapi.OutcomeResponse {
				require.Equal(t, "r1", id)
				return c.said
			}
		}
		_, e := call(t, client(t, a, b), callRequest(peerapi.KindCommand, false))
		require.Equal(t, c.want, e.Executed, name)
		require.Equal(t, c.attempts, a.calls()+b.calls(), name)
	}
}

// Guards against an answer that is lost although the side process still has it, and against asking only once
// while the call runs.
func TestALostAnswerIsAskedFor(t *testing.T) {
	a := newSide(t, "s1")
	var asked atomic.Int64
	a.call = func(o *out, _ *peerapi.CallRequest, _ int) { o.cut() }
	a.outcome = func(string) peerapi.OutcomeResponse {
		if asked.Add(1) < 3 {
			return peerapi.OutcomeResponse{Running: true}
		}
		return peerapi.OutcomeResponse{Executed: callerapi.ExecutedYes, Result: &peerapi.CallResult{Status: 201}}
	}
	result, e := call(t, client(t, a), callRequest(peerapi.KindCommand, false))
	require.Nil(t, e)
	require.Equal(t, 201, result.Status)
	require.Equal(t, 1, a.calls())
}

// Guards against giving up on what another replica can answer.
func TestRefusedAndIdempotentCallsGoElsewhere(t *testing.T) {
	a, b := newSide(t, "s1"), newSide(t, "s2")
	var first atomic.Bool
	script := func(fail func(o *out)) func(*out, *peerapi.CallRequest, int) {
		return func(o *out, _ *peerapi.CallRequest, _ int) {
			if first.CompareAndSwap(true, false) {
				fail(o)
				return
			}
			o.result(200)
		}
	}
	c := client(t, a, b)
	for name, x := range map[string]struct {
		idempotent bool
		fail       func(o *out)
	}{
		"refused, not idempotent": {false, func(o *out) { o.refuse(callerapi.Overloaded) }},
		"broken, idempotent":      {true, func(o *out) { o.cut() }},
		"no result, idempotent":   {true, func(o *out) { o.end(0) }},
	} {
		first.Store(true)
		a.change(func() { a.call = script(x.fail) })
		b.change(func() { b.call = script(x.fail) })
		result, e := call(t, c, callRequest(peerapi.KindCommand, x.idempotent))
		require.Nil(t, e, name)
		require.Equal(t, 200, result.Status)
	}
}

// Guards against repeating what another replica refuses in the same way.
func TestFinalRefusalsAreNotRepeated(t *testing.T) {
	a, b := newSide(t, "s1"), newSide(t, "s2")
	for _, kind := range []callerapi.ErrorType{callerapi.InvalidRequest, callerapi.KeyReused, callerapi.DeadlineExceeded} {
		refuse := func(o *out, _ *peerapi.CallRequest, _ int) { o.refuse(kind) }
		a.change(func() { a.call = refuse })
		b.change(func() { b.call = refuse })
		before := a.calls() + b.calls()
		_, e := call(t, client(t, a, b), callRequest(peerapi.KindStatus, true))
		require.Equal(t, kind, e.Type)
		require.Equal(t, before+1, a.calls()+b.calls())
	}
}

// Guards against a status read that waits for one slow replica while another would answer.
func TestSlowStatusCallIsHedged(t *testing.T) {
	a, b := newSide(t, "s1"), newSide(t, "s2")
	slow := func(o *out, _ *peerapi.CallRequest, _ int) {
		for o.ctx.Err() == nil {
			o.frame(peerapi.Frame{})
			time.Sleep(testSilence / 10)
		}
	}
	fast := func(o *out, _ *peerapi.CallRequest, _ int) { o.result(200) }
	a.call, b.call = fast, fast
	c := client(t, a, b)
	for range 64 {
		_, e := call(t, c, callRequest(peerapi.KindStatus, true))
		require.Nil(t, e)
	}
	a.change(func() { a.call = slow })
	for range 4 {
		result, e := call(t, c, callRequest(peerapi.KindStatus, true))
		require.Nil(t, e)
		require.Equal(t, 200, result.Status)
	}
	require.GreaterOrEqual(t, c.Counts().Hedged, int64(2))
}

// Guards against a hedge that turns "unknown" into "no".
func TestHedgeKeepsTheWeakerClaim(t *testing.T) {
	no, unknown := callerapi.NotRun(callerapi.Overloaded, ""), callerapi.Unknown(callerapi.BackendFailed, "")
	require.Same(t, unknown, weaker(no, unknown))
	require.Same(t, unknown, weaker(unknown, no))
	require.Same(t, no, weaker(nil, no))
}

// Guards against "no token: <nil>" as the message when a side process answers without a token.
func TestAnswerWithoutATokenIsNamedInTheError(t *testing.T) {
	var sides []*side
	for i := range maxAttempts {
		s := newSide(t, fmt.Sprintf("s%d", i))
		s.server.Config.Handler.(*http.ServeMux).HandleFunc(peerapi.PathToken, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("{}"))
		})
		sides = append(sides, s)
	}
	st, err := cluster.New(1, nil)
	require.NoError(t, err)
	_, e := client(t, sides...).Token(t.Context(), st, &peerapi.TokenRequest{Customer: "crew", Service: "s"})
	require.Equal(t, callerapi.BackendFailed, e.Type)
	require.Equal(t, callerapi.ExecutedNo, e.Executed)
	require.Equal(t, "no token: the answer has no token", e.Message)
}
