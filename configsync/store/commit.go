package store

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
)

// Commit commits c as the revision after base and returns the resulting configuration. It sets the revision of c; the
// operation ID is required. After a *cluster.ValidationError, *ConflictError, *AlreadyCommittedError,
// *kv.UnavailableError, *MissingOperationError or *kv.ValueTooLargeError, this call has committed nothing. After an
// *UnknownOutcomeError, the change may have been committed.
func (s *Store) Commit(ctx context.Context, base *cluster.State, c *operatorv1.Change) (*cluster.State, error) {
	if c.GetOperationId() == "" {
		return nil, &MissingOperationError{}
	}
	c = proto.CloneOf(c)
	c.Revision = base.Revision + 1
	next, err := base.Apply(c)
	if err != nil {
		return nil, err
	}
	earlier, err := s.FindCommitted(ctx, base.Revision, c.GetOperationId())
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		return nil, &AlreadyCommittedError{Change: earlier}
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, &CorruptError{Key: logKey(c.GetRevision()), Detail: err.Error()}
	}
	err = s.create(ctx, c, value)
	if err == nil {
		err = s.checkContinuity(ctx, c)
	}
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		// The winner's record has been trimmed, so that only its revision is available.
		return nil, &ConflictError{Winner: &operatorv1.Change{Revision: c.GetRevision()}}
	}
	if err != nil {
		return nil, err
	}
	s.index.add(c)
	return next, nil
}

// FindCommitted returns the change with an operation ID, without its objects, from the retained log up to base, or nil
// if there is none. Every committer checks all revisions below the one that it creates, so that an operation is
// committed at most once while the log retains it.
func (s *Store) FindCommitted(ctx context.Context, base int64, operationID string) (*operatorv1.Change, error) {
	if indexed := s.index.highestRevision(); indexed < base {
		err := s.forEachChangeAfter(ctx, indexed, func(c *operatorv1.Change, _ int64) error {
			s.index.addFromLog(c)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return s.index.find(operationID), nil
}

// Attempts to resolve a lost response, and the base of the delays between them.
const (
	resolveAttempts = 4
	resolveBackoff  = 100 * time.Millisecond
)

// create writes the record of a change. After a lost response it reads the record back, and writes again if there is
// none. The repetition is safe because only one of several writes to a key can take effect, and all writes of this call
// contain the same change.
func (s *Store) create(ctx context.Context, c *operatorv1.Change, value []byte) error {
	var unknownErr error
	for attempt := range resolveAttempts {
		if attempt > 0 && !s.sleep(ctx, resolveBackoff<<attempt) {
			break
		}
		err := s.tryCreate(ctx, c, value, unknownErr != nil)
		var unknown *kv.UnknownOutcomeError
		var unavailable *kv.UnavailableError
		switch {
		case errors.As(err, &unknown):
			unknownErr = err
		case errors.As(err, &unavailable):
			if unknownErr == nil {
				return err
			}
		default:
			return err
		}
	}
	return &UnknownOutcomeError{OperationID: c.GetOperationId(), Revision: c.GetRevision(), Cause: unknownErr}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryCreate makes one attempt to write the record of a change. If readFirst is set, it first looks for the record of an
// earlier attempt. It fails with a *TrimmedError if the key existed and its record has been trimmed in the meantime.
func (s *Store) tryCreate(ctx context.Context, c *operatorv1.Change, value []byte, readFirst bool) error {
	if readFirst {
		found, err := s.matchCommitted(ctx, c)
		if found || err != nil {
			return err
		}
	}
	_, err := s.kv.Put(ctx, logKey(c.GetRevision()), value, kv.Absent, 0)
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	found, err := s.matchCommitted(ctx, c)
	if err != nil || found {
		return err
	}
	return &TrimmedError{Revision: c.GetRevision()}
}

// continuityAttempts bounds the reads that check whether a new record continues the log.
const continuityAttempts = 3

// checkContinuity verifies that the record just created continues the log. Otherwise a process that was suspended for
// hours could recreate a record that another process had committed and that has been trimmed since. Records are trimmed
// in order, so the new record cannot have been trimmed before if its predecessor still exists.
func (s *Store) checkContinuity(ctx context.Context, c *operatorv1.Change) error {
	var err error
	for attempt := range continuityAttempts {
		if attempt > 0 && !s.sleep(ctx, resolveBackoff<<attempt) {
			break
		}
		var entries []kv.Entry
		first := max(c.GetRevision()-1, 1)
		if entries, err = s.kv.List(ctx, logPrefix, logKey(first), 3); err == nil {
			return s.checkNeighbors(ctx, c, first, entries)
		}
	}
	return &UnknownOutcomeError{OperationID: c.GetOperationId(), Revision: c.GetRevision(), Cause: err}
}

// checkNeighbors checks that the records around c, from revision first on, have consecutive revisions. If they do not,
// it deletes the record of c and fails with a *TrimmedError.
func (s *Store) checkNeighbors(ctx context.Context, c *operatorv1.Change, first int64, entries []kv.Entry) error {
	oldest := int64(0)
	for i, e := range entries {
		revision, err := revisionOfLogKey(e.Key)
		if err != nil {
			return &CorruptError{Key: e.Key, Detail: err.Error()}
		}
		if revision != first+int64(i) {
			oldest = revision
			break
		}
	}
	if oldest == 0 {
		return nil
	}
	if entry, err := s.kv.Get(ctx, logKey(c.GetRevision())); err == nil {
		_ = s.kv.Delete(ctx, entry.Key, entry.ModRevision) // If this fails, the next trim deletes it.
	}
	return &TrimmedError{Revision: c.GetRevision(), Oldest: oldest}
}

// matchCommitted reads the record of c's revision. It reports whether there is one, and fails with a *ConflictError if
// the record holds another operation.
func (s *Store) matchCommitted(ctx context.Context, c *operatorv1.Change) (bool, error) {
	entry, err := s.kv.Get(ctx, logKey(c.GetRevision()))
	var notFound *kv.NotFoundError
	if errors.As(err, &notFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	winner, err := decodeChange(entry)
	if err != nil {
		return true, err
	}
	if winner.GetOperationId() != c.GetOperationId() {
		return true, &ConflictError{Winner: winner}
	}
	return true, nil
}
