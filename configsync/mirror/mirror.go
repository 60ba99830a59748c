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
	// Read returns all entries below a prefix and a revision at which the read began. Entries may be newer than it.
	Read(ctx context.Context, prefix string) ([]kv.Entry, int64, error)
	// Changes returns the events below a prefix after a revision and the revision to go on from. It waits up to wait
	// for the first event. It fails with a *kv.CompactedError when the events are not all kept.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error)
}

// Snapshot is the state of a prefix. It is immutable.
type Snapshot struct {
	// Revision is the service's revision up to which all changes are contained; 0 before the first read.
	Revision int64
	// Changed is the revision with which the entries became what they are. A snapshot with a later one may differ.
	Changed int64
	// Entries are in no order; keys are unique.
	Entries map[string]kv.Entry
}

// Read returns the state of a prefix as of now. Errors are those of the source.
func Read(ctx context.Context, source Source, prefix string) (*Snapshot, error) {
	entries, revision, err := source.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return newSnapshot(entries, revision), nil
}

// newSnapshot returns the snapshot of entries that were read from a revision on.
func newSnapshot(entries []kv.Entry, revision int64) *Snapshot {
	s := &Snapshot{Revision: revision, Changed: revision, Entries: make(map[string]kv.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
	}
	return s
}

// apply returns the snapshot after events, and whether any of them changed it. An event that is older than the entry
// held is left out: the pages of a read are not of one moment, so that the events after it repeat some of its content.
func (s *Snapshot) apply(events []kv.Event, revision int64) (*Snapshot, bool) {
	next := &Snapshot{Revision: max(s.Revision, revision), Changed: s.Changed, Entries: s.Entries}
	changed := false
	for _, e := range events {
		next.Revision = max(next.Revision, e.ModRevision)
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
		next.Changed = next.Revision
	}
	return next, changed
}
