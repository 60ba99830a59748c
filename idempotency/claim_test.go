package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

var start = time.Unix(1000, 0)

func members(names ...string) []cluster.Member {
	var out []cluster.Member
	for _, n := range names {
		out = append(out, member(n))
	}
	return out
}

var (
	oldView = View{Service: "shed", Epoch: 1, Servers: members("a", "b", "c")}
	newView = View{Service: "shed", Epoch: 2, Servers: members("a", "b", "d"), Previous: members("a", "b", "c")}
)

func tableOf(name string, incarnation int64, v View) *Table {
	t := NewTable(peerapi.Peer{Server: name, Incarnation: incarnation}, Options{}, start)
	t.SetView(start, v)
	return t
}

func startClaim(t *testing.T, runner *Table) *Claim {
	t.Helper()
	s := runner.Start(start, simKey, peerapi.Digest{}, nil)
	require.Equal(t, StartClaim, s.Kind)
	return s.Claim
}

func requestGrant(runner, holder *Table, c *Claim) peerapi.Verdict {
	r := holder.HandleClaim(start, c.Request(nil))
	runner.AddResponse(c, r)
	return r.Verdict
}

func nextAction(runner *Table, c *Claim) NextAction {
	n, _, _ := runner.Evaluate(c, false)
	return n
}

// Guards against a claim that begins with only a majority of the new holders, while an older epoch is still active at a
// majority of the old ones.
func TestServerChangeNeedsBothMajorities(t *testing.T) {
	a, b, d := tableOf("a", 1, oldView), tableOf("b", 1, oldView), tableOf("d", 1, newView)
	d.MarkCopied(start, pendingCopy(d), b.Self())
	d.MarkCopied(start, pendingCopy(d), peerapi.Peer{Server: "c", Incarnation: 1})
	a.SetView(start, newView)
	b.SetView(start, newView)
	c := startClaim(t, a)
	require.Equal(t, peerapi.VerdictGranted, requestGrant(a, d, c))
	require.Equal(t, NextWait, nextAction(a, c))
	require.False(t, a.Begin(start, c))
	require.Equal(t, peerapi.VerdictGranted, requestGrant(a, b, c))
	require.Equal(t, NextBegin, nextAction(a, c))
	require.True(t, a.Begin(start, c))
}

func pendingCopy(t *Table) PendingCopy {
	return PendingCopy{Service: "shed", Shard: simShard, Epoch: t.epoch("shed")}
}

// Guards against a paused predecessor that claims or grants after its successor has copied the records.
func TestOldIncarnationNeitherClaimsNorGrants(t *testing.T) {
	a, b, c := tableOf("a", 1, oldView), tableOf("b", 1, oldView), tableOf("c", 1, oldView)
	claim, other := startClaim(t, a), startClaim(t, c)
	b.ExportPage(start, peerapi.Peer{Server: "a", Incarnation: 2}, peerapi.PullRange{Service: "shed", Shard: simShard}, 10)
	require.Equal(t, peerapi.VerdictOldIncarnation, requestGrant(a, b, claim))
	a = tableOf("a", 1, oldView)
	require.Equal(t, peerapi.VerdictGranted, requestGrant(c, a, other))
	c.ObserveIncarnation(peerapi.Peer{Server: "a", Incarnation: 2})
	require.Equal(t, NextWait, nextAction(c, other))
	require.False(t, c.Begin(start, other))
}

// Guards against a restarted holder that grants after copying from only one other holder, or from holders that are
// themselves incomplete or have another active epoch.
func TestRestartedHolderNeedsBothCopies(t *testing.T) {
	a := tableOf("a", 2, oldView)
	a.MarkCopied(start, pendingCopy(a), peerapi.Peer{Server: "b", Incarnation: 1})
	require.Equal(t, StartIncomplete, a.Start(start, simKey, peerapi.Digest{}, nil).Kind)
	a.MarkCopied(start, pendingCopy(a), peerapi.Peer{Server: "c", Incarnation: 1})
	startClaim(t, a)
	require.True(t, IsUsablePage(peerapi.RecordsResponse{Epoch: 2, Complete: true}, 2))
	require.False(t, IsUsablePage(peerapi.RecordsResponse{Epoch: 2}, 2))
	require.False(t, IsUsablePage(peerapi.RecordsResponse{Epoch: 1, Complete: true}, 2))
	require.False(t, IsUsablePage(peerapi.RecordsResponse{Epoch: 3, Complete: true}, 2))
}

// Guards against a holder that stays complete although other servers held its shard in between.
func TestSkippedEpochResetsCompleteness(t *testing.T) {
	for epoch, kind := range map[int64]StartKind{2: StartClaim, 3: StartIncomplete} {
		a := tableOf("a", 1, oldView)
		later := newView
		later.Epoch = epoch
		a.SetView(start, later)
		require.Equal(t, kind, a.Start(start, simKey, peerapi.Digest{}, nil).Kind, "epoch %d", epoch)
	}
}

