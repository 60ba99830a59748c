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
	done, err := s.Committed(ctx, base.Revision, c.GetOperationId())
	if err != nil {
		return nil, err
	}
	if done != nil {
		return nil, &RepeatedOperationError{Change: done}
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, &CorruptError{Key: logKey(c.GetRevision()), Detail: err.Error()}
	}
	err = s.create(ctx, c, value)
	if err == nil {
		err = s.checkPlace(ctx, c)
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

// Committed returns the kept change with an operation ID among the revisions up to base, or nil; the objects of the
// change are left out. As every committer checks all revisions below the one that it creates, an operation is
// committed at most once while the log keeps it.
func (s *Store) Committed(ctx context.Context, base int64, operationID string) (*operatorv1.Change, error) {
	if hi := s.index.high(); hi < base {
		err := s.eachAfter(ctx, hi, func(c *operatorv1.Change, _ int64) error {
			s.index.addLog(c)
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
	resolvePause    = 100 * time.Millisecond
)

// create writes the record of a change. After a lost answer it reads the record back, and writes again when
// there is none: of all writes to one key only one can take effect, and all of ours carry the same change.
func (s *Store) create(ctx context.Context, c *operatorv1.Change, value []byte) error {
	var lost error
	for attempt := range resolveAttempts {
		if attempt > 0 && !s.sleep(ctx, resolvePause<<attempt) {
			break
		}
		err := s.createOnce(ctx, c, value, lost != nil)
		var unknown *kv.UnknownOutcomeError
		var down *kv.UnavailableError
		switch {
		case errors.As(err, &unknown):
			lost = err
		case errors.As(err, &down):
			if lost == nil {
				return err
			}
		default:
			return err
		}
	}
	return &UnknownOutcomeError{OperationID: c.GetOperationId(), Revision: c.GetRevision(), Cause: lost}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) createOnce(ctx context.Context, c *operatorv1.Change, value []byte, readFirst bool) error {
	if readFirst {
		found, err := s.compareWinner(ctx, c)
		if found || err != nil {
			return err
		}
	}
	_, err := s.kv.Put(ctx, logKey(c.GetRevision()), value, kv.Absent, 0)
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	found, err := s.compareWinner(ctx, c)
	if err != nil || found {
		return err
	}
	return &TrimmedError{Revision: c.GetRevision()}
}

// placeAttempts bounds the reads that check the place of a new record.
const placeAttempts = 3

// checkPlace makes sure that the record just created continues the log. A process that was paused for hours could
// otherwise create a record anew that had been committed by another and trimmed since: records are trimmed in
// order, so as long as the one before exists, the new one had not been trimmed.
func (s *Store) checkPlace(ctx context.Context, c *operatorv1.Change) error {
	var err error
	for attempt := range placeAttempts {
		if attempt > 0 && !s.sleep(ctx, resolvePause<<attempt) {
			break
		}
		var entries []kv.Entry
		first := max(c.GetRevision()-1, 1)
		if entries, err = s.kv.List(ctx, prefixLog, logKey(first), 3); err == nil {
			return s.checkNeighbours(ctx, c, first, entries)
		}
	}
	return &UnknownOutcomeError{OperationID: c.GetOperationId(), Revision: c.GetRevision(), Cause: err}
}

func (s *Store) checkNeighbours(ctx context.Context, c *operatorv1.Change, first int64, entries []kv.Entry) error {
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

// compareWinner reads the record of c's revision. It returns whether there is one, and a *ConflictError when it
// holds another operation.
func (s *Store) compareWinner(ctx context.Context, c *operatorv1.Change) (bool, error) {
	entry, err := s.kv.Get(ctx, logKey(c.GetRevision()))
	var none *kv.NotFoundError
	if errors.As(err, &none) {
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
