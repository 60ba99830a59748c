package store

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
)

// SnapshotInterval is the number of revisions between snapshots.
const SnapshotInterval = 256

// snapshotLimits bounds the snapshots and the log.
type snapshotLimits struct {
	// interval is the number of revisions between snapshots.
	interval int64
	// retained is the minimum number of revisions before the newest snapshot that remain available for rollback.
	retained int64
	// maxPartBytes bounds the size of a snapshot part.
	maxPartBytes int
}

// defaultLimits are the limits in production. The service accepts values up to 1 MB.
var defaultLimits = snapshotLimits{interval: SnapshotInterval, retained: 1000, maxPartBytes: 512 << 10}

// trimDelay separates the deletions of a trim, so that it uses at most 50 writes/s of the several hundred that the
// service handles.
const trimDelay = 20 * time.Millisecond

// partMagic begins each snapshot part. The number of parts (32 bits) and the XXH64 of the whole snapshot follow, both
// in big-endian order.
const partMagic = "LMS1"

const partHeaderLen = len(partMagic) + 4 + 8

func snapshotPrefix(revision int64) string { return fmt.Sprintf("%s%020d/", snapshotsPrefix, revision) }

func partKey(revision int64, part int) string {
	return fmt.Sprintf("%s%04d", snapshotPrefix(revision), part)
}

func revisionOfPartKey(key string) (int64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, snapshotsPrefix), "/")
	return strconv.ParseInt(text, 10, 64)
}

// head is the value of headKey. It is a hint and not authoritative.
type head struct {
	Snapshot int64 `json:"snapshot"`
}

// readHead returns the hint to the newest snapshot, or zero for none, and the modification revision of its record.
func (s *Store) readHead(ctx context.Context) (head, int64, error) {
	entry, err := s.kv.Get(ctx, headKey)
	var notFound *kv.NotFoundError
	if errors.As(err, &notFound) {
		return head{}, kv.Absent, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	if json.Unmarshal(entry.Value, &h) != nil {
		h = head{} // An unreadable hint is ignored.
	}
	return h, entry.ModRevision, nil
}

// Maintain writes a snapshot of a committed configuration and trims the log if the newest snapshot is at least
// SnapshotInterval revisions older. Any process may call it at any time. It returns the revision of the newest
// snapshot.
func (s *Store) Maintain(ctx context.Context, state *cluster.State) (int64, error) {
	h, mod, err := s.readHead(ctx)
	if err != nil || state.Revision-h.Snapshot < s.limits.interval {
		return h.Snapshot, err
	}
	if err := s.writeSnapshot(ctx, state); err != nil {
		return h.Snapshot, err
	}
	raw, err := json.Marshal(head{Snapshot: state.Revision})
	if err != nil {
		return h.Snapshot, err
	}
	_, err = s.kv.Put(ctx, headKey, raw, mod, 0)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		h, _, err = s.readHead(ctx) // Another process has written a snapshot and trims the log.
		return h.Snapshot, err
	}
	if err != nil {
		return h.Snapshot, err
	}
	return state.Revision, s.trim(ctx, state.Revision)
}

func (s *Store) writeSnapshot(ctx context.Context, state *cluster.State) error {
	msg := &operatorv1.State{Revision: state.Revision, Objects: state.Objects()}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		return &CorruptError{Key: partKey(state.Revision, 0), Detail: err.Error()}
	}
	for i, part := range splitParts(raw, s.limits.maxPartBytes) {
		_, err := s.kv.Put(ctx, partKey(state.Revision, i), part, kv.Absent, 0)
		var exists *kv.ConflictError
		if err != nil && !errors.As(err, &exists) {
			return err
		}
	}
	return nil
}

// splitParts returns the parts of a snapshot, each with its header.
func splitParts(raw []byte, partBytes int) [][]byte {
	maxChunkLen := partBytes - partHeaderLen
	count := max(1, (len(raw)+maxChunkLen-1)/maxChunkLen)
	header := binary.BigEndian.AppendUint32([]byte(partMagic), uint32(count))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(raw))
	parts := make([][]byte, count)
	for i := range parts {
		chunk := raw[min(i*maxChunkLen, len(raw)):min((i+1)*maxChunkLen, len(raw))]
		parts[i] = append(append(make([]byte, 0, partHeaderLen+len(chunk)), header...), chunk...)
	}
	return parts
}

// joinParts returns the snapshot in the parts, and false unless the parts are complete and of the same snapshot.
func joinParts(parts [][]byte) ([]byte, bool) {
	var raw []byte
	for _, p := range parts {
		if len(p) < partHeaderLen || string(p[:len(partMagic)]) != partMagic ||
			int(binary.BigEndian.Uint32(p[len(partMagic):])) != len(parts) {
			return nil, false
		}
		raw = append(raw, p[partHeaderLen:]...)
	}
	if len(parts) == 0 || xxhash.Sum64(raw) != binary.BigEndian.Uint64(parts[0][partHeaderLen-8:]) {
		return nil, false
	}
	return raw, true
}

