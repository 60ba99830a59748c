package store

import (
	"context"
	"errors"
	"time"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
)

// pollInterval is the time between reads beside a watch. A watch whose connection went silent delays a change by
// this much; 14 watchers make 7 reads/s of the service's 2,000. The bound for all processes is 8 s.
const pollInterval = 2 * time.Second

// watchBuffer is the number of changes that a watch may be ahead of their consumer.
const watchBuffer = 64

// watchResult is what a watch reports.
type watchResult struct {
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
	f := &follower{store: s, revision: from.Revision, fn: fn, confirmed: confirmed}
	mod, err := f.pollLog(ctx)
	if err != nil {
		return err
	}
	return f.run(ctx, mod)
}

type follower struct {
	store     *Store
	revision  int64
	fn        func(*operatorv1.Change) error
	confirmed func(time.Time)
	// reported is the highest revision that the watch reported, polled the one that a read found before it.
	reported, polled int64
}

// pollLog delivers the changes that the log has after the last delivered one. It returns the service's revision of
// the last record, 0 while there is none; then the reads at intervals find a change made before the watch starts.
func (f *follower) pollLog(ctx context.Context) (mod int64, err error) {
	start := time.Now()
	mod, err = f.store.Since(ctx, f.revision, func(c *operatorv1.Change) error { return f.deliver(ctx, c) })
	if err == nil {
		f.confirmed(start)
	}
	return mod, err
}

// deliver passes on the next change, drops earlier ones and reads the ones missing before a later one.
func (f *follower) deliver(ctx context.Context, c *operatorv1.Change) error {
	if c.GetRevision() <= f.revision {
		return nil
	}
	if c.GetRevision() != f.revision+1 {
		_, err := f.pollLog(ctx)
		return err
	}
	if err := f.fn(c); err != nil {
		return err
	}
	f.store.index.add(c)
	f.revision = c.GetRevision()
	return nil
}

func (f *follower) run(ctx context.Context, mod int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan watchResult, watchBuffer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watch(ctx, mod, events)
	}()
	defer func() { cancel(); <-done }()
	tick := time.NewTicker(pollInterval)
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
			if err := f.checkWatch(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkWatch reads the log. It fails with a *SilentWatchError when the watch has not reported by now what the checkWatch
// before found, so that the caller starts a new one.
func (f *follower) checkWatch(ctx context.Context) error {
	if f.polled > f.reported {
		return &SilentWatchError{Revision: f.polled}
	}
	before := f.revision
	_, err := f.pollLog(ctx)
	if f.revision > before {
		f.polled = f.revision
	}
	return err
}

// watch sends the changes that the service reports; its last message is an error.
func (f *follower) watch(ctx context.Context, mod int64, events chan<- watchResult) {
	send := func(e watchResult) {
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
		send(watchResult{change: c, err: err})
	}
	err := f.store.kv.Watch(ctx, logPrefix, mod, report)
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		// The last change is older than what the service keeps. The reads at intervals find a change made between the
		// last read and the oldest kept revision.
		err = f.store.kv.Watch(ctx, logPrefix, compacted.Oldest-1, report)
	}
	if err == nil {
		err = &kv.UnavailableError{Cause: context.Canceled}
	}
	send(watchResult{err: err})
}
