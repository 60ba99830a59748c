package orders

import (
	"fmt"
	"time"
)

// LeaseHeldError reports that another process holds the lease. Nothing was written.
type LeaseHeldError struct {
	Holder string
	Fence  int64
	// Wait is how much longer the record must stay unchanged before the lease may be taken over.
	Wait time.Duration
}

func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease is held by %s with fencing number %d and can be taken over in %v", e.Holder, e.Fence, e.Wait)
}

// LeaseExpiredError reports that the lease has expired or was never held. No order may be sent.
type LeaseExpiredError struct {
	// Fence is the last fencing token held, 0 if none.
	Fence int64
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease with fencing number %d has lapsed", e.Fence)
}

// StoreRestoredError reports that the service was restored from an older copy during a call. What the call read or
// wrote may be lost, and the lease is not held.
type StoreRestoredError struct{ Before, Now int64 }

func (e *StoreRestoredError) Error() string {
	return fmt.Sprintf("key-value service was restored: era %d, before %d", e.Now, e.Before)
}

// UnresolvedWriteError reports a write of the lease with an unknown outcome that reading could not resolve. The lease
// does not count as acquired or renewed.
type UnresolvedWriteError struct{ Cause error }

func (e *UnresolvedWriteError) Error() string {
	return fmt.Sprintf("write of the lease is unresolved: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedWriteError) Unwrap() error { return e.Cause }

// LeaseRecordError reports a lease key whose value is not a valid LeaseRecord.
type LeaseRecordError struct {
	Key   string
	Cause error
}

func (e *LeaseRecordError) Error() string { return fmt.Sprintf("lease record %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *LeaseRecordError) Unwrap() error { return e.Cause }
