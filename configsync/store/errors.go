package store

import (
	"fmt"

	"lavendermoor.example/api/operatorv1"
)

// ConflictError reports that another change was committed under the revision of the caller's change, which had no
// effect.
type ConflictError struct {
	// Winner is the change that was committed. It has only a revision if its record has been trimmed.
	Winner *operatorv1.Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was committed by %s (operation %s)",
		e.Winner.GetRevision(), e.Winner.GetAuthor(), e.Winner.GetOperationId())
}

// AlreadyCommittedError reports that an earlier call has committed the operation. This call has written nothing.
type AlreadyCommittedError struct {
	// Change is the change as committed.
	Change *operatorv1.Change
}

func (e *AlreadyCommittedError) Error() string {
	return fmt.Sprintf("operation %s is revision %d already", e.Change.GetOperationId(), e.Change.GetRevision())
}

// UnknownOutcomeError reports that a change may have been committed or may be committed later. A Commit with the same
// operation ID determines the outcome once the service is available again.
type UnknownOutcomeError struct {
	OperationID string
	Revision    int64
	Cause       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %s may have been committed as revision %d: %v", e.OperationID, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CorruptError reports an unreadable configuration record in the key-value service.
type CorruptError struct {
	Key    string
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("record %q cannot be read: %s", e.Key, e.Detail)
}

// TrimmedError reports that the log no longer retains a revision.
type TrimmedError struct {
	// Revision is the requested revision. Oldest is the oldest one still retained, or 0 if that is unknown.
	Revision, Oldest int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("revision %d is not kept any more; the oldest is %d", e.Revision, e.Oldest)
}

// MissingOperationError reports a change without an operation ID, which is needed to resolve a lost response.
type MissingOperationError struct{}

func (e *MissingOperationError) Error() string { return "a change needs an operation ID" }

// SilentWatchError reports that a watch has not reported a change that the log contains.
type SilentWatchError struct{ Revision int64 }

func (e *SilentWatchError) Error() string {
	return fmt.Sprintf("the watch did not report revision %d, which the log contains", e.Revision)
}

// LogBehindError reports that the log of the service ends before a committed revision, for example because the service
// has lost data. Nothing may be committed until an operator has investigated.
type LogBehindError struct {
	// Committed is a committed revision that the log does not contain.
	Committed int64
}

func (e *LogBehindError) Error() string {
	return fmt.Sprintf("the log of the key-value service does not hold revision %d, which is committed", e.Committed)
}
