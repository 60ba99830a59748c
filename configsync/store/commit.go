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

// Commit commits c as the revision after base and returns the configuration that follows. The revision of c is
// set by Commit; its operation ID is required. Errors that mean that nothing was committed by this call:
// *cluster.ValidationError, *ConflictError, *RepeatedOperationError, *kv.UnavailableError,
// *MissingOperationError, *kv.ValueTooLargeError. An *UnknownOutcomeError means that the change may have been
// committed.
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
		// The winner's record is gone; only its revision is known.
		return nil, &ConflictError{Winner: &operatorv1.Change{Revision: c.GetRevision()}}
	}
	if err != nil {
		return nil, err
	}
	s.index.add(c)
	return next, nil
}

// FindCommitted returns the kept change with an operation ID among the revisions up to base, or nil; the objects of the
// change are left out. As every committer checks all revisions below the one that it creates, an operation is
// committed at most once while the log keeps it.
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

// Bounds of the attempts to resolve a lost answer.
const (
	resolveAttempts = 4
	resolveBackoff  = 100 * time.Millisecond
)

// create writes the record of a change. After a lost answer it reads the record back, and writes again when
// there is none: of all writes to one key only one can take effect, and all of ours carry the same change.
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

// continuityAttempts bounds the reads that check the place of a new record.
const continuityAttempts = 3

// checkContinuity makes sure that the record just created continues the log. A process that was paused for hours could
// otherwise create a record anew that had been committed by another and trimmed since: records are trimmed in
// order, so as long as the one before exists, the new one had not been trimmed.
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
		_ = s.kv.Delete(ctx, entry.Key, entry.ModRevision) // The next trim deletes it if this fails.
	}
	return &TrimmedError{Revision: c.GetRevision(), Oldest: oldest}
}

// matchCommitted reads the record of c's revision. It returns whether there is one, and a *ConflictError when it
// holds another operation.
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
