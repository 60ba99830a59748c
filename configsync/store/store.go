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
	pageSize            = 500
	largeChangePageSize = 40
)

// Store is the configuration in the key-value service. It may be used by any goroutine.
type Store struct {
	kv     kv.Store
	index  *opIndex
	limits snapshotLimits
	// sleep waits and returns false when the context ended first.
	sleep func(context.Context, time.Duration) bool
}

// New returns a Store on a key-value service.
func New(service kv.Store) *Store {
	return &Store{
		kv: service, index: &opIndex{ops: map[string]*operatorv1.Change{}}, limits: defaultLimits, sleep: sleep,
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
		builder, err := s.loadNewestSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		err = s.forEachChangeAfter(ctx, builder.revision, func(c *operatorv1.Change, _ int64) error { return builder.apply(c) })
		if err == nil {
			return builder.state()
		}
		if !errors.As(err, &gap) || attempt == loadAttempts {
			return nil, err
		}
	}
}

// stateBuilder is a configuration under construction, not validated.
type stateBuilder struct {
	revision int64
	objects  map[cluster.Ref]*operatorv1.Object
}

func newStateBuilder() *stateBuilder {
	return &stateBuilder{objects: map[cluster.Ref]*operatorv1.Object{}}
}

func (b *stateBuilder) apply(c *operatorv1.Change) error {
	if c.GetRevision() != b.revision+1 {
		return &cluster.RevisionGapError{Have: b.revision, Got: c.GetRevision()}
	}
	b.revision = c.GetRevision()
	for _, r := range c.GetDeletes() {
		delete(b.objects, cluster.RefFrom(r))
	}
	for _, o := range c.GetUpserts() {
		b.objects[cluster.RefOf(o)] = o
	}
	return nil
}

func (b *stateBuilder) state() (*cluster.State, error) {
	list := make([]*operatorv1.Object, 0, len(b.objects))
	for _, o := range b.objects {
		list = append(list, o)
	}
	return cluster.New(b.revision, list)
}

// forEachChangeAfter calls fn for each change of the log after a revision, with the service's revision of its record.
func (s *Store) forEachChangeAfter(ctx context.Context, after int64, fn func(c *operatorv1.Change, mod int64) error) error {
	limit := pageSize
	for {
		entries, err := s.kv.List(ctx, logPrefix, logKey(after+1), limit)
		if maybeTooLarge(err) && limit > largeChangePageSize {
			limit = largeChangePageSize
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

// maybeTooLarge says whether a read may have failed because its answer was too large, which the client cannot tell from
// other answers that it could not read.
func maybeTooLarge(err error) bool {
	var unknown *kv.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// Since calls fn for each change after a revision that the caller has in force. It reads the record of that
// revision too, as proof that the log continues it, and returns the service's revision of the last record. It
// fails with a *TrimmedError when the caller has to Load, and with a *LogBehindError when the log does not reach
// the caller's revision.
func (s *Store) Since(ctx context.Context, revision int64, fn func(*operatorv1.Change) error) (modRevision int64, err error) {
	last := max(revision-1, 0)
	err = s.forEachChangeAfter(ctx, last, func(c *operatorv1.Change, m int64) error {
		if c.GetRevision() != last+1 {
			return &TrimmedError{Revision: last + 1, Oldest: c.GetRevision()}
		}
		last, modRevision = c.GetRevision(), m
		s.index.add(c)
		if last <= revision {
			return nil
		}
		return fn(c)
	})
	if err == nil && last < revision {
		err = &LogBehindError{Committed: revision}
	}
	return modRevision, err
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
	var notFound *kv.NotFoundError
	if errors.As(err, &notFound) {
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
	entries, err := s.kv.List(ctx, logPrefix, logKey(first), limit)
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
	err := s.forEachChangeAfter(ctx, after, func(c *operatorv1.Change, _ int64) error {
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
	builder, err := s.loadSnapshotUpTo(ctx, revision)
	if err != nil {
		return nil, err
	}
	err = s.forEachChangeAfter(ctx, builder.revision, func(c *operatorv1.Change, _ int64) error {
		if c.GetRevision() > revision {
			return nil
		}
		return builder.apply(c)
	})
	var gap *cluster.RevisionGapError
	if errors.As(err, &gap) || (err == nil && builder.revision != revision) {
		return nil, &TrimmedError{Revision: revision}
	}
	if err != nil {
		return nil, err
	}
	return builder.state()
}
