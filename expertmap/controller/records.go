package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/expertmap"
)

// record is the stored value of one map version. It contains the map, so that any controller can offer the version
// after its creator has failed.
type record struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Map is nil once every rank uses a later version. The key stays so that a controller that was paused cannot
	// create the version again.
	Map *expertmap.Map `json:"map,omitempty"`
}

// RecordError reports an invalid record in the key-value service.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("expert map record %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// records provides access to the published map versions of one group.
type records struct {
	store kv.Store
	group string
}

// prefix returns the common prefix of the group's keys.
func (r *records) prefix() string { return "expertmap/" + r.group + "/" }

// key returns the key of a version. The number is padded so that keys sort in order of versions.
func (r *records) key(version int64) string { return fmt.Sprintf("%s%012d", r.prefix(), version) }

// create publishes a map unless its version already exists. It returns the stored map of the version, which is the
// given map or one that another controller published earlier. A nil map without an error means that the version
// exists but its record no longer has a map, because later versions have replaced it. create fails with a *RecordError
// or the errors of kv.Store. After a *kv.UnknownOutcomeError, the record may exist, and create can be retried.
func (r *records) create(ctx context.Context, m *expertmap.Map) (*expertmap.Map, error) {
	value, err := json.Marshal(record{Version: m.Version, Digest: m.Digest(), Map: m})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	_, err = r.store.Put(ctx, r.key(m.Version), value, kv.Absent, 0)
	if err == nil {
		return m, nil
	}
	var conflict *kv.ConflictError
	var unknown *kv.UnknownOutcomeError
	if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
		return nil, err
	}
	entry, readErr := r.store.Get(ctx, r.key(m.Version))
	if readErr != nil {
		return nil, err // The read failed, or the write has not taken effect yet; create can be retried.
	}
	got, err := decodeRecord(entry)
	return got.Map, err
}

func decodeRecord(entry kv.Entry) (record, error) {
	var rec record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return rec, merry.Wrap(&RecordError{Key: entry.Key, Cause: err})
	}
	return rec, nil
}

// pageSize is the number of records per read; a record with its map takes about 52 KB at the target size.
const pageSize = 64

// mapsSince returns the maps that are still stored, from the given version on, oldest first.
func (r *records) mapsSince(ctx context.Context, version int64) ([]*expertmap.Map, error) {
	var maps []*expertmap.Map
	for {
		entries, err := r.store.List(ctx, r.prefix(), r.key(version), pageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			rec, err := decodeRecord(entry)
			if err != nil {
				return nil, err
			}
			if rec.Map != nil {
				maps = append(maps, rec.Map)
			}
			version = rec.Version + 1
		}
		if len(entries) < pageSize {
			return maps, nil
		}
	}
}

// keptRecords is the number of records that are kept without their map. A controller that was paused while fewer
// versions were published cannot create an old version again.
const keptRecords = 1000

// clearMap removes the map of a version that no rank needs from its record, and deletes the record of the version that
// is keptRecords lower.
func (r *records) clearMap(ctx context.Context, version int64) error {
	entry, err := r.store.Get(ctx, r.key(version))
	if err != nil {
		return err
	}
	rec, err := decodeRecord(entry)
	if err != nil || rec.Map == nil {
		return err
	}
	value, err := json.Marshal(record{Version: rec.Version, Digest: rec.Digest})
	if err != nil {
		return merry.Wrap(err)
	}
	if _, err := r.store.Put(ctx, entry.Key, value, entry.ModRevision, 0); err != nil {
		return err
	}
	return r.remove(ctx, version-keptRecords)
}

// remove deletes the record of a version if it exists.
func (r *records) remove(ctx context.Context, version int64) error {
	if version <= 0 {
		return nil
	}
	entry, err := r.store.Get(ctx, r.key(version))
	var missing *kv.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.store.Delete(ctx, entry.Key, entry.ModRevision)
}