// Guards against a claim of an older epoch that is granted after a new holder has copied the records.
func TestClaimOfOlderEpochIsRejected(t *testing.T) {
	a, b := tableOf("a", 1, oldView), tableOf("b", 1, oldView)
	c := startClaim(t, a)
	b.SetView(start, newView)
	require.Equal(t, peerapi.VerdictOtherEpoch, requestGrant(a, b, c))
	a.SetView(start, newView)
	require.False(t, a.Begin(start, c))
}

// Guards against an attempt that is reported as withdrawn by a server that has no state of it: a later incarnation of
// the runner, or the runner itself after it has left the shard.
func TestOnlyRunnerReportsWithdrawn(t *testing.T) {
	a := tableOf("a", 1, oldView)
	c := startClaim(t, a)
	queryAttempt := func(t *Table) peerapi.AttemptState {
		return t.HandleAttemptQuery(peerapi.AttemptRequest{From: peerapi.Peer{Server: "b", Incarnation: 1}, Key: simKey, Attempt: c.Attempt}).State
	}
	require.Equal(t, peerapi.AttemptClaiming, queryAttempt(a))
	require.Equal(t, peerapi.AttemptUnknown, queryAttempt(tableOf("a", 2, oldView)))
	require.True(t, a.Withdraw(c))
	require.Equal(t, peerapi.AttemptWithdrawn, queryAttempt(a))
	require.False(t, a.Begin(start, c))
	viewWithoutA := View{Service: "shed", Epoch: 2, Servers: members("b", "c", "d")}
	a.SetView(start, viewWithoutA)
	require.Equal(t, peerapi.AttemptUnknown, queryAttempt(a))
}

// Guards against a copied grant that counts as a grant of the holder that copied it, and against a copied grant that
// is lost because the holder has already copied a grant to another attempt.
func TestCopiedGrantIsNotOwnGrant(t *testing.T) {
	a, b, c := tableOf("a", 1, oldView), tableOf("b", 1, oldView), tableOf("c", 2, oldView)
	claimOfA, claimOfB := startClaim(t, a), startClaim(t, b)
	for _, source := range []*Table{a, b} {
		page := source.ExportPage(start, c.Self(), peerapi.PullRange{Service: "shed", Shard: simShard}, 10)
		c.ImportPage(start, page.From, page.Records)
		c.MarkCopied(start, pendingCopy(c), page.From)
	}
	require.Equal(t, peerapi.VerdictConflict, requestGrant(a, c, claimOfA))
	require.Equal(t, peerapi.VerdictConflict, requestGrant(b, c, claimOfB))
	c.HandleRelease(claimOfA.ReleaseRequest())
	s := c.Start(start, simKey, peerapi.Digest{}, nil)
	require.Equal(t, StartQueryRunner, s.Kind)
	require.Equal(t, claimOfB.Attempt, s.Attempt)
}

// Guards against a runner that was paused between its grants and its run for so long that the grants may have
// expired.
func TestExpiredClaimDoesNotBegin(t *testing.T) {
	a, b := tableOf("a", 1, oldView), tableOf("b", 1, oldView)
	c := startClaim(t, a)
	requestGrant(a, b, c)
	require.Equal(t, NextBegin, nextAction(a, c))
	require.False(t, a.Begin(start.Add(DefaultMaxClaimAge+1), c))
	require.True(t, a.Begin(start.Add(DefaultMaxClaimAge), c))
}

// Guards against records that are removed before the retention has passed, or never.
func TestRetention(t *testing.T) {
	a, b := tableOf("a", 1, oldView), tableOf("b", 1, oldView)
	c := startClaim(t, a)
	requestGrant(a, b, c)
	require.True(t, a.Begin(start, c))
	ended := start.Add(2 * DefaultRetention)
	a.Expire(ended)
	require.Equal(t, 1, a.Len(), "a running call must be kept")
	record := a.CompleteRun(ended, c, peerapi.Outcome{Result: &peerapi.CallResult{Status: 201}})
	b.StoreRecord(ended, record)
	for _, holder := range []*Table{a, b} {
		holder.Expire(ended.Add(DefaultRetention))
		require.Equal(t, 1, holder.Len())
		holder.Expire(ended.Add(DefaultRetention + 1))
		require.Zero(t, holder.Len())
	}
}

