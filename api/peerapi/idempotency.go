package peerapi

import "lavendermoor.example/api/callerapi"

// PathAttempt answers an AttemptRequest.
const PathAttempt = "/peer/v1/attempt"

// Peer names a side process in one of its incarnations.
type Peer struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
}

// Attempt names one attempt to run a keyed call. Numbers are unique within an incarnation and are never used again.
type Attempt struct {
	Peer
	Number int64 `json:"number"`
}

// CallKey names a keyed call.
type CallKey struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Digest is the SHA-256 of method, path, query and body of a call.
type Digest [32]byte

// Outcome is what became of a run. Result is nil when the run gave no answer; Failure then says why.
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
	// ClaimReadOnly asks for the verdict without a grant.
	ClaimReadOnly ClaimOp = "look"
)

// ClaimRequest asks a holder to grant a key to an attempt, or to release it from an attempt that was withdrawn.
type ClaimRequest struct {
	Op      ClaimOp `json:"op"`
	Attempt Attempt `json:"attempt"`
	Epoch   int64   `json:"epoch"`
	Key     CallKey `json:"key"`
	Digest  Digest  `json:"digest"`
	// Withdrawn lists attempts of which their runners told the sender that they were withdrawn.
	Withdrawn []Attempt `json:"withdrawn,omitempty"`
}

// Verdict is a holder's answer to a claim.
type Verdict string

// The verdicts on a claim. Only VerdictGranted and VerdictTableFull say that the holder has no record of the key and
// would have one if the key had been granted by it before.
const (
	VerdictGranted Verdict = "granted"
	// VerdictConflict says that the key is granted to the attempt in Attempt, which may be running.
	VerdictConflict Verdict = "conflict"
	// VerdictDone says that the key has run; Outcome is set.
	VerdictDone Verdict = "done"
	// VerdictKeyReused says that the key belongs to another request.
	VerdictKeyReused Verdict = "reused"
	// VerdictTableFull says that there is no record and no grant either: the table is full, or none was asked for.
	VerdictTableFull Verdict = "full"
	// VerdictIncomplete says that the holder cannot judge the key.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictOtherEpoch says that the holder has another epoch in force.
	VerdictOtherEpoch Verdict = "epoch"
	// VerdictNotHolder says that the receiver does not hold the shard.
	VerdictNotHolder Verdict = "not_holder"
	// VerdictOldIncarnation says that the runner has been replaced by a later incarnation.
	VerdictOldIncarnation Verdict = "old_incarnation"
)

// ClaimResponse answers a ClaimRequest.
type ClaimResponse struct {
	From    Peer     `json:"from"`
	Epoch   int64    `json:"epoch"`
	Verdict Verdict  `json:"verdict"`
	Attempt *Attempt `json:"attempt,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// AttemptRequest asks the runner of an attempt what became of it. The runner waits up to WaitMs milliseconds for
// the end of a run.
type AttemptRequest struct {
	From    Peer    `json:"from"`
	Key     CallKey `json:"key"`
	Digest  Digest  `json:"digest"`
	Attempt Attempt `json:"attempt"`
	WaitMs  int64   `json:"wait_ms"`
}

// AttemptState is what a runner says of an attempt.
type AttemptState string

// The states of an attempt. AttemptWithdrawn is final: the attempt will never run. AttemptUnknown is the answer of
// another incarnation than the one that made the attempt.
const (
	AttemptClaiming  AttemptState = "claiming"
	AttemptRunning   AttemptState = "running"
	AttemptDone      AttemptState = "done"
	AttemptWithdrawn AttemptState = "withdrawn"
	AttemptUnknown   AttemptState = "unknown"
	AttemptKeyReused AttemptState = "reused"
)

// AttemptResponse answers an AttemptRequest. Outcome is set for AttemptDone.
type AttemptResponse struct {
	From    Peer         `json:"from"`
	State   AttemptState `json:"state"`
	Outcome *Outcome     `json:"outcome,omitempty"`
}

// KeyRecord is a holder's record of a keyed call. Outcome is nil for a grant without outcome.
type KeyRecord struct {
	Key     CallKey  `json:"key"`
	Digest  Digest   `json:"digest"`
	Attempt Attempt  `json:"attempt"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// AgeMs is the time since the record was last changed, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// RecordsRequest stores the records in Push, or, when Pull is set, asks for the records of one shard of a service
// whose keys come after the given one.
type RecordsRequest struct {
	From  Peer        `json:"from"`
	Epoch int64       `json:"epoch"`
	Push  []KeyRecord `json:"push,omitempty"`
	Pull  *PullRange  `json:"pull,omitempty"`
}

// PullRange selects records. Cursor is empty at first and then the Next of the answer before.
type PullRange struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Cursor  string `json:"cursor,omitempty"`
}

// RecordsResponse answers a RecordsRequest. Records of an incomplete holder, or of one with another epoch in force,
// must not be taken as a copy.
type RecordsResponse struct {
	From     Peer        `json:"from"`
	Epoch    int64       `json:"epoch"`
	Complete bool        `json:"complete"`
	Records  []KeyRecord `json:"records,omitempty"`
	// Next is the cursor of the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

// TokenOutcome is the outcome of one token call.
type TokenOutcome struct {
	Seq     int64   `json:"seq"`
	Digest  Digest  `json:"digest"`
	Outcome Outcome `json:"outcome"`
}

// Handover carries the token outcomes and the MAC key of a drained incarnation. A large window is sent in parts.
type Handover struct {
	From     Peer           `json:"from"`
	MACKey   []byte         `json:"mac_key"`
	Outcomes []TokenOutcome `json:"outcomes,omitempty"`
}

// NewFrameError returns the error of a side process as a message.
func NewFrameError(e *callerapi.Error) *FrameError {
	return &FrameError{
		Type: e.Type, Message: e.Message, Executed: e.Executed, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// PathReady answers a ReadyRequest.
const PathReady = "/peer/v1/ready"

// ReadyRequest asks whether a server has an epoch of a service in force and its copies of records complete.
type ReadyRequest struct {
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
}

// ReadyResponse answers a ReadyRequest.
type ReadyResponse struct {
	From  Peer `json:"from"`
	Ready bool `json:"ready"`
}
