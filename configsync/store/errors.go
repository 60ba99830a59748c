package store

import (
	"fmt"

	"lavendermoor.example/api/operatorv1"
)

// ConflictError says that another change was committed as the revision that the caller wanted; the caller's
// change had no effect.
type ConflictError struct {
	// Winner is the change that was committed. It has only a revision when its record has been trimmed.
	Winner *operatorv1.Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was committed by %s (operation %s)",
		e.Winner.GetRevision(), e.Winner.GetAuthor(), e.Winner.GetOperationId())
}

// AlreadyCommittedError says that the operation has been committed by an earlier call; nothing was written now.
type AlreadyCommittedError struct {
	// Change is the change as committed.
	Change *operatorv1.Change
}

func (e *AlreadyCommittedError) Error() string {
	return fmt.Sprintf("operation %s is revision %d already", e.Change.GetOperationId(), e.Change.GetRevision())
}

// UnknownOutcomeError says that a change may have been committed, or may still be. Commit with the same
// operation ID tells, once the service answers again.
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

// CorruptError says that a record of the configuration in the key-value service cannot be read.
type CorruptError struct {
	Key    string
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("record %q cannot be read: %s", e.Key, e.Detail)
}

// TrimmedError says that the log no longer reaches back to a revision.
type TrimmedError struct {
	// Revision is the one asked for, Oldest the oldest one that is still kept, 0 for an empty log.
	Revision, Oldest int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("revision %d is not kept any more; the oldest is %d", e.Revision, e.Oldest)
}

// MissingOperationError says that a change has no operation ID, without which a lost answer cannot be resolved.
type MissingOperationError struct{}

func (e *MissingOperationError) Error() string { return "a change needs an operation ID" }

// SilentWatchError says that a watch did not report a change that the log has.
type SilentWatchError struct{ Revision int64 }

func (e *SilentWatchError) Error() string {
	return fmt.Sprintf("the watch did not report revision %d, which the log has", e.Revision)
}

// LogBehindError says that the log of the service does not reach a revision that is known to be committed, as
// after the loss of the service's data. Nothing may be committed before an operator has looked into it.
type LogBehindError struct {
	// Committed is the revision known to be committed.
	Committed int64
}

func (e *LogBehindError) Error() string {
	return fmt.Sprintf("the log of the key-value service does not hold revision %d, which is committed", e.Committed)
}
