package store

import (
	"context"
	"errors"
	"time"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
)

// checkInterval is the time between reads beside a watch. A watch whose connection went silent delays a change by
// this much; 14 watchers make 7 reads/s of the service's 2,000. The bound for all processes is 8 s.
const checkInterval = 2 * time.Second

// watchBuffer is the number of changes that a watch may be ahead of their consumer.
const watchBuffer = 64

// eventOrError is what a watch reports.
type eventOrError struct {
	change *operatorv1.Change
	err    error
}

// Follow calls fn for each change after from, in order and without gaps, until the context ends, fn fails or the
// service fails; it returns the cause. Besides the watch it reads the log at intervals, so that a silent watch
// delays changes by no more than that. It calls confirmed with times at which the log had no change that was not
// delivered. It fails with a *TrimmedError when the caller has to Load.
func (s *Store) Follow(
	ctx context.Context, from *cluster.State, fn func(*operatorv1.Change) error, confirmed func(time.Time),
) error {
	f := &follower{store: s, at: from.Revision, fn: fn, confirmed: confirmed}
	mod, err := f.readOn(ctx)
	if err != nil {
		return err
	}
	return f.run(ctx, mod)
}

type follower struct {
	store     *Store
	at        int64
	fn        func(*operatorv1.Change) error
	confirmed func(time.Time)
	// reported is the highest revision that the watch reported, missed the one that a read found before it.
	reported, missed int64
}

// readOn delivers the changes that the log has after the last delivered one. It returns the service's revision of
// the last record, 0 while there is none; then the reads at intervals find a change made before the watch starts.
func (f *follower) readOn(ctx context.Context) (mod int64, err error) {
	start := time.Now()
	mod, err = f.store.Since(ctx, f.at, func(c *operatorv1.Change) error { return f.deliver(ctx, c) })
	if err == nil {
		f.confirmed(start)
	}
	return mod, err
}

// deliver passes on the next change, drops earlier ones and reads the ones missing before a later one.
func (f *follower) deliver(ctx context.Context, c *operatorv1.Change) error {
	if c.GetRevision() <= f.at {
		return nil
	}
	if c.GetRevision() != f.at+1 {
		_, err := f.readOn(ctx)
		return err
	}
	if err := f.fn(c); err != nil {
		return err
	}
	f.store.index.add(c)
	f.at = c.GetRevision()
	return nil
}

func (f *follower) run(ctx context.Context, mod int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan eventOrError, watchBuffer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watch(ctx, mod, events)
	}()
	defer func() { cancel(); <-done }()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-events:
			if e.err != nil {
				return e.err
			}
			f.reported = max(f.reported, e.change.GetRevision())
			if err := f.deliver(ctx, e.change); err != nil {
				return err
			}
		case <-tick.C:
			if err := f.check(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check reads the log. It fails with a *SilentWatchError when the watch has not reported by now what the check
// before found, so that the caller starts a new one.
func (f *follower) check(ctx context.Context) error {
	if f.missed > f.reported {
		return &SilentWatchError{Revision: f.missed}
	}
	before := f.at
	_, err := f.readOn(ctx)
	if f.at > before {
		f.missed = f.at
	}
	return err
}

// watch sends the changes that the service reports; its last message is an error.
func (f *follower) watch(ctx context.Context, mod int64, events chan<- eventOrError) {
	send := func(e eventOrError) {
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	report := func(e kv.Event) {
		if e.Deleted {
			return
		}
		c, err := decodeChange(e.Entry)
		send(eventOrError{change: c, err: err})
	}
	err := f.store.kv.Watch(ctx, prefixLog, mod, report)
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		// The last change is older than what the service keeps. The reads at intervals find a change made between the
		// last read and the oldest kept revision.
		err = f.store.kv.Watch(ctx, prefixLog, compacted.Oldest-1, report)
	}
	if err == nil {
		err = &kv.UnavailableError{Cause: context.Canceled}
	}
	send(eventOrError{err: err})
}
