// Package mirror keeps a copy of all keys below one prefix of the key-value service. The copy follows the service by
// bounded polls of its changes, and the copies of peers while the service does not answer this process.
package mirror

import (
	"context"
	"maps"
	"time"

	"lavendermoor.example/clients/kv"
)

// Source is the service that a mirror follows. Its calls end with the context.
type Source interface {
	// Read returns all entries below a prefix and a position at which the read began. Entries may be newer than it.
	Read(ctx context.Context, prefix string) ([]kv.Entry, kv.Position, error)
	// Changes returns the events below a prefix after a position and the position to go on from, in the same era. It waits up to
	// wait for the first event. It fails with a *kv.CompactedError when the events are not all kept, or the era is over.
	Changes(ctx context.Context, prefix string, after kv.Position, wait time.Duration) ([]kv.Event, kv.Position, error)
}

// Snapshot is the state of a prefix. It is immutable.
type Snapshot struct {
	// At is the service's position up to which all changes are contained; zero before the first read.
	At kv.Position
	// ChangedAt is the position with which the entries became what they are. A snapshot with a later one may differ.
	ChangedAt kv.Position
	// Entries are in no order; keys are unique.
	Entries map[string]kv.Entry
}

// ReadSnapshot returns the state of a prefix as of now. Errors are those of the source.
func ReadSnapshot(ctx context.Context, source Source, prefix string) (*Snapshot, error) {
	entries, at, err := source.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return newSnapshot(entries, at), nil
}

// newSnapshot returns the snapshot of entries that were read from a position on.
func newSnapshot(entries []kv.Entry, at kv.Position) *Snapshot {
	s := &Snapshot{At: at, ChangedAt: at, Entries: make(map[string]kv.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
	}
	return s
}

// apply returns the snapshot after events, and whether any of them changed it. An event that is older than the entry
// held is left out: the pages of a read are not of one moment, so that the events after it repeat some of its content. The events
// are of the snapshot's era.
func (s *Snapshot) apply(events []kv.Event, at kv.Position) (*Snapshot, bool) {
	next := &Snapshot{At: s.At.Max(at), ChangedAt: s.ChangedAt, Entries: s.Entries}
	changed := false
	for _, e := range events {
		next.At.Revision = max(next.At.Revision, e.ModRevision)
		held, ok := next.Entries[e.Key]
		if (ok && held.ModRevision >= e.ModRevision) || (!ok && e.Deleted) {
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
