package feed

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/store"
)

// Bounds of the pause after a failure. The interval is spread by half of itself, so the longest pause is 30 s.
const (
	minPause      = 500 * time.Millisecond
	maxPause      = 20 * time.Second
	pauseSpread   = 0.5
	pauseGrowth   = 2
	maxWatchPause = 2 * time.Second
	// settled is the time after which the failure of a source is not counted with the ones before it.
	settled          = 10 * time.Second
	roleCheck        = 5 * time.Second
	maintainCheck    = 10 * time.Second
	staleAge         = 7 * time.Second
	refreshCheck     = time.Second
	refreshTries     = 3
	refreshTimeout   = 2 * time.Second
	refreshFirstWait = 100 * time.Millisecond
	// fallbackInterval and fallbackBurst are the call budget of a process that does not watch. One Load makes up to
	// four calls while no more than one snapshot and 500 changes are read.
	fallbackInterval = 10 * time.Second
	fallbackBurst    = 8
)

// newBackoff returns the pauses after failures, up to a bound.
func newBackoff(longest time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minPause, RandomizationFactor: pauseSpread, Multiplier: pauseGrowth, MaxInterval: longest,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Run keeps the configuration up to date until the context ends, and returns the context's error. It may be
// called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.stopOnce.Do(func() { close(n.stopped) })
	var g errgroup.Group
	for _, loop := range []func(context.Context){n.sourceLoop, n.refreshLoop, n.maintainLoop} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	_ = g.Wait()
	return ctx.Err()
}

// Watches says whether this process watches the key-value service in place of polling a peer.
func (n *Node) Watches() bool { return n.place().watches() }

// placeOf is a place and the list of peers that it follows from.
type placeOf struct {
	peers []Peer
	place place
}

// place returns the present place. It is computed once for each list of peers, because sorting 4,000 peers takes
// milliseconds and the place is asked for every second.
func (n *Node) place() place {
	peers := n.opts.Peers()
	if last := n.lastPlace.Load(); last != nil && samePeers(last.peers, peers) {
		return last.place
	}
	p := locate(n.opts.Self, peers)
	n.lastPlace.Store(&placeOf{peers: peers, place: p})
	return p
}

// samePeers says whether two lists are the same memory.
func samePeers(a, b []Peer) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// sourceLoop obtains changes from the source that this process's place in the tree says.
func (n *Node) sourceLoop(ctx context.Context) {
	watch, poll := newBackoff(maxWatchPause), newBackoff(maxPause)
	failures := 0
	for ctx.Err() == nil {
		p := n.place()
		pauses := poll
		start := time.Now()
		var err error
		if p.watches() {
			pauses = watch
			err = n.follow(ctx)
		} else {
			err = n.pollFrom(ctx, p, failures)
		}
		var notWatcher *NotWatcherError
		done := err == nil || errors.As(err, &notWatcher) || ctx.Err() != nil
		if done || time.Since(start) > settled {
			failures = 0
			watch.Reset()
			poll.Reset()
		}
		if done {
			continue
		}
		failures++
		n.opts.Log.Warn("configuration source failed", zap.Error(err), zap.Int("failures", failures))
		sleep(ctx, pauses.NextBackOff())
	}
}

// pollFrom asks the parent, or after failures the processes that follow it in the order of fallback.
func (n *Node) pollFrom(ctx context.Context, p place, failures int) error {
	peer, ok := p.fallback(failures)
	if !ok {
		peer = p.parent()
	}
	return n.poll(ctx, peer, pollWait)
}

// follow watches the key-value service until it fails or this process stops being a watcher.
func (n *Node) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go n.watchRole(ctx, cancel)
	if err := n.CatchUp(ctx); err != nil {
		return cause(ctx, err)
	}
	state := n.State()
	if state == nil {
		state = cluster.Empty()
	}
	return cause(ctx, n.opts.Store.Follow(ctx, state, n.AcceptChange, n.confirmNow))
}

// watchRole ends the context with a *NotWatcherError when this process is no watcher any more.
func (n *Node) watchRole(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		sleep(ctx, roleCheck)
		if !n.place().watches() {
			cancel(&NotWatcherError{})
			return
		}
	}
}

// refreshLoop asks other peers while the configuration in force has not been confirmed for some time: when the
// source is itself cut off, silent or wrong. During an outage of the service no peer can confirm anything, so the
// pauses grow.
func (n *Node) refreshLoop(ctx context.Context) {
	pauses := newBackoff(maxPause)
	sleep(ctx, refreshFirstWait)
	for ctx.Err() == nil {
		if n.State() != nil && n.Age() <= staleAge {
			pauses.Reset()
			sleep(ctx, refreshCheck)
			continue
		}
		n.refresh(ctx)
		sleep(ctx, pauses.NextBackOff())
	}
}

// refresh asks a few peers at random without waiting for changes, and the service when none of them answers and the
// budget allows it.
func (n *Node) refresh(ctx context.Context) {
	p := n.place()
	answered := false
	for range refreshTries {
		peer, ok := n.randomPeer(p)
		if !ok || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := n.poll(callCtx, peer, 0)
		cancel()
		answered = answered || err == nil
		if n.State() != nil && n.Age() <= staleAge {
			return
		}
	}
	if answered || p.watches() {
		return
	}
	err := n.catchUp(ctx, n.fallback)
	var over *store.BudgetError
	if errors.As(err, &over) {
		n.overBudget.Add(1)
	}
	if err != nil {
		n.opts.Log.Warn("configuration is stale and cannot be obtained", zap.Error(err), zap.Duration("age", n.Age()))
	}
}

// randomPeer returns a peer of another failure domain two times out of three, as the own one may be cut off.
func (n *Node) randomPeer(p place) (Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := len(p.sorted) - 1
	if len(p.others) > 0 && (own == 0 || n.rng.IntN(3) > 0) {
		return p.others[n.rng.IntN(len(p.others))], true
	}
	if own == 0 {
		return Peer{}, false
	}
	i := n.rng.IntN(own)
	if i >= p.position {
		i++
	}
	return p.sorted[i], true
}

// maintainLoop writes snapshots and trims the log, on watchers. Several may try at once; all but one find the work
// done.
func (n *Node) maintainLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wait := maintainCheck/2 + time.Duration(n.rng.Int64N(int64(maintainCheck)))
		known := n.snapshot
		n.mu.Unlock()
		sleep(ctx, wait)
		state := n.State()
		if ctx.Err() != nil || state == nil || state.Revision-known < store.SnapshotEvery || !n.place().watches() {
			continue
		}
		newest, err := n.opts.Store.Maintain(ctx, state)
		if err != nil {
			n.opts.Log.Warn("snapshot of the configuration failed", zap.Error(err))
		}
		n.mu.Lock()
		n.snapshot = max(n.snapshot, newest)
		n.mu.Unlock()
	}
}
