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

// Timing of the loops of a node. Jitter varies a backoff by up to half, so the longest one is 30 s.
const (
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 20 * time.Second
	backoffJitter     = 0.5
	backoffMultiplier = 2
	maxWatchBackoff   = 2 * time.Second
	// failureResetTime is the time for which a source has to work to reset the backoff.
	failureResetTime  = 10 * time.Second
	roleCheckInterval = 5 * time.Second
	maintainInterval  = 10 * time.Second
	// staleAge is the age of the active configuration above which a process polls random peers.
	staleAge            = 7 * time.Second
	refreshInterval     = time.Second
	refreshAttempts     = 3
	refreshTimeout      = 2 * time.Second
	refreshInitialDelay = 100 * time.Millisecond
	// budgetInterval and budgetBurst are the call budget of a process that is not a watcher: one call per interval, in
	// bursts of up to budgetBurst. A Load that reads one snapshot and up to 500 changes makes up to four calls.
	budgetInterval = 10 * time.Second
	budgetBurst    = 8
)

// newBackoff returns the backoff after failures, up to a maximum interval.
func newBackoff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, RandomizationFactor: backoffJitter, Multiplier: backoffMultiplier,
		MaxInterval: maxInterval,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Run keeps the configuration up to date until the context ends, and returns the context's error. It may be called only
// once.
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

// IsWatcher reports whether this process watches the key-value service instead of polling a peer.
func (n *Node) IsWatcher() bool { return n.position().isWatcher() }

// cachedPosition is a tree position and the list of peers that it was computed from.
type cachedPosition struct {
	peers    []Peer
	position treePosition
}

// position returns the current tree position. It is computed once for each list of peers, because sorting 4,000 peers
// takes milliseconds and the position is needed every second.
func (n *Node) position() treePosition {
	peers := n.opts.Peers()
	if last := n.cachedPosition.Load(); last != nil && samePeers(last.peers, peers) {
		return last.position
	}
	p := findPosition(n.opts.Self, peers)
	n.cachedPosition.Store(&cachedPosition{peers: peers, position: p})
	return p
}

// samePeers reports whether two lists are the same slice. It does not compare their contents.
func samePeers(a, b []Peer) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// sourceLoop obtains changes from the service if this process is a watcher, and otherwise from a peer.
func (n *Node) sourceLoop(ctx context.Context) {
	watchBackoff, pollBackoff := newBackoff(maxWatchBackoff), newBackoff(maxBackoff)
	failures := 0
	for ctx.Err() == nil {
		p := n.position()
		retryBackoff := pollBackoff
		start := time.Now()
		var err error
		if p.isWatcher() {
			retryBackoff = watchBackoff
			err = n.follow(ctx)
		} else {
			err = n.pollFrom(ctx, p, failures)
		}
		var notWatcher *NotWatcherError
		ended := err == nil || errors.As(err, &notWatcher) || ctx.Err() != nil
		if ended || time.Since(start) > failureResetTime {
			failures = 0
			watchBackoff.Reset()
			pollBackoff.Reset()
		}
		if ended {
			continue
		}
		failures++
		n.opts.Log.Warn("configuration source failed", zap.Error(err), zap.Int("failures", failures))
		sleep(ctx, retryBackoff.NextBackOff())
	}
}

// pollFrom polls the parent, or after failures a process that follows it in fallback order. When there are no more, it
// polls the parent again.
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
	go n.cancelOnRoleChange(ctx, cancel)
	if err := n.CatchUp(ctx); err != nil {
		return cause(ctx, err)
	}
	state := n.State()
	if state == nil {
		state = cluster.Empty()
	}
	return cause(ctx, n.opts.Store.Follow(ctx, state, n.ApplyChange, n.confirmAt))
}

// cancelOnRoleChange cancels the context with a *NotWatcherError once this process is no longer a watcher.
func (n *Node) cancelOnRoleChange(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		if !n.position().isWatcher() {
			cancel(&NotWatcherError{})
			return
		}
	}
}

// refreshLoop polls random peers while the active configuration has not been confirmed for staleAge, for example
// because the source is partitioned, silent or wrong. It backs off, because no peer can confirm a configuration during
// an outage of the service.
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

// refresh polls a few random peers without waiting for changes, and the service if none of them responds and the call
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

// randomPeer returns a random peer. Two times out of three it is of another failure domain, because the domain of this
// process may be partitioned.
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

// maintainLoop writes snapshots and trims the log if this process is a watcher. If several watchers try at the same
// time, one of them trims the log.
func (n *Node) maintainLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wait := maintainInterval/2 + time.Duration(n.rng.Int64N(int64(maintainInterval)))
		lastSnapshot := n.snapshotRevision
		n.mu.Unlock()
		sleep(ctx, wait)
		state := n.State()
		if ctx.Err() != nil || state == nil || state.Revision-lastSnapshot < store.SnapshotInterval ||
			!n.position().isWatcher() {
			continue
		}
		newest, err := n.opts.Store.Maintain(ctx, state)
		if err != nil {
			n.opts.Log.Warn("cannot write a snapshot of the configuration or trim its log", zap.Error(err))
		}
		n.mu.Lock()
		n.snapshotRevision = max(n.snapshotRevision, newest)
		n.mu.Unlock()
	}
}
