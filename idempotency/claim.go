package idempotency

import (
	"time"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/telemetry/invariant"
)

// Claim is an attempt of this server to run a keyed call. It belongs to the table that created it.
type Claim struct {
	Attempt peerapi.Attempt
	Key     peerapi.CallKey
	Digest  peerapi.Digest
	Epoch   int64
	// Peers are the other holders, to which the claim is sent.
	Peers []cluster.Member

	holders   HolderSets
	readOnly  bool
	startedAt time.Time
	phase     phase
	responses map[string]peerapi.ClaimResponse
}

type phase uint8

const (
	phaseClaiming phase = iota
	phaseRunning
	phaseEnded
)

// Request returns the message to the other holders. Withdrawn lists attempts whose grants are void.
func (c *Claim) Request(withdrawn []peerapi.Attempt) peerapi.ClaimRequest {
	op := peerapi.ClaimGrant
	if c.readOnly {
		op = peerapi.ClaimReadOnly
	}
	return peerapi.ClaimRequest{
		Op: op, Attempt: c.Attempt, Epoch: c.Epoch, Key: c.Key, Digest: c.Digest, Withdrawn: withdrawn,
	}
}

// ReleaseRequest returns the message that releases the grants of a withdrawn claim.
func (c *Claim) ReleaseRequest() peerapi.ClaimRequest {
	return peerapi.ClaimRequest{Op: peerapi.ClaimRelease, Attempt: c.Attempt, Epoch: c.Epoch, Key: c.Key, Digest: c.Digest}
}

// StartKind is how to handle a keyed call.
type StartKind uint8

// The values of StartKind.
const (
	// StartClaim means that the call may run once the claim has its majorities.
	StartClaim StartKind = iota
	// StartJoin means that an attempt of this server is in progress and the caller must wait for its end.
	StartJoin
	// StartQueryRunner means that the key is granted to another attempt, whose runner must be queried.
	StartQueryRunner
	// StartReplay means that the call has already run.
	StartReplay
	// StartKeyReused means that the key belongs to another request.
	StartKeyReused
	// StartTableFull, StartIncomplete and StartNotHolder mean that this server cannot run the call.
	StartTableFull
	StartIncomplete
	StartNotHolder
)

// StartDecision is the result of Start.
type StartDecision struct {
	Kind    StartKind
	Claim   *Claim
	Attempt peerapi.Attempt
	Outcome *peerapi.Outcome
}

// Start decides how to handle a keyed call at the server that received it. Withdrawn lists attempts that their
// runners have reported as withdrawn.
func (t *Table) Start(now time.Time, k peerapi.CallKey, d peerapi.Digest, withdrawn []peerapi.Attempt) StartDecision {
	t.Expire(now)
	s := t.shardOf(k)
	if s == nil || !contains(s.holders.New, t.self.Server) {
		return StartDecision{Kind: StartNotHolder}
	}
	t.removeWithdrawn(k, withdrawn)
	if r := s.records[k]; r != nil {
		return t.startWithRecord(r, d)
	}
	t.tryComplete(now, s)
	switch {
	case !t.isAuthoritative(k.Service, s):
		return StartDecision{Kind: StartIncomplete}
	case t.isFull():
		return StartDecision{Kind: StartTableFull}
	}
	return StartDecision{Kind: StartClaim, Claim: t.newClaim(now, s, k, d)}
}

func (t *Table) startWithRecord(r *record, d peerapi.Digest) StartDecision {
	switch {
	case r.digest != d && (r.state != stateGranted || r.attempt.Peer == t.self):
		return StartDecision{Kind: StartKeyReused}
	case r.state == stateDone:
		return StartDecision{Kind: StartReplay, Outcome: r.decodeOutcome()}
	case r.attempt.Peer == t.self:
		return StartDecision{Kind: StartJoin, Attempt: r.attempt}
	}
	return StartDecision{Kind: StartQueryRunner, Attempt: r.attempt}
}

