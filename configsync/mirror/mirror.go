// Package mirror keeps a copy of all keys under a prefix of the key-value service. It long-polls the service for
// changes, directly or through another process, and fetches the copy of a peer while the service is unavailable to this
// process. Of a key whose last entry is invalid it keeps the last valid one.
package mirror

import (
	"context"
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

// ReadSnapshot reads the current state of a prefix, in which all entries count as valid. Errors are those of the source.
func ReadSnapshot(ctx context.Context, source Source, prefix string) (*Snapshot, error) {
	entries, at, err := source.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return newSnapshot(entries, at, rules{}, nil), nil
}
