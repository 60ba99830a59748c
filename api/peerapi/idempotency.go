package peerapi

import "lavendermoor.example/api/callerapi"

// PathAttempt serves AttemptRequest.
const PathAttempt = "/peer/v1/attempt"

// Peer identifies one incarnation of a sidecar.
type Peer struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
}

// Attempt identifies one attempt to run a keyed call. Numbers are unique within an incarnation and never reused.
type Attempt struct {
	Peer
	Number int64 `json:"number"`
}

// CallKey identifies a keyed call.
type CallKey struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Digest is the SHA-256 of method, path, query and body of a call.
type Digest [32]byte

// Outcome is the outcome of a run. Result is nil if the run produced no response; Failure then holds the reason.
type Outcome struct {
	Result  *CallResult `json:"result,omitempty"`
	Failure *FrameError `json:"failure,omitempty"`
}

// ClaimOp is the operation of a ClaimRequest.
type ClaimOp string

// The operations of a ClaimRequest.
const (
	ClaimGrant   ClaimOp = "grant"
	ClaimRelease ClaimOp = "release"
	// ClaimReadOnly requests the verdict without a grant.
	ClaimReadOnly ClaimOp = "look"
)

// ClaimRequest requests that a holder grant a key to an attempt, or release the key from a withdrawn attempt.
type ClaimRequest struct {
	Op      ClaimOp `json:"op"`
	Attempt Attempt `json:"attempt"`
	Epoch   int64   `json:"epoch"`
	Key     CallKey `json:"key"`
	Digest  Digest  `json:"digest"`
	// Withdrawn lists the attempts that their runners reported to the sender as withdrawn.
	Withdrawn []Attempt `json:"withdrawn,omitempty"`
}

// Verdict is a holder's decision on a claim.
type Verdict string

// The verdicts on a claim. Only VerdictGranted and VerdictTableFull prove that this holder has not granted the key
// before: it has no record of the key, and would have one after a grant.
const (
	VerdictGranted Verdict = "granted"
	// VerdictConflict means that the key is granted to the attempt in Attempt, which may be running.
	VerdictConflict Verdict = "conflict"
	// VerdictDone means that the call of the key has run; Outcome is set.
	VerdictDone Verdict = "done"
	// VerdictKeyReused means that the key belongs to another request.
	VerdictKeyReused Verdict = "reused"
	// VerdictTableFull means that the holder has no record of the key and did not grant it: its table is full, or the
	// claim was read-only.
	VerdictTableFull Verdict = "full"
	// VerdictIncomplete means that the holder is not authoritative for the key, as its records are incomplete.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictOtherEpoch means that another epoch is active at the holder.
	VerdictOtherEpoch Verdict = "epoch"
	// VerdictNotHolder means that the receiver does not hold the shard.
	VerdictNotHolder Verdict = "not_holder"
	// VerdictOldIncarnation means that a later incarnation has replaced the runner.
	VerdictOldIncarnation Verdict = "old_incarnation"
)

// ClaimResponse is the response to a ClaimRequest.
type ClaimResponse struct {
	From    Peer     `json:"from"`
	Epoch   int64    `json:"epoch"`
	Verdict Verdict  `json:"verdict"`
	Attempt *Attempt `json:"attempt,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// AttemptRequest requests the state of an attempt from its runner. If the attempt is running, the runner waits up to
// WaitMs milliseconds for it to end before it responds.
type AttemptRequest struct {
	From    Peer    `json:"from"`
	Key     CallKey `json:"key"`
	Digest  Digest  `json:"digest"`
	Attempt Attempt `json:"attempt"`
	WaitMs  int64   `json:"wait_ms"`
}

// AttemptState is the state of an attempt as reported by its runner.
type AttemptState string

// The states of an attempt. AttemptWithdrawn is final: the attempt will never run. AttemptUnknown is reported by an
// incarnation other than the one that made the attempt.
const (
	AttemptClaiming  AttemptState = "claiming"
	AttemptRunning   AttemptState = "running"
	AttemptDone      AttemptState = "done"
	AttemptWithdrawn AttemptState = "withdrawn"
	AttemptUnknown   AttemptState = "unknown"
	AttemptKeyReused AttemptState = "reused"
)

// AttemptResponse is the response to an AttemptRequest. Outcome is set for AttemptDone.
type AttemptResponse struct {
	From    Peer         `json:"from"`
	State   AttemptState `json:"state"`
	Outcome *Outcome     `json:"outcome,omitempty"`
}

// KeyRecord is a holder's record of a keyed call. Outcome is nil while the granted attempt has no outcome.
type KeyRecord struct {
	Key     CallKey  `json:"key"`
	Digest  Digest   `json:"digest"`
	Attempt Attempt  `json:"attempt"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// AgeMs is the time since the record was last changed, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// RecordsRequest stores the records in Push, or, if Pull is set, reads one page of the records of a shard.
type RecordsRequest struct {
	From  Peer        `json:"from"`
	Epoch int64       `json:"epoch"`
	Push  []KeyRecord `json:"push,omitempty"`
	Pull  *PullRange  `json:"pull,omitempty"`
}

// PullRange selects a page of records. Cursor is empty for the first page, then the Next of the previous response.
type PullRange struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Cursor  string `json:"cursor,omitempty"`
}

// RecordsResponse is the response to a RecordsRequest. The records must not be treated as a complete copy if the holder
// is incomplete or has another active epoch.
type RecordsResponse struct {
	From     Peer        `json:"from"`
	Epoch    int64       `json:"epoch"`
	Complete bool        `json:"complete"`
	Records  []KeyRecord `json:"records,omitempty"`
	// Next is the cursor of the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

// TokenOutcome is the outcome of a call made with a token.
type TokenOutcome struct {
	Seq     int64   `json:"seq"`
	Digest  Digest  `json:"digest"`
	Outcome Outcome `json:"outcome"`
}

// Handover transfers the token outcomes and the MAC key of a drained incarnation. A large window of outcomes is split
// over several messages.
type Handover struct {
	From     Peer           `json:"from"`
	MACKey   []byte         `json:"mac_key"`
	Outcomes []TokenOutcome `json:"outcomes,omitempty"`
}

// NewFrameError returns the error of a sidecar as a message.
func NewFrameError(e *callerapi.Error) *FrameError {
	return &FrameError{
		Type: e.Type, Message: e.Message, Executed: e.Executed, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// PathReady serves ReadyRequest.
const PathReady = "/peer/v1/ready"

// ReadyRequest queries whether a server is ready for an epoch of a service: whether the epoch is active there and its
// copies of the service's records are complete.
type ReadyRequest struct {
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
}

// ReadyResponse is the response to a ReadyRequest.
type ReadyResponse struct {
	From  Peer `json:"from"`
	Ready bool `json:"ready"`
}