func (t *Table) newClaim(now time.Time, s *shard, k peerapi.CallKey, d peerapi.Digest) *Claim {
	t.lastAttempt++
	c := &Claim{
		Attempt: peerapi.Attempt{Peer: t.self, Number: t.lastAttempt}, Key: k, Digest: d, Epoch: t.epoch(k.Service),
		startedAt: now, responses: map[string]peerapi.ClaimResponse{},
	}
	c.setHolders(s.holders, t.self.Server)
	t.put(now, k, &record{digest: d, attempt: c.Attempt}, 0)
	t.claims[c.Attempt.Number] = c
	c.responses[t.self.Server] = peerapi.ClaimResponse{From: t.self, Verdict: peerapi.VerdictGranted}
	return c
}

// removeWithdrawn removes the grants of a key to withdrawn attempts of other servers. Only the exact attempts are
// removed.
func (t *Table) removeWithdrawn(k peerapi.CallKey, withdrawn []peerapi.Attempt) {
	for _, a := range withdrawn {
		if a.Peer != t.self {
			t.removeAttempt(k, a)
		}
	}
}

// ReadOnlyClaim returns a claim that collects the verdicts of the other holders but cannot begin.
func (t *Table) ReadOnlyClaim(now time.Time, k peerapi.CallKey, d peerapi.Digest) *Claim {
	t.lastAttempt++
	c := &Claim{
		Attempt: peerapi.Attempt{Peer: t.self, Number: t.lastAttempt}, Key: k, Digest: d, Epoch: t.epoch(k.Service),
		readOnly: true, startedAt: now, responses: map[string]peerapi.ClaimResponse{},
	}
	s := t.shardOf(k)
	if s == nil {
		return c
	}
	c.setHolders(s.holders, t.self.Server)
	c.responses[t.self.Server] = t.HandleClaim(now, c.Request(nil))
	return c
}

func (c *Claim) setHolders(sets HolderSets, self string) {
	c.holders = sets
	for _, m := range sets.All() {
		if m.Name != self {
			c.Peers = append(c.Peers, m)
		}
	}
}

// HandleClaim returns this holder's verdict on the claim of another server.
func (t *Table) HandleClaim(now time.Time, q peerapi.ClaimRequest) peerapi.ClaimResponse {
	t.Expire(now)
	t.ObserveIncarnation(q.Attempt.Peer)
	out := peerapi.ClaimResponse{From: t.self, Epoch: t.epoch(q.Key.Service)}
	s := t.shardOf(q.Key)
	t.removeWithdrawn(q.Key, q.Withdrawn)
	switch r := t.find(q.Key); {
	case t.isReplaced(q.Attempt.Peer):
		out.Verdict = peerapi.VerdictOldIncarnation
	case s == nil:
		out.Verdict = peerapi.VerdictNotHolder
	case r != nil:
		t.verdictForRecord(r, q, &out)
	case q.Epoch != out.Epoch:
		out.Verdict = peerapi.VerdictOtherEpoch
	default:
		out.Verdict = t.verdictWithoutRecord(now, s, q)
	}
	return out
}

func (t *Table) verdictForRecord(r *record, q peerapi.ClaimRequest, out *peerapi.ClaimResponse) {
	a := r.attempt
	switch {
	case r.state != stateGranted && r.digest != q.Digest:
		out.Verdict = peerapi.VerdictKeyReused
	case r.state == stateDone:
		out.Verdict, out.Outcome = peerapi.VerdictDone, r.decodeOutcome()
	case a == q.Attempt && q.Epoch == out.Epoch && !r.copied:
		out.Verdict = peerapi.VerdictGranted
	case a == q.Attempt && !r.copied:
		out.Verdict = peerapi.VerdictOtherEpoch
	default:
		out.Verdict, out.Attempt = peerapi.VerdictConflict, &a
	}
}

func (t *Table) verdictWithoutRecord(now time.Time, s *shard, q peerapi.ClaimRequest) peerapi.Verdict {
	t.tryComplete(now, s)
	switch {
	case !t.isAuthoritative(q.Key.Service, s):
		return peerapi.VerdictIncomplete
	case q.Op == peerapi.ClaimReadOnly || t.isFull():
		return peerapi.VerdictTableFull
	}
	t.put(now, q.Key, &record{digest: q.Digest, attempt: q.Attempt}, 0)
	return peerapi.VerdictGranted
}

