package orders

import (
	"fmt"
	"time"
)

// HeldError says that another process holds the lease. Nothing was written.
type HeldError struct {
	Holder string
	Fence  int64
	// Wait is how long the record has to stay unchanged before it may be taken over.
	Wait time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease is held by %s with fencing number %d, to be taken over in %v", e.Holder, e.Fence, e.Wait)
}

// LapsedError says that the lease is not held, or not any more; no order may be sent.
type LapsedError struct {
	// Fence is the last number held, 0 if none.
	Fence int64
}

func (e *LapsedError) Error() string {
	return fmt.Sprintf("lease with fencing number %d has lapsed", e.Fence)
}

// RestoredError says that the service has come back from an earlier copy during a call. What the call read or wrote may be gone; the
// lease is not held.
type RestoredError struct{ Before, Now int64 }

func (e *RestoredError) Error() string {
	return fmt.Sprintf("key-value service was restored: era %d, before %d", e.Now, e.Before)
}

// UnresolvedError says that a write of the lease may have taken effect and could not be resolved by reading.
// The lease does not count as held or extended.
type UnresolvedError struct{ Cause error }

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("write of the lease is unresolved: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// RecordError says that a lease key holds something else than a Record.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("lease record %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
