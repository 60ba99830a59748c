package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// Times of a mirror.
const (
	// callGrace is added to the wait of a call before the connection counts as silent.
	callGrace   = 400 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
	// peerFallbackDelay is the time without an answer of the service after which peers are asked.
	peerFallbackDelay = 900 * time.Millisecond
	peerTimeout       = 500 * time.Millisecond
	// rereadInterval bounds how long a change that the service never reported stays unknown.
	rereadInterval = 20 * time.Second
)

// Options are the parts and settings of a Mirror.
type Options struct {
	Source Source
	Prefix string
	// PollWait is how long a call waits for changes.
	PollWait time.Duration
	// PollDelay is the time between two calls; changes in between are fetched together.
	PollDelay time.Duration
	// FetchFromPeer asks another process for a snapshot that is newer than a position; nil when there is none to ask.
	FetchFromPeer func(ctx context.Context, prefix string, after kv.Position) (*Snapshot, error)
	// FollowReader asks the process that reads the service for others; nil when there is none.
	FollowReader func(ctx context.Context, q FollowRequest) (*FollowResponse, error)
	// OnChange is called from the goroutine of Run with each snapshot that differs from the one before. Entries that are
	// newly missing may have run out in an outage although their owners live; they count as removed from keepUntil on,
	// which is zero when there was no outage.
	OnChange func(s *Snapshot, keepUntil time.Time)
	Log      *zap.Logger
}

// Mirror follows one prefix. Its methods may be called from any goroutine.
type Mirror struct {
	opts    Options
	current atomic.Pointer[Snapshot]
	// lastResponse is the time of the last answer of the service, in nanoseconds since start.
	lastResponse atomic.Int64
	start        time.Time

	unavailable atomic.Bool
	lastRead    time.Time
	backoff     time.Duration
	// directUntil is the time until which the service itself is asked because a reader was of no help.
	directUntil time.Time
	// recoveredAt is when the service has answered again after an outage, in nanoseconds since start.
	recoveredAt atomic.Int64
	// change is closed when the snapshot or the contact to the service has changed, and replaced.
	changedMu sync.Mutex
	changed   chan struct{}
}

// New returns a mirror that knows nothing.
func New(opts Options) *Mirror {
	m := &Mirror{opts: opts, start: time.Now(), changed: make(chan struct{})}
	m.recoveredAt.Store(int64(-time.Hour))
	m.current.Store(&Snapshot{})
	return m
}

// Snapshot returns the latest state, with the zero position before the first read.
func (m *Mirror) Snapshot() *Snapshot { return m.current.Load() }

// Age returns the time since the service has last answered; the age of the mirror when it never has.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.start) - time.Duration(m.lastResponse.Load())
}

// Run follows the service until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		m.recordFailure(err)
		delay := m.opts.PollDelay
		if err != nil {
			delay = m.nextBackoff()
			m.fetchFromPeer(ctx)
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// poll makes one call to the service.
func (m *Mirror) poll(ctx context.Context) error {
	s := m.Snapshot()
	if !s.At.IsZero() && m.followReader(ctx) {
		return nil
	}
	if s.At.IsZero() || time.Since(m.lastRead) > rereadInterval {
		return m.reread(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, m.opts.PollWait+callGrace)
	defer cancel()
	events, at, err := m.opts.Source.Changes(callCtx, m.opts.Prefix, s.At, m.opts.PollWait)
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		m.opts.Log.Info("history of the key-value service is gone; reading anew",
			zap.String("prefix", m.opts.Prefix), zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision))
		return m.reread(ctx)
	}
	if err != nil {
		return err
	}
	m.recordResponse()
	if next, changed := s.apply(events, at); changed {
		m.publish(next)
	} else {
		m.current.Store(next)
	}
	return nil
}

