// Package mirror keeps a copy of all keys under a prefix of the key-value service. It long-polls the service for
// changes, directly or through another process, and fetches the copy of a peer while the service is unavailable to this
// process.
package mirror

import (
	"context"
	"maps"
	"time"

	"lavendermoor.example/clients/kv"
)

// Source is the service that a mirror copies. Its calls return when the context ends.
type Source interface {
	// Read returns all entries under a prefix and the position at which the read began. Entries may be newer than that
	// position.
	Read(ctx context.Context, prefix string) ([]kv.Entry, kv.Position, error)
	// Changes returns the events under a prefix after a position, and the position in the same era from which the next
	// call continues. It waits for the first event for at most the duration of wait. It fails with a *kv.CompactedError
	// if some events are no longer retained or the era has ended.
	Changes(ctx context.Context, prefix string, after kv.Position, wait time.Duration) ([]kv.Event, kv.Position, error)
}

// Snapshot is the state of all keys under a prefix. It is immutable.
type Snapshot struct {
	// At is the position in the service up to which the snapshot contains all changes. It is zero before the first
	// read.
	At kv.Position
	// ChangedAt is the position of the last change of the entries. A snapshot with a later position may have different
	// entries.
	ChangedAt kv.Position
	// Entries holds the entries by key.
	Entries map[string]kv.Entry
}

// ReadSnapshot reads the current state of a prefix. Errors are those of the source.
func ReadSnapshot(ctx context.Context, source Source, prefix string) (*Snapshot, error) {
	entries, at, err := source.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return newSnapshot(entries, at), nil
}

// newSnapshot returns the snapshot of entries whose read began at a position.
func newSnapshot(entries []kv.Entry, at kv.Position) *Snapshot {
	s := &Snapshot{At: at, ChangedAt: at, Entries: make(map[string]kv.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
	}
	return s
}

// apply returns the snapshot with events of its era applied, and whether any of them changed it. Events older than the
// existing entry are ignored. They occur because the pages of a read are not read atomically, so that a page may
// already contain changes that later events report again.
func (s *Snapshot) apply(events []kv.Event, at kv.Position) (*Snapshot, bool) {
	next := &Snapshot{At: s.At.Max(at), ChangedAt: s.ChangedAt, Entries: s.Entries}
	changed := false
	for _, e := range events {
		next.At.Revision = max(next.At.Revision, e.ModRevision)
		existing, ok := next.Entries[e.Key]
		if (ok && existing.ModRevision >= e.ModRevision) || (!ok && e.Deleted) {
			continue
		}
		if !changed {
			changed = true
			next.Entries = maps.Clone(s.Entries)
		}
		if e.Deleted {
			delete(next.Entries, e.Key)
		} else {
			next.Entries[e.Key] = e.Entry
		}
	}
	if changed {
		next.ChangedAt = next.At
	}
	return next, changed
}
