// Package kv defines the interface to the platform's key-value service and its client for the JSON gateway of etcd v3.
package kv

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Absent as the expected revision of a Put means that the key must not exist.
const Absent int64 = 0

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision of the last write to the key, at least 1.
	ModRevision int64
	// CreateRevision is the revision of the write that created the key, 0 if unknown. A key that is deleted and written
	// again has a new one.
	CreateRevision int64
}

// Event is a change of one key. Value is nil when the key was deleted.
type Event struct {
	Entry
	Deleted bool
}

// Position is a point in the history of the service. Revisions order the changes within an era. A service that is
// restored from a backup begins a new era and reuses the revisions after the backup.
type Position struct {
	// Era counts the restores; 0 if the service reports none.
	Era      int64
	Revision int64
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || (p.Era == q.Era && p.Revision < q.Revision)
}

// IsZero reports whether p is the position before all changes.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func (p Position) Max(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// EraSource is implemented by stores whose service may be restored from a backup.
type EraSource interface {
	// Era returns the latest era that this process has seen in a response of the service, 0 before the first.
	Era() int64
}

// EraOf returns the latest era that a store has seen, 0 if its service reports none.
func EraOf(s Store) int64 {
	if e, ok := s.(EraSource); ok {
		return e.Era()
	}
	return 0
}

// EraError reports a response from an earlier era than the latest one seen; its content is no longer valid.
type EraError struct{ Era, Latest int64 }

func (e *EraError) Error() string {
	return fmt.Sprintf("response of era %d of the key-value service arrived after one of era %d", e.Era, e.Latest)
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Store is the key-value service. Implementations are safe for concurrent use. A failed read has no effect; the error
// of a failed write indicates whether the write may have taken effect.
type Store interface {
	// Get returns the entry of a key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries, sorted by key, whose keys have the prefix and are not below from.
	List(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// Put writes a key if its ModRevision equals expected, and returns the new ModRevision. It fails with a
	// *ConflictError (no effect), an *UnavailableError (no effect) or an *UnknownOutcomeError.
	Put(ctx context.Context, key string, value []byte, expected int64, lease LeaseID) (int64, error)
	// Delete removes a key if its ModRevision equals expected. Errors are those of Put.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch calls fn for each change under the prefix after the given revision of the service, in order, until the
	// context ends or the connection breaks; it then returns the cause. Revision 0 starts at the current revision. It
	// fails with a *CompactedError if some of the changes after the revision are compacted.
	Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error
	// Grant creates a lease that expires after ttl (whole seconds) unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live. It fails with a *LeaseExpiredError if the lease has
	// expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// NotFoundError reports that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ConflictError reports that a conditional write had no effect because the key was not at the expected revision.
type ConflictError struct {
	Key string
	// Expected is the revision that the caller passed.
	Expected int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is not at revision %d", e.Key, e.Expected)
}

// UnavailableError reports that the service could not be reached; the call had no effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key-value service is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a write was sent without a response: it may have taken effect, or may still do so.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of key %q may have taken effect: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LeaseExpiredError reports that a lease has expired or never existed.
type LeaseExpiredError struct{ ID LeaseID }

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %d has expired", e.ID) }

// CompactedError reports that the start of a watch is before the oldest revision that the service keeps.
type CompactedError struct {
	// Oldest is the first revision at which a watch can start.
	Oldest int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes before revision %d of the key-value service are compacted", e.Oldest)
}

// ValueTooLargeError reports that a value exceeds MaxValueBytes; nothing was sent.
type ValueTooLargeError struct {
	Key string
	// Bytes is the size of the value.
	Bytes int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes, the limit is %d", e.Key, e.Bytes, MaxValueBytes)
}

// ProtocolError reports a response that does not follow the protocol of the service. Its text can reach operators.
type ProtocolError struct {
	Status int
	Detail string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("key-value service answered status %d: %s", e.Status, e.Detail)
}