// HandleRelease removes the grant to an attempt that its runner has withdrawn.
func (t *Table) HandleRelease(q peerapi.ClaimRequest) {
	t.ObserveIncarnation(q.Attempt.Peer)
	t.removeWithdrawn(q.Key, []peerapi.Attempt{q.Attempt})
}

// AddResponse adds a holder's verdict to a claim.
func (t *Table) AddResponse(c *Claim, r peerapi.ClaimResponse) {
	t.ObserveIncarnation(r.From)
	if c.phase == phaseClaiming {
		c.responses[r.From.Server] = r
	}
}

// NextAction is what to do with a claim after the verdicts so far.
type NextAction uint8

// The values of NextAction.
const (
	// NextWait means that a missing verdict can still decide the claim.
	NextWait NextAction = iota
	// NextBegin means that the majorities have granted; the caller must call Begin.
	NextBegin
	// NextReplay and NextKeyReused mean that a holder has the outcome, or has the key for another request.
	NextReplay
	NextKeyReused
	// NextQueryRunner means that the key is granted to another attempt, whose runner must be queried.
	NextQueryRunner
	// NextRefuse means that the majorities cannot be reached.
	NextRefuse
)

// Evaluate returns what to do next, with the outcome to replay or the attempt to query. timedOut means that no more
// verdicts are awaited.
func (t *Table) Evaluate(c *Claim, timedOut bool) (NextAction, *peerapi.Outcome, *peerapi.Attempt) {
	var conflict *peerapi.Attempt
	for _, m := range c.Peers {
		r := c.responses[m.Name]
		switch r.Verdict {
		case peerapi.VerdictDone:
			return NextReplay, r.Outcome, nil
		case peerapi.VerdictKeyReused:
			return NextKeyReused, nil, nil
		case peerapi.VerdictConflict:
			conflict = r.Attempt
		}
	}
	mayGrant := func(name string) bool { _, responded := c.responses[name]; return !responded || t.hasGrant(c, name) }
	switch {
	case c.holders.hasMajorities(func(name string) bool { return t.hasGrant(c, name) }):
		return NextBegin, nil, nil
	case !timedOut && c.holders.hasMajorities(mayGrant):
		return NextWait, nil, nil
	case conflict != nil:
		return NextQueryRunner, nil, conflict
	case !timedOut && len(c.responses) <= len(c.Peers):
		// The missing verdict may still prove that no holder has a record.
		return NextWait, nil, nil
	}
	return NextRefuse, nil, nil
}

// hasGrant reports whether a server has granted the claim in its newest known incarnation.
func (t *Table) hasGrant(c *Claim, name string) bool {
	r, ok := c.responses[name]
	return ok && r.Verdict == peerapi.VerdictGranted && !t.isReplaced(r.From)
}

// ProvesNotRun reports whether the verdicts prove that no call with the key had run before this claim: majorities of
// the holders had no record of the key.
func (t *Table) ProvesNotRun(c *Claim) bool {
	return c.holders.hasMajorities(func(name string) bool {
		r, ok := c.responses[name]
		noRecord := r.Verdict == peerapi.VerdictGranted || r.Verdict == peerapi.VerdictTableFull
		return ok && noRecord && !t.isReplaced(r.From)
	})
}

// Begin marks a claim that has its majorities as running. It returns false if the claim was withdrawn, is too old or
// was made under an older epoch; the call must not run then.
func (t *Table) Begin(now time.Time, c *Claim) bool {
	r := t.find(c.Key)
	valid := c.phase == phaseClaiming && r != nil && r.attempt == c.Attempt && r.state == stateGranted
	withinAge := now.Sub(c.startedAt) <= t.opts.MaxClaimAge
	if !valid || !withinAge || t.epoch(c.Key.Service) != c.Epoch {
		return false
	}
	if !c.holders.hasMajorities(func(name string) bool { return t.hasGrant(c, name) }) {
		return false
	}
	other, alreadyRunning := t.running[c.Key]
	invariant.Check(!alreadyRunning, invariant.AtMostOnce, "key %q begins as %v while %v is running", c.Key.Key, c.Attempt, other)
	t.running[c.Key] = c.Attempt
	c.phase = phaseRunning
	r.state = stateRunning
	return true
}

