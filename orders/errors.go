package orders

import (
	"fmt"
	"time"
)

// LeaseHeldError says that another process holds the lease. Nothing was written.
type LeaseHeldError struct {
	Holder string
	Fence  int64
	// Wait is how long the record has to stay unchanged before it may be taken over.
	Wait time.Duration
}

func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease is held by %s with fencing number %d, to be taken over in %v", e.Holder, e.Fence, e.Wait)
}

// LeaseExpiredError says that the lease is not held, or not any more; no order may be sent.
type LeaseExpiredError struct {
	// Fence is the last number held, 0 if none.
	Fence int64
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease with fencing number %d has lapsed", e.Fence)
}

// StoreRestoredError says that the service has come back from an earlier copy during a call. What the call read or wrote may be gone; the
// lease is not held.
type StoreRestoredError struct{ Before, Now int64 }

func (e *StoreRestoredError) Error() string {
	return fmt.Sprintf("key-value service was restored: era %d, before %d", e.Now, e.Before)
}

// UnresolvedWriteError says that a write of the lease may have taken effect and could not be resolved by reading.
// The lease does not count as held or extended.
type UnresolvedWriteError struct{ Cause error }

func (e *UnresolvedWriteError) Error() string {
	return fmt.Sprintf("write of the lease is unresolved: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedWriteError) Unwrap() error { return e.Cause }

// LeaseRecordError says that a lease key holds something else than a LeaseRecord.
type LeaseRecordError struct {
	Key   string
	Cause error
}

func (e *LeaseRecordError) Error() string { return fmt.Sprintf("lease record %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *LeaseRecordError) Unwrap() error { return e.Cause }
