package store

import (
	"context"
	"errors"
	"time"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/platform/kv"
)

// checkInterval is the time between reads beside a watch. A watch whose connection went silent is noticed by the
// next read; 3 s leaves 5 s of the 8 s bound for the processes below a watcher.
const checkInterval = 3 * time.Second

// watchBuffer is the number of changes that a watch may be ahead of their consumer.
const watchBuffer = 64

// eventOrError is what a watch reports.
type eventOrError struct {
	change *operatorv1.Change
	err    error
}

// Follow calls fn for each change after from, in order and without gaps, until the context ends, fn fails or the
// service fails; it returns the cause. Besides the watch it reads the log at intervals, so that a silent watch
// delays changes by no more than that.
func (s *Store) Follow(ctx context.Context, from *cluster.State, fn func(*operatorv1.Change) error) error {
	f := &follower{store: s, at: from.Revision, fn: fn}
	mod, err := f.startRevision(ctx)
	if err != nil {
		return err
	}
	return f.run(ctx, mod)
}

type follower struct {
	store *Store
	at    int64
	fn    func(*operatorv1.Change) error
}

// startRevision delivers what the log has and returns the service's revision from which to watch: that of the
// last record, or of the record that from stands for.
func (f *follower) startRevision(ctx context.Context) (int64, error) {
	mod, err := f.readOn(ctx)
	if err != nil || mod > 0 {
		return mod, err
	}
	entry, err := f.store.kv.Get(ctx, logKey(f.at))
	var none *kv.NotFoundError
	if errors.As(err, &none) {
		// No record is known; the reads at intervals find a change made before the watch starts.
		return 0, nil
	}
	return entry.ModRevision, err
}

// readOn delivers the changes that the log has after the last delivered one.
func (f *follower) readOn(ctx context.Context) (mod int64, err error) {
	err = f.store.eachAfter(ctx, f.at, func(c *operatorv1.Change, m int64) error {
		mod = m
		return f.deliver(ctx, c)
	})
	return mod, err
}

// deliver passes on the next change, drops earlier ones and reads the ones missing before a later one.
func (f *follower) deliver(ctx context.Context, c *operatorv1.Change) error {
	if c.GetRevision() <= f.at {
		return nil
	}
	if c.GetRevision() != f.at+1 {
		return f.fill(ctx, c.GetRevision())
	}
	if err := f.fn(c); err != nil {
		return err
	}
	f.at = c.GetRevision()
	return nil
}

func (f *follower) fill(ctx context.Context, revision int64) error {
	first, err := f.store.Change(ctx, f.at+1)
	if err != nil {
		return err
	}
	if err := f.deliver(ctx, first); err != nil || f.at >= revision {
		return err
	}
	_, err = f.readOn(ctx)
	return err
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
			if err := f.deliver(ctx, e.change); err != nil {
				return err
			}
		case <-tick.C:
			if _, err := f.readOn(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watch sends the changes that the service reports; its last message is an error.
func (f *follower) watch(ctx context.Context, mod int64, events chan<- eventOrError) {
	send := func(e eventOrError) {
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	err := f.store.kv.Watch(ctx, prefixLog, mod, func(e kv.Event) {
		if e.Deleted {
			return
		}
		c, err := decodeChange(e.Entry)
		send(eventOrError{change: c, err: err})
	})
	if err == nil {
		err = &kv.UnavailableError{Cause: context.Canceled}
	}
	send(eventOrError{err: err})
}