// Withdraw ends a claim that has not begun; the caller must then send ReleaseRequest to the other holders. It returns
// false if the claim has already begun or ended.
func (t *Table) Withdraw(c *Claim) bool {
	if c.phase != phaseClaiming {
		return false
	}
	t.endClaim(c)
	return true
}

// endClaim removes this server's grant to its own attempt, if there still is one.
func (t *Table) endClaim(c *Claim) {
	c.phase = phaseEnded
	delete(t.claims, c.Attempt.Number)
	t.removeAttempt(c.Key, c.Attempt)
}

// MarkNotRun ends a claim that had begun, but whose call provably did not run and will not.
func (t *Table) MarkNotRun(c *Claim) {
	t.clearRunning(c)
	t.endClaim(c)
}

// CompleteRun stores the outcome of a run and returns the record to send to the other holders.
func (t *Table) CompleteRun(now time.Time, c *Claim, o peerapi.Outcome) peerapi.KeyRecord {
	t.clearRunning(c)
	c.phase = phaseEnded
	delete(t.claims, c.Attempt.Number)
	r := t.find(c.Key)
	if r == nil || r.attempt != c.Attempt {
		// The server left the shard during the run; the other holders still need the outcome.
		return peerapi.KeyRecord{Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, Outcome: truncateOutcome(o, MaxKeptBodyBytes)}
	}
	t.setDone(now, c.Key, r, o, 0)
	return t.keyRecord(now, c.Key, r)
}

func (t *Table) clearRunning(c *Claim) {
	invariant.Check(t.running[c.Key] == c.Attempt, invariant.AtMostOnce, "attempt %v ends but was not running", c.Attempt)
	delete(t.running, c.Key)
}

// CheckRefusal checks, from the state of this process, the invariant that a call refused as not run has not run.
func (t *Table) CheckRefusal(c *Claim) {
	running, ok := t.running[c.Key]
	r := t.find(c.Key)
	done := r != nil && r.state == stateDone && r.attempt == c.Attempt
	invariant.Check((!ok || running != c.Attempt) && !done && t.ProvesNotRun(c), invariant.RefusalNotExecuted,
		"key %q was refused as not run by %v", c.Key.Key, c.Attempt)
}

// HandleAttemptQuery returns the state of an attempt of this server.
func (t *Table) HandleAttemptQuery(q peerapi.AttemptRequest) peerapi.AttemptResponse {
	t.ObserveIncarnation(q.From)
	out := peerapi.AttemptResponse{From: t.self, State: peerapi.AttemptWithdrawn}
	r := t.find(q.Key)
	switch {
	case r != nil && r.state == stateDone && r.digest != q.Digest:
		out.State = peerapi.AttemptKeyReused
	case r != nil && r.state == stateDone:
		out.State, out.Outcome = peerapi.AttemptDone, r.decodeOutcome()
	case q.Attempt.Peer != t.self || q.Attempt.Number <= t.lastDiscardedAttempt[shardIDOf(q.Key)]:
		out.State = peerapi.AttemptUnknown
	case t.claims[q.Attempt.Number] != nil:
		out.State = t.openAttemptState(t.claims[q.Attempt.Number], q)
	}
	return out
}

func (t *Table) openAttemptState(c *Claim, q peerapi.AttemptRequest) peerapi.AttemptState {
	switch {
	case c.phase == phaseClaiming:
		return peerapi.AttemptClaiming
	case c.Digest != q.Digest:
		return peerapi.AttemptKeyReused
	}
	return peerapi.AttemptRunning
}

func (t *Table) checkSameRun(r *record, m peerapi.KeyRecord) {
	differs := m.Outcome != nil && r.state == stateDone && r.attempt != m.Attempt
	invariant.Check(!differs, invariant.AtMostOnce, "key %q ran as %v and as %v", m.Key.Key, r.attempt, m.Attempt)
}

func (t *Table) checkNotRunning(r *record, m peerapi.KeyRecord) {
	invariant.Check(r.state != stateRunning || r.attempt == m.Attempt, invariant.AtMostOnce,
		"key %q ran as %v and is running as %v", m.Key.Key, m.Attempt, r.attempt)
}
