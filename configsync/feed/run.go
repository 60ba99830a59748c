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
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 20 * time.Second
	backoffJitter     = 0.5
	backoffMultiplier = 2
	maxWatchBackoff   = 2 * time.Second
	// failureResetTime is the time after which the failure of a source is not counted with the ones before it.
	failureResetTime    = 10 * time.Second
	roleCheckInterval   = 5 * time.Second
	maintainInterval    = 10 * time.Second
	staleAge            = 7 * time.Second
	refreshInterval     = time.Second
	refreshAttempts     = 3
	refreshTimeout      = 2 * time.Second
	refreshInitialDelay = 100 * time.Millisecond
	// budgetInterval and fallbackBurst are the call budget of a process that does not watch. One Load makes up to
	// four calls while no more than one snapshot and 500 changes are read.
	budgetInterval = 10 * time.Second
	budgetBurst    = 8
)

// newBackoff returns the pauses after failures, up to a bound.
func newBackoff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, RandomizationFactor: backoffJitter, Multiplier: backoffMultiplier, MaxInterval: maxInterval,
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

// IsWatcher says whether this process watches the key-value service in place of polling a peer.
func (n *Node) IsWatcher() bool { return n.position().isWatcher() }

// cachedPosition is a place and the list of peers that it follows from.
type cachedPosition struct {
	peers    []Peer
	position treePosition
}

// position returns the present position. It is computed once for each list of peers, because sorting 4,000 peers takes
// milliseconds and the position is asked for every second.
func (n *Node) position() treePosition {
	peers := n.opts.Peers()
	if last := n.cachedPosition.Load(); last != nil && samePeers(last.peers, peers) {
		return last.position
	}
	p := findPosition(n.opts.Self, peers)
	n.cachedPosition.Store(&cachedPosition{peers: peers, position: p})
	return p
}

// samePeers says whether two lists are the same memory.
func samePeers(a, b []Peer) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// sourceLoop obtains changes from the source that this process's place in the tree says.
func (n *Node) sourceLoop(ctx context.Context) {
	watch, poll := newBackoff(maxWatchBackoff), newBackoff(maxBackoff)
	failures := 0
	for ctx.Err() == nil {
		p := n.position()
		backoff := poll
		start := time.Now()
		var err error
		if p.isWatcher() {
			backoff = watch
			err = n.follow(ctx)
		} else {
			err = n.pollFrom(ctx, p, failures)
		}
		var notWatcher *NotWatcherError
		ended := err == nil || errors.As(err, &notWatcher) || ctx.Err() != nil
		if ended || time.Since(start) > failureResetTime {
			failures = 0
			watch.Reset()
			poll.Reset()
		}
		if ended {
			continue
		}
		failures++
		n.opts.Log.Warn("configuration source failed", zap.Error(err), zap.Int("failures", failures))
		sleep(ctx, backoff.NextBackOff())
	}
}

// pollFrom asks the parent, or after failures the processes that follow it in the order of fallback.
func (n *Node) pollFrom(ctx context.Context, p treePosition, failures int) error {
	peer, ok := p.fallback(failures)
	if !ok {
		peer = p.parent()
	}
	return n.poll(ctx, peer, longPollWait)
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
	return cause(ctx, n.opts.Store.Follow(ctx, state, n.ApplyChange, n.confirmAt))
}

// watchRole ends the context with a *NotWatcherError when this process is no watcher any more.
func (n *Node) watchRole(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		if !n.position().isWatcher() {
			cancel(&NotWatcherError{})
			return
		}
	}
}

// refreshLoop asks other peers while the configuration in force has not been confirmed for some time: when the
// source is itself cut off, silent or wrong. During an outage of the service no peer can confirm anything, so the
// pauses grow.
func (n *Node) refreshLoop(ctx context.Context) {
	delays := newBackoff(maxBackoff)
	sleep(ctx, refreshInitialDelay)
	for ctx.Err() == nil {
		if n.State() != nil && n.Age() <= staleAge {
			delays.Reset()
			sleep(ctx, refreshInterval)
			continue
		}
		n.refresh(ctx)
		sleep(ctx, delays.NextBackOff())
	}
}

// refresh asks a few peers at random without waiting for changes, and the service when none of them answers and the
// budget allows it.
func (n *Node) refresh(ctx context.Context) {
	p := n.position()
	responded := false
	for range refreshAttempts {
		peer, ok := n.randomPeer(p)
		if !ok || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := n.poll(callCtx, peer, 0)
		cancel()
		responded = responded || err == nil
		if n.State() != nil && n.Age() <= staleAge {
			return
		}
	}
	if responded || p.isWatcher() {
		return
	}
	err := n.catchUp(ctx, n.budgeted)
	var overBudget *store.BudgetError
	if errors.As(err, &overBudget) {
		n.overBudget.Add(1)
	}
	if err != nil {
		n.opts.Log.Warn("configuration is stale and cannot be obtained", zap.Error(err), zap.Duration("age", n.Age()))
	}
}

// randomPeer returns a peer of another failure domain two times out of three, as the own one may be cut off.
func (n *Node) randomPeer(p treePosition) (Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inDomain := len(p.domainPeers) - 1
	if len(p.otherPeers) > 0 && (inDomain == 0 || n.rng.IntN(3) > 0) {
		return p.otherPeers[n.rng.IntN(len(p.otherPeers))], true
	}
	if inDomain == 0 {
		return Peer{}, false
	}
	i := n.rng.IntN(inDomain)
	if i >= p.index {
		i++
	}
	return p.domainPeers[i], true
}

// maintainLoop writes snapshots and trims the log, on watchers. Several may try at once; all but one find the work
// done.
func (n *Node) maintainLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wait := maintainInterval/2 + time.Duration(n.rng.Int64N(int64(maintainInterval)))
		lastSnapshot := n.snapshotRevision
		n.mu.Unlock()
		sleep(ctx, wait)
		state := n.State()
		if ctx.Err() != nil || state == nil || state.Revision-lastSnapshot < store.SnapshotInterval || !n.position().isWatcher() {
			continue
		}
		newest, err := n.opts.Store.Maintain(ctx, state)
		if err != nil {
			n.opts.Log.Warn("snapshot of the configuration failed", zap.Error(err))
		}
		n.mu.Lock()
		n.snapshotRevision = max(n.snapshotRevision, newest)
		n.mu.Unlock()
	}
}