// Guards against tokens that run after they have left the window, and against a window that is limited by anything
// but the number of tokens.
func TestTokenWindow(t *testing.T) {
	tokens := NewTokens(peerapi.Peer{Server: "shed.1", Incarnation: 3}, MACKey{1})
	issue := func() Token {
		text, ok := tokens.Issue("crew", "shed")
		require.True(t, ok)
		token, ok := ParseToken(text)
		require.True(t, ok)
		return token
	}
	use := func(token Token) UseKind { return tokens.Use(token, "crew", "shed", peerapi.Digest{}).Kind }
	first, second := issue(), issue()
	require.Equal(t, UseBegin, use(first))
	tokens.End(first.Seq, &peerapi.Outcome{Result: &peerapi.CallResult{Status: 201}})
	require.Equal(t, UseReplay, use(first))
	for range TokenWindow - 1 {
		issue()
	}
	require.Equal(t, UseUnknown, use(first))
	require.Equal(t, UseBegin, use(second))
	issue()
	require.Equal(t, UseUnknown, use(second), "still running, but its slot was reused")
	tokens.End(second.Seq, nil)
	forged := issue()
	forged.MAC[0] ^= 1
	require.Equal(t, UseInvalid, use(forged))
	for _, text := range []string{"", "a", "a.b.c.d", "a.1.1", ".1.1.AAAA", "a.1.-1.AAAA", "a.1.1.!"} {
		_, ok := ParseToken(text)
		require.False(t, ok, text)
	}
}

// Guards against a withdrawn attempt that begins with its old grants, and against its delayed release that removes
// the grant of the next attempt.
func TestWithdrawnAttemptHasNoEffect(t *testing.T) {
	a, b := tableOf("a", 1, oldView), tableOf("b", 1, oldView)
	first := startClaim(t, a)
	requestGrant(a, b, first)
	require.True(t, a.Withdraw(first))
	b.HandleRelease(first.ReleaseRequest())
	second := startClaim(t, a)
	require.Equal(t, peerapi.VerdictGranted, requestGrant(a, b, second))
	require.False(t, a.Begin(start, first))
	b.HandleRelease(first.ReleaseRequest())
	require.Equal(t, 1, b.Len())
	require.True(t, a.Begin(start, second))
	require.False(t, a.Begin(start, second), "a claim must begin only once")
}

// Guards against a copied outcome that replaces a grant and is then never removed, because its expiry entry does not
// match its age.
func TestCopiedOutcomeOverGrantExpires(t *testing.T) {
	a, b := tableOf("a", 1, oldView), tableOf("b", 1, oldView)
	c := startClaim(t, a)
	requestGrant(a, b, c)
	require.True(t, a.Begin(start, c))
	ended := start.Add(time.Second)
	record := a.CompleteRun(ended, c, peerapi.Outcome{Result: &peerapi.CallResult{Status: 201}})
	record.AgeMs = time.Minute.Milliseconds()
	b.StoreRecord(ended.Add(time.Minute), record)
	b.Expire(ended.Add(DefaultRetention))
	require.Equal(t, 1, b.Len())
	b.Expire(ended.Add(DefaultRetention + time.Minute + 1))
	require.Zero(t, b.Len())
}

// Guards against a call that is reported as not run although it outlasts the retention, or was refused and then begun
// again.
func TestUnkeyedCallsKeepRunningCalls(t *testing.T) {
	unkeyed := NewUnkeyedCalls(7)
	require.True(t, unkeyed.Begin(start, "long"))
	require.True(t, unkeyed.Begin(start, "again"))
	unkeyed.End("again", peerapi.Outcome{Failure: &peerapi.FrameError{Executed: callerapi.ExecutedNo}})
	second := start.Add(unkeyedRetention)
	require.True(t, unkeyed.Begin(second, "again"))
	unkeyed.End("again", peerapi.Outcome{Result: &peerapi.CallResult{Status: 201}})
	late := start.Add(unkeyedRetention + 1)
	require.Equal(t, peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown, Running: true}, unkeyed.Outcome(late, "long", 7))
	require.Equal(t, callerapi.ExecutedYes, unkeyed.Outcome(late, "again", 7).Executed)
	unkeyed.End("long", peerapi.Outcome{Result: &peerapi.CallResult{Status: 201}})
	require.Equal(t, callerapi.ExecutedYes, unkeyed.Outcome(late, "long", 7).Executed)
	unkeyed.expire(late.Add(3 * unkeyedRetention))
	require.Empty(t, unkeyed.calls)
	require.Empty(t, unkeyed.expiryQueue)
}

// Guards against "not run" for a call that is still running after many others have begun and ended.
func TestUnkeyedCallsKeepRunningCallsWhenFull(t *testing.T) {
	unkeyed := NewUnkeyedCalls(7)
	require.True(t, unkeyed.Begin(start, "long"))
	for i := range 2 * maxUnkeyedCalls {
		id := fmt.Sprint(i)
		require.True(t, unkeyed.Begin(start, id))
		unkeyed.End(id, peerapi.Outcome{Result: &peerapi.CallResult{Status: 200}})
	}
	late := start.Add(3 * unkeyedRetention)
	require.True(t, unkeyed.Begin(late, "next"))
	require.True(t, unkeyed.Outcome(late, "long", 7).Running)
	require.LessOrEqual(t, len(unkeyed.calls), maxUnkeyedCalls+1)
}