func (m *Mirror) reread(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := ReadSnapshot(readCtx, m.opts.Source, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.recordResponse()
	m.lastRead = time.Now()
	if !s.At.Before(m.Snapshot().At) {
		m.publish(s)
	}
	return nil
}

// detectRestore takes the begin of a new era for the end of an outage: the copy lacks what was written after it, and the owners of those
// entries write them again.
func (m *Mirror) detectRestore(held, next *Snapshot) {
	if held.At.IsZero() || held.At.Era == next.At.Era {
		return
	}
	m.recoveredAt.Store(int64(time.Since(m.start)))
	m.opts.Log.Warn("key-value service was restored from an older copy", zap.String("prefix", m.opts.Prefix),
		zap.Int64("era", next.At.Era), zap.Int64("revision_before", held.At.Revision), zap.Int64("revision", next.At.Revision))
}

func (m *Mirror) publish(s *Snapshot) {
	m.detectRestore(m.Snapshot(), s)
	m.current.Store(s)
	m.notifyFollowers()
	m.opts.OnChange(s, m.keepUntil(time.Now()))
}

const (
	// rewriteTime is how long after an outage the entries of living owners may be missing, less the time in which a
	// removal has to be noticed.
	rewriteTime = 1700 * time.Millisecond
	// lateExpiryTime is how long after an outage entries may still run out because of it; it is noticed up to a pause later.
	lateExpiryTime = 700 * time.Millisecond
	minOutage      = 1200 * time.Millisecond
)

// keepUntil returns until when entries that are newly missing are kept.
func (m *Mirror) keepUntil(now time.Time) time.Time {
	switch {
	case m.unavailable.Load():
		// The snapshot comes from a peer, which may just have regained the service.
		return now.Add(rewriteTime)
	case m.sinceRecovery() < lateExpiryTime+m.opts.PollDelay:
		return now.Add(rewriteTime - m.sinceRecovery())
	}
	return time.Time{}
}

// outageThreshold returns the time without an answer after which leases may have run out. Between two calls there is silence in any case.
func (m *Mirror) outageThreshold() time.Duration {
	const margin = 200 * time.Millisecond
	return max(minOutage, m.opts.PollDelay+m.opts.PollWait+margin)
}

func (m *Mirror) recordResponse() {
	if m.Age() > m.outageThreshold() && !m.Snapshot().At.IsZero() {
		m.recoveredAt.Store(int64(time.Since(m.start)))
	}
	if m.unavailable.Swap(false) {
		m.opts.Log.Info("key-value service regained", zap.String("prefix", m.opts.Prefix),
			zap.Duration("after", m.Age()), zap.Int64("revision", m.Snapshot().At.Revision))
	}
	m.lastResponse.Store(int64(time.Since(m.start)))
	m.backoff = 0
}

// recordFailure logs the loss of the service once.
func (m *Mirror) recordFailure(err error) {
	if err == nil || m.unavailable.Swap(true) {
		return
	}
	m.notifyFollowers()
	m.opts.Log.Warn("key-value service lost", zap.String("prefix", m.opts.Prefix),
		zap.Int64("revision", m.Snapshot().At.Revision), zap.Error(err))
}

func (m *Mirror) nextBackoff() time.Duration {
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	return m.backoff/2 + rand.N(m.backoff/2+1)
}

// fetchFromPeer takes the snapshot of a peer when the service has not answered for a while.
func (m *Mirror) fetchFromPeer(ctx context.Context) {
	if m.opts.FetchFromPeer == nil || m.Age() < peerFallbackDelay {
		return
	}
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	held := m.Snapshot()
	s, err := m.opts.FetchFromPeer(peerCtx, m.opts.Prefix, held.At)
	if err != nil {
		m.opts.Log.Debug("peer gave no snapshot", zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return
	}
	if s != nil && held.At.Before(s.At) {
		m.opts.Log.Info("snapshot taken from a peer", zap.String("prefix", m.opts.Prefix),
			zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision))
		m.publish(s)
	}
}
