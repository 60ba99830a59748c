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

// Maximum numbers of log entries in one List call. 500 changes of average size take 250 KB. 40 changes of the largest
// size take 53 MB in base64, which is below the client's limit of 64 MB.
const (
	pageSize            = 500
	largeChangePageSize = 40
)

// Store reads and writes the configuration in the key-value service. It is safe for concurrent use.
type Store struct {
	kv     kv.Store
	index  *opIndex
	limits snapshotLimits
	// sleep waits for a duration. It returns false if the context ends first.
	sleep func(context.Context, time.Duration) bool
}

// New returns a Store that uses a key-value service.
func New(service kv.Store) *Store {
	return &Store{
		kv: service, index: &opIndex{ops: map[string]*operatorv1.Change{}}, limits: defaultLimits, sleep: sleep,
	}
}

// Observe records a committed change, for example one that a peer sent. A later Commit then need not read it from the
// log.
func (s *Store) Observe(c *operatorv1.Change) { s.index.add(c) }

// loadAttempts bounds how often Load starts over because the log was trimmed during the read.
const loadAttempts = 3

// Load returns the latest configuration, built from the newest complete snapshot and the log after it, or revision 0 if
// there is none. Only the result is validated, so that an invalid revision does not block later ones. It fails with the
// errors of the service, a *CorruptError or a *cluster.ValidationError.
func (s *Store) Load(ctx context.Context) (*cluster.State, error) {
	var gap *cluster.RevisionGapError
	for attempt := 1; ; attempt++ {
		builder, err := s.loadNewestSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		err = s.forEachChangeAfter(ctx, builder.revision, func(c *operatorv1.Change, _ int64) error {
			return builder.apply(c)
		})
		if err == nil {
			return builder.state()
		}
		if !errors.As(err, &gap) || attempt == loadAttempts {
			return nil, err
		}
	}
}

// stateBuilder builds a configuration from a snapshot and the changes after it, without validating it.
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
		delete(b.objects, cluster.RefFromProto(r))
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

// forEachChangeAfter calls fn for each change in the log after a revision, in order. mod is the modification revision
// of the change's record in the service.
func (s *Store) forEachChangeAfter(
	ctx context.Context, after int64, fn func(c *operatorv1.Change, mod int64) error,
) error {
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

// maybeTooLarge reports whether a read may have failed because its response was too large. The client cannot
// distinguish it from other unreadable responses.
func maybeTooLarge(err error) bool {
	var unknown *kv.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// Since calls fn for each change after the caller's active revision. It also reads the record of that revision, to
// check that the log continues from there. It returns the modification revision of the last record in the service. It
// fails with a *TrimmedError if the caller has to call Load, and with a *LogBehindError if the log ends before the
// caller's revision.
func (s *Store) Since(
	ctx context.Context, revision int64, fn func(*operatorv1.Change) error,
) (modRevision int64, err error) {
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

// Change returns the committed change of a revision, or a *TrimmedError.
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

// History returns up to limit changes before a revision, newest first.
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

// Range returns the changes after one revision up to and including another, or a *TrimmedError.
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

// At returns the configuration at a revision, or a *TrimmedError if it is no longer retained.
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
