// Package kv is the interface to the platform's key-value service and its client, which speaks the JSON
// gateway format of etcd v3.
package kv

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

// Absent as the expected revision of a Put means that the key must not exist.
const Absent int64 = 0

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision of the last write to the key, at least 1.
	ModRevision int64
}

// Event is a change of one key. Value is nil when the key was deleted.
type Event struct {
	Entry
	Deleted bool
}

// Position is a point in the history of the service. Revisions order the changes of one era; a service that is restored from an
// earlier copy begins a new era and gives the revisions after that copy out again.
type Position struct {
	// Era counts the restores; 0 where the service has none.
	Era      int64
	Revision int64
}

// Before says whether p lies before q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || (p.Era == q.Era && p.Revision < q.Revision)
}

// IsZero says whether p is the position before everything.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func (p Position) Max(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// EraSource is implemented by stores whose service may be restored from an earlier copy.
type EraSource interface {
	// Era returns the latest era that any answer of the service has shown to this process, 0 while none has.
	Era() int64
}

// EraOf returns the latest era that a store has seen, 0 if its service has none.
func EraOf(s Store) int64 {
	if e, ok := s.(EraSource); ok {
		return e.Era()
	}
	return 0
}

// EraError says that an answer is of an earlier era than one that was seen before. What it says does not hold any more.
type EraError struct{ Era, Latest int64 }

func (e *EraError) Error() string {
	return fmt.Sprintf("answer of era %d of the key-value service came after one of era %d", e.Era, e.Latest)
}

// LeaseID names a lease; 0 is no lease.
type LeaseID int64

// Store is the key-value service. All methods may be called from any goroutine. A failed read has had no
// effect; the errors of writes say whether the write may have taken effect.
type Store interface {
	// Get returns the entry of a key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix whose keys are not below from, in order of key.
	List(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// Put writes a key if its ModRevision is still the expected one, and returns the new one. It fails with a
	// *ConflictError (no effect), an *UnavailableError (no effect) or an *UnknownOutcomeError.
	Put(ctx context.Context, key string, value []byte, expected int64, lease LeaseID) (int64, error)
	// Delete removes a key if its ModRevision is still the expected one. Errors are those of Put.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch calls fn for each change below the prefix after the service's revision given, in order, until the
	// context ends or the connection breaks; then it returns the cause. A revision of 0 starts at the present. It
	// fails with a *CompactedError when the changes after the revision are not all kept.
	Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error
	// Grant starts a lease that ends after ttl (whole seconds) unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, which it returns; a *LeaseExpiredError says that it has ended.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// NotFoundError says that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ConflictError says that a conditional write found another revision and had no effect.
type ConflictError struct {
	Key string
	// Expected is the revision that the caller gave.
	Expected int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is not at revision %d", e.Key, e.Expected)
}

// UnavailableError says that the service could not be reached; the call had no effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key-value service is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that a write was sent and no answer came, so that it may have taken effect, or may
// still do so.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of key %q may have taken effect: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LeaseExpiredError says that a lease has ended or never existed.
type LeaseExpiredError struct{ ID LeaseID }

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %d has expired", e.ID) }

// CompactedError says that a watch was to start before the oldest revision that the service keeps.
type CompactedError struct {
	// Oldest is the first revision at which a watch can start.
	Oldest int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes before revision %d of the key-value service are compacted", e.Oldest)
}

// ValueTooLargeError says that a value is above MaxValueBytes; nothing was sent.
type ValueTooLargeError struct {
	Key string
	// Bytes is the size of the value.
	Bytes int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes, the limit is %d", e.Key, e.Bytes, MaxValueBytes)
}

// ProtocolError says that the service sent an answer that does not follow its format.
type ProtocolError struct {
	Status int
	Detail string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("key-value service answered status %d: %s", e.Status, e.Detail)
}