// readSnapshot returns the snapshot of a revision, or nil if it is missing or incomplete.
func (s *Store) readSnapshot(ctx context.Context, revision int64) (*stateBuilder, error) {
	entries, err := s.kv.List(ctx, snapshotPrefix(revision), "", 0)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, len(entries))
	for i, e := range entries {
		parts[i] = e.Value
	}
	return decodeSnapshot(revision, parts), nil
}

// decodeSnapshot returns the configuration in the parts of a snapshot, or nil if they are incomplete or damaged.
func decodeSnapshot(revision int64, parts [][]byte) *stateBuilder {
	raw, ok := joinParts(parts)
	var m operatorv1.State
	if !ok || proto.Unmarshal(raw, &m) != nil || m.GetRevision() != revision {
		return nil
	}
	builder := newStateBuilder()
	builder.revision = revision
	for _, o := range m.GetObjects() {
		builder.objects[cluster.RefOf(o)] = o
	}
	return builder
}

// loadNewestSnapshot returns the newest complete snapshot, or the empty configuration if there is none.
func (s *Store) loadNewestSnapshot(ctx context.Context) (*stateBuilder, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if h.Snapshot > 0 {
		if builder, err := s.readSnapshot(ctx, h.Snapshot); builder != nil || err != nil {
			return builder, err
		}
	}
	return s.loadSnapshotUpTo(ctx, 0)
}

// loadSnapshotUpTo returns the newest complete snapshot up to a revision (0 for no limit), or the empty configuration
// if there is none.
func (s *Store) loadSnapshotUpTo(ctx context.Context, limit int64) (*stateBuilder, error) {
	revisions, err := s.snapshotRevisions(ctx)
	if err != nil {
		return nil, err
	}
	for i := len(revisions) - 1; i >= 0; i-- {
		if limit > 0 && revisions[i] > limit {
			continue
		}
		if builder, err := s.readSnapshot(ctx, revisions[i]); builder != nil || err != nil {
			return builder, err
		}
	}
	return newStateBuilder(), nil
}

// snapshotRevisions returns the revisions with at least one snapshot part, in ascending order. It reads only the first
// part of each snapshot, because a full listing would return the values of all parts. About five snapshots are
// retained.
func (s *Store) snapshotRevisions(ctx context.Context) ([]int64, error) {
	var out []int64
	from := snapshotsPrefix
	for {
		entries, err := s.kv.List(ctx, snapshotsPrefix, from, 1)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return out, nil
		}
		revision, err := revisionOfPartKey(entries[0].Key)
		if err != nil {
			return nil, &CorruptError{Key: entries[0].Key, Detail: err.Error()}
		}
		out = append(out, revision)
		from = snapshotPrefix(revision + 1)
	}
}

// trim deletes the log up to the last snapshot that is at least limits.retained revisions older than the newest one,
// and the snapshots before it. The rest suffices to roll back by that many revisions from the newest snapshot.
func (s *Store) trim(ctx context.Context, newest int64) error {
	revisions, err := s.snapshotRevisions(ctx)
	if err != nil {
		return err
	}
	cutoff := int64(0)
	for _, r := range revisions {
		if r <= newest-s.limits.retained {
			cutoff = r
		}
	}
	if cutoff == 0 {
		return nil
	}
	if err := s.deleteWhile(ctx, logPrefix, revisionOfLogKey, func(r int64) bool { return r <= cutoff }); err != nil {
		return err
	}
	return s.deleteWhile(ctx, snapshotsPrefix, revisionOfPartKey, func(r int64) bool { return r < cutoff })
}

// deleteWhile deletes the keys under a prefix in order, and stops at the first one that is not expired.
func (s *Store) deleteWhile(
	ctx context.Context, prefix string, revisionOf func(string) (int64, error), expired func(int64) bool,
) error {
	for {
		entries, err := s.kv.List(ctx, prefix, prefix, largeChangePageSize)
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, e := range entries {
			revision, err := revisionOf(e.Key)
			if err != nil {
				return &CorruptError{Key: e.Key, Detail: err.Error()}
			}
			if !expired(revision) {
				return nil
			}
			if err := s.deleteEntry(ctx, e); err != nil {
				return err
			}
		}
	}
}

// deleteEntry deletes an entry unless another process has changed or deleted it, and then waits for trimDelay.
func (s *Store) deleteEntry(ctx context.Context, e kv.Entry) error {
	err := s.kv.Delete(ctx, e.Key, e.ModRevision)
	var conflict *kv.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	if !s.sleep(ctx, trimDelay) {
		return ctx.Err()
	}
	return nil
}
