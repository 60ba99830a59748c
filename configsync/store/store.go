package store

import (
	"context"
	"errors"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
)

// Numbers of log entries read by one call. 500 average changes have 250 KB; 40 changes of the largest size have 53 MB
// in base64, below the 64 MB that the client takes.
const (
	listLimit      = 500
	listLimitLarge = 40
)

// Store is the configuration in the key-value service. It may be used by any goroutine.
type Store struct {
	kv     kv.Store
	index  *opIndex
	bounds bounds
	// sleep waits and returns false when the context ended first.
	sleep func(context.Context, time.Duration) bool
}

// New returns a Store on a key-value service.
func New(service kv.Store) *Store {
	return &Store{
		kv: service, index: &opIndex{ops: map[string]*operatorv1.Change{}}, bounds: defaultBounds, sleep: sleep,
	}
}

// Observe tells the store of a committed change that came from a peer, so that a later Commit need not read it.
func (s *Store) Observe(c *operatorv1.Change) { s.index.add(c) }

// loadAttempts bounds how often Load starts anew because the log was trimmed while it was read.
const loadAttempts = 3

// Load returns the latest configuration, from the newest complete snapshot and the log after it; revision 0 when
// there is none. Only the result is validated, so that a revision that was refused does not block the ones after
// it. It fails with the errors of the service, a *CorruptError or a *cluster.ValidationError.
func (s *Store) Load(ctx context.Context) (*cluster.State, error) {
	var gap *cluster.RevisionGapError
	for attempt := 1; ; attempt++ {
		f, err := s.newestSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		err = s.eachAfter(ctx, f.revision, func(c *operatorv1.Change, _ int64) error { return f.apply(c) })
		if err == nil {
			return f.state()
		}
		if !errors.As(err, &gap) || attempt == loadAttempts {
			return nil, err
		}
	}
}

// fold is a configuration under construction, not validated.
type fold struct {
	revision int64
	objects  map[cluster.Ref]*operatorv1.Object
}

func newFold() *fold { return &fold{objects: map[cluster.Ref]*operatorv1.Object{}} }

func (f *fold) apply(c *operatorv1.Change) error {
	if c.GetRevision() != f.revision+1 {
		return &cluster.RevisionGapError{Have: f.revision, Got: c.GetRevision()}
	}
	f.revision = c.GetRevision()
	for _, r := range c.GetDeletes() {
		delete(f.objects, cluster.RefFrom(r))
	}
	for _, o := range c.GetUpserts() {
		f.objects[cluster.RefOf(o)] = o
	}
	return nil
}

func (f *fold) state() (*cluster.State, error) {
	list := make([]*operatorv1.Object, 0, len(f.objects))
	for _, o := range f.objects {
		list = append(list, o)
	}
	return cluster.New(f.revision, list)
}

// eachAfter calls fn for each change of the log after a revision, with the service's revision of its record.
func (s *Store) eachAfter(ctx context.Context, after int64, fn func(c *operatorv1.Change, mod int64) error) error {
	limit := listLimit
	for {
		entries, err := s.kv.List(ctx, prefixLog, logKey(after+1), limit)
		if tooLarge(err) && limit > listLimitLarge {
			limit = listLimitLarge
			continue
		}
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
		if len(entries) < limit {
			return nil
		}
	}
}

// tooLarge says whether a read may have failed because its answer was too large, which the client cannot tell from
// other answers that it could not read.
func tooLarge(err error) bool {
	var unreadable *kv.UnknownOutcomeError
	return errors.As(err, &unreadable)
}

// Since calls fn for each change after a revision that the caller has in force. It reads the record of that
// revision too, as proof that the log continues it, and returns the service's revision of the last record. It
// fails with a *TrimmedError when the caller has to Load, and with a *LogBehindError when the log does not reach
// the caller's revision.
func (s *Store) Since(ctx context.Context, revision int64, fn func(*operatorv1.Change) error) (mod int64, err error) {
	at := max(revision-1, 0)
	err = s.eachAfter(ctx, at, func(c *operatorv1.Change, m int64) error {
		if c.GetRevision() != at+1 {
			return &TrimmedError{Revision: at + 1, Oldest: c.GetRevision()}
		}
		at, mod = c.GetRevision(), m
		s.index.add(c)
		if at <= revision {
			return nil
		}
		return fn(c)
	})
	if err == nil && at < revision {
		err = &LogBehindError{Have: revision}
	}
	return mod, err
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

// At returns the configuration as it was at a revision, or a *TrimmedError when it is not kept any more.
func (s *Store) At(ctx context.Context, revision int64) (*cluster.State, error) {
	f, err := s.snapshotUpTo(ctx, revision)
	if err != nil {
		return nil, err
	}
	err = s.eachAfter(ctx, f.revision, func(c *operatorv1.Change, _ int64) error {
		if c.GetRevision() > revision {
			return nil
		}
		return f.apply(c)
	})
	var gap *cluster.RevisionGapError
	if errors.As(err, &gap) || (err == nil && f.revision != revision) {
		return nil, &TrimmedError{Revision: revision}
	}
	if err != nil {
		return nil, err
	}
	return f.state()
}
