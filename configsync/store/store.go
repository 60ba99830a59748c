package store

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/platform/kv"
)

// listLimit is the number of log entries read by one call; at the size of an average change that is 250 KB.
const listLimit = 500

// Store is the configuration in the key-value service. It may be used by any goroutine.
type Store struct {
	kv    kv.Store
	mu    sync.Mutex
	index opIndex
}

// opIndex knows the operation IDs of the kept log up to revision hi.
type opIndex struct {
	hi  int64
	ops map[string]*operatorv1.Change
}

// add takes a change that follows the indexed ones; others are ignored.
func (x *opIndex) add(c *operatorv1.Change) {
	if c.GetRevision() <= x.hi {
		return
	}
	x.hi = c.GetRevision()
	x.ops[c.GetOperationId()] = &operatorv1.Change{
		Revision: c.GetRevision(), OperationId: c.GetOperationId(), Author: c.GetAuthor(), Comment: c.GetComment(),
	}
}

// New returns a Store on a key-value service.
func New(service kv.Store) *Store {
	return &Store{kv: service, index: opIndex{ops: map[string]*operatorv1.Change{}}}
}

// Load returns the latest configuration; revision 0 when there is none. It fails with the errors of the service,
// a *CorruptError or a *cluster.ValidationError.
func (s *Store) Load(ctx context.Context) (*cluster.State, error) {
	return s.Refresh(ctx, cluster.Empty())
}

// Refresh returns the latest configuration, read from the log after the given one.
func (s *Store) Refresh(ctx context.Context, from *cluster.State) (*cluster.State, error) {
	state := from
	err := s.eachAfter(ctx, from.Revision, func(c *operatorv1.Change, _ int64) error {
		next, err := state.Apply(c)
		if err != nil {
			return err
		}
		state = next
		return nil
	})
	if err != nil {
		return nil, err
	}
	return state, nil
}

// eachAfter calls fn for each change of the log after a revision, with the service's revision of its record.
func (s *Store) eachAfter(ctx context.Context, after int64, fn func(c *operatorv1.Change, mod int64) error) error {
	for {
		entries, err := s.kv.List(ctx, prefixLog, logKey(after+1), listLimit)
		if err != nil {
			return err
		}
		for _, e := range entries {
			c, err := decodeChange(e)
			if err != nil {
				return err
			}
			if err := fn(c, e.ModRevision); err != nil {
				return err
			}
			after = c.GetRevision()
		}
		if len(entries) < listLimit {
			return nil
		}
	}
}

func decodeChange(e kv.Entry) (*operatorv1.Change, error) {
	revision, err := revisionOfLogKey(e.Key)
	if err != nil {
		return nil, &CorruptError{Key: e.Key, Detail: err.Error()}
	}
	c := &operatorv1.Change{}
	if err := proto.Unmarshal(e.Value, c); err != nil {
		return nil, &CorruptError{Key: e.Key, Detail: err.Error()}
	}
	if c.GetRevision() != revision {
		return nil, &CorruptError{Key: e.Key, Detail: "holds revision " + strconv.FormatInt(c.GetRevision(), 10)}
	}
	return c, nil
}

// Commit commits c as the revision after base and returns the configuration that follows. The revision of c is
// set by Commit; its operation ID is required. Errors that mean that nothing was committed by this call:
// *cluster.ValidationError, *ConflictError, *RepeatedOperationError, *kv.UnavailableError,
// *MissingOperationError. An *UnknownOutcomeError means that the change may have been committed.
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
	if err := s.create(ctx, c, value); err != nil {
		return nil, err
	}
	return next, nil
}

// Committed returns the kept change with an operation ID among the revisions up to base, or nil; the objects of the
// change are left out. As every committer checks all revisions below the one that it creates, an operation is
// committed at most once while the log keeps it.
func (s *Store) Committed(ctx context.Context, base int64, operationID string) (*operatorv1.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index.hi < base {
		err := s.eachAfter(ctx, s.index.hi, func(c *operatorv1.Change, _ int64) error {
			s.index.add(c)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return s.index.ops[operationID], nil
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
		if attempt > 0 && !sleep(ctx, resolvePause<<attempt) {
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
	_, err = s.compareWinner(ctx, c)
	return err
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

// Change returns the committed change of one revision, or a *TrimmedError.
func (s *Store) Change(ctx context.Context, revision int64) (*operatorv1.Change, error) {
	entry, err := s.kv.Get(ctx, logKey(revision))
	var none *kv.NotFoundError
	if errors.As(err, &none) {
		return nil, &TrimmedError{Revision: revision}
	}
	if err != nil {
		return nil, err
	}
	return decodeChange(entry)
}

// History returns up to limit changes before a revision, the newest first.
func (s *Store) History(ctx context.Context, before int64, limit int) ([]*operatorv1.Change, error) {
	first := max(before-int64(limit), 1)
	entries, err := s.kv.List(ctx, prefixLog, logKey(first), limit)
	if err != nil {
		return nil, err
	}
	var out []*operatorv1.Change
	for i := len(entries) - 1; i >= 0; i-- {
		c, err := decodeChange(entries[i])
		if err != nil {
			return nil, err
		}
		if c.GetRevision() < before {
			out = append(out, c)
		}
	}
	return out, nil
}

// Range returns the changes after one revision up to another, or a *TrimmedError.
func (s *Store) Range(ctx context.Context, after, upTo int64) ([]*operatorv1.Change, error) {
	var out []*operatorv1.Change
	err := s.eachAfter(ctx, after, func(c *operatorv1.Change, _ int64) error {
		if c.GetRevision() <= upTo {
			out = append(out, c)
		}
		return nil
	})
	if err == nil && (len(out) == 0 || out[0].GetRevision() != after+1) {
		err = &TrimmedError{Revision: after + 1}
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// At returns the configuration as it was at a revision.
func (s *Store) At(ctx context.Context, revision int64) (*cluster.State, error) {
	state := cluster.Empty()
	err := s.eachAfter(ctx, 0, func(c *operatorv1.Change, _ int64) error {
		if c.GetRevision() > revision {
			return nil
		}
		next, err := state.Apply(c)
		if err != nil {
			return err
		}
		state = next
		return nil
	})
	if err != nil {
		return nil, err
	}
	if state.Revision != revision {
		return nil, &TrimmedError{Revision: revision}
	}
	return state, nil
}
