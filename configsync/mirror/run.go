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

// Timing of a mirror.
const (
	// callGrace is added to the wait of a long poll. The sum is the timeout of the call.
	callGrace = 400 * time.Millisecond
	// readTimeout bounds a read of all entries, which takes a call for each page. Source bounds each call.
	readTimeout = 10 * time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
	// peerFallbackDelay is the time without a response of the service after which the mirror polls peers.
	peerFallbackDelay = 900 * time.Millisecond
	peerTimeout       = 500 * time.Millisecond
	// maxCompletions bounds the peers that are asked, one at each poll, for valid entries that the first read of an era
	// did not show.
	maxCompletions = 4
	// rereadInterval is the time between reads of all entries. It bounds the delay of a change that the service did not
	// report.
	rereadInterval = 20 * time.Second
)

// Options configures a Mirror.
type Options struct {
	Source Source
	Prefix string
	// Check tells valid entries from invalid ones. It is nil if all are valid.
	Check CheckFunc
	// Keep tells valid entries that replace an earlier one from those that do not. It is nil if all do.
	Keep KeepFunc
	// PollWait is how long a long poll waits for changes.
	PollWait time.Duration
	// PollDelay is the time between two polls. The next poll returns all changes made in between.
	PollDelay time.Duration
	// FetchFromPeer returns the snapshot of another process, or nil if it is not newer than the position of the request.
	// The function is nil if there are no peers.
	FetchFromPeer func(ctx context.Context, req SnapshotRequest) (*Snapshot, error)
	// FollowReader polls the process that reads the service for others. The function is nil if there is none.
	FollowReader func(ctx context.Context, req FollowRequest) (*FollowResponse, error)
	// OnChange is called from the goroutine of Run with each snapshot in which an event changed an entry, and with the
	// snapshot of each read of all entries or from another process. Entries that are newly missing may have expired
	// during an outage although their owners are alive. They count as removed only after keepUntil, which is zero if
	// there was no outage. OnChange is nil if nobody follows the changes.
	OnChange func(s *Snapshot, keepUntil time.Time)
	Log      *zap.Logger
}

func (o *Options) rules() rules { return rules{check: o.Check, keep: o.Keep} }

// Mirror keeps a copy of one prefix. Its methods may be called from any goroutine.
type Mirror struct {
	opts    Options
	current atomic.Pointer[Snapshot]
	// lastResponse is the time of the last response of the service, in nanoseconds since start.
	lastResponse atomic.Int64
	start        time.Time

	unavailable atomic.Bool
	// lastRead is the time of the last read of all entries.
	lastRead time.Time
	backoff  time.Duration
	// completions is the number of peers that may still be asked for missing valid entries.
	completions int
	// directUntil is the time until which the mirror polls the service directly because its reader failed.
	directUntil time.Time
	// recoveredAt is the time of the first response of the service after an outage, in nanoseconds since start.
	recoveredAt atomic.Int64
	changedMu   sync.Mutex
	// changed is closed and replaced when the snapshot changes or the service becomes unavailable.
	changed chan struct{}
}

// New returns an empty mirror. Run fills it.
func New(opts Options) *Mirror {
	m := &Mirror{opts: opts, start: time.Now(), changed: make(chan struct{})}
	m.recoveredAt.Store(int64(-time.Hour))
	m.current.Store(&Snapshot{checked: true})
	return m
}

// Snapshot returns the latest snapshot. Its position is zero before the first read.
func (m *Mirror) Snapshot() *Snapshot { return m.current.Load() }

// Age returns the time since the last response of the service, or since New if there has been none.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.start) - time.Duration(m.lastResponse.Load())
}

// Run keeps the snapshot up to date until the context ends.
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

// poll obtains changes from the reader if possible, and otherwise from the service.
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
		m.opts.Log.Info("history of the key-value service was compacted; rereading all entries",
			zap.String("prefix", m.opts.Prefix), zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision))
		return m.reread(ctx)
	}
	if err != nil {
		return err
	}
	m.recordResponse()
	next, changed := s.apply(events, at, m.opts.rules())
	next, completed := m.complete(ctx, next)
	if changed || completed {
		m.publish(next)
	} else {
		m.current.Store(next)
	}
	return nil
}

// Update brings the snapshot up to date. A process that needs the state only at times calls it instead of Run. Within
// rereadInterval of the last read of all entries it applies the events since, so that no write is missed between two
// calls. After a failed call it reads all entries.
func (m *Mirror) Update(ctx context.Context) error {
	err := m.poll(ctx)
	if err != nil {
		m.lastRead = time.Time{}
	}
	return err
}

// reread reads all entries and publishes them unless the current snapshot is newer.
func (m *Mirror) reread(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, at, err := m.opts.Source.Read(readCtx, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.recordResponse()
	m.lastRead = time.Now()
	previous := m.Snapshot()
	if at.Before(previous.At) {
		return nil
	}
	next := newSnapshot(entries, at, m.opts.rules(), previous)
	if previous.At.IsZero() || previous.At.Era != at.Era {
		m.completions = maxCompletions
	}
	next, _ = m.complete(ctx, next)
	m.publish(next)
	return nil
}

// complete returns a snapshot that is not published yet with the valid entries that a peer knows of the keys of which this
// process knows none, and whether there are any. A process that has run for longer has seen entries that others have replaced since.
func (m *Mirror) complete(ctx context.Context, s *Snapshot) (next *Snapshot, completed bool) {
	next = s
	unknown := s.unknownKeys()
	if m.opts.FetchFromPeer == nil || len(unknown) == 0 {
		m.completions = 0
	}
	if m.completions > 0 {
		m.completions--
		next, completed = m.completeFromPeer(ctx, s, unknown)
	}
	next.settled = m.completions == 0
	return next, completed
}

// completeFromPeer asks one peer, and asks no more if nobody knows more than it.
func (m *Mirror) completeFromPeer(ctx context.Context, s *Snapshot, unknown []string) (*Snapshot, bool) {
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	other, err := m.opts.FetchFromPeer(peerCtx, SnapshotRequest{Prefix: m.opts.Prefix, Keys: unknown})
	if err != nil || other == nil {
		m.opts.Log.Info("no peer completes the entries", zap.String("prefix", m.opts.Prefix),
			zap.Int("unknown", len(unknown)), zap.Error(err))
		return s, false
	}
	if other.settled && other.At.Era == s.At.Era {
		m.completions = 0
	}
	next, completed := s.complete(other, m.opts.rules())
	m.opts.Log.Info("valid entries taken from a peer", zap.String("prefix", m.opts.Prefix), zap.Int("unknown", len(unknown)),
		zap.Int("taken", len(unknown)-next.CountUnknown()), zap.Int64("revision", s.At.Revision))
	return next, completed
}

// detectRestore treats the start of a new era as the end of an outage: the restored copy lacks entries that were
// written after it was taken, and their owners write them again.
func (m *Mirror) detectRestore(previous, next *Snapshot) {
	if previous.At.IsZero() || previous.At.Era == next.At.Era {
		return
	}
	m.recoveredAt.Store(int64(time.Since(m.start)))
	m.opts.Log.Warn("key-value service was restored from an older copy", zap.String("prefix", m.opts.Prefix),
		zap.Int64("era", next.At.Era), zap.Int64("revision_before", previous.At.Revision),
		zap.Int64("revision", next.At.Revision))
}

// publish replaces the snapshot, wakes the followers and calls OnChange.
func (m *Mirror) publish(s *Snapshot) {
	m.detectRestore(m.Snapshot(), s)
	m.current.Store(s)
	m.notifyFollowers()
	if m.opts.OnChange != nil {
		m.opts.OnChange(s, m.keepUntil(time.Now()))
	}
}

const (
	// rewriteTime is how long after an outage the entries of live owners may be missing, because the owners still have
	// to write them again, less the time within which a removal must be noticed.
	rewriteTime = 1700 * time.Millisecond
	// lateExpiryTime is how long after an outage entries may still expire because of it. The mirror receives such an
	// expiry up to PollDelay later.
	lateExpiryTime = 700 * time.Millisecond
	// minOutage is the lower bound of outageThreshold.
	minOutage = 1200 * time.Millisecond
)

// keepUntil returns the time until which newly missing entries are kept, or zero if they are removed immediately.
func (m *Mirror) keepUntil(now time.Time) time.Time {
	switch {
	case m.unavailable.Load():
		// The snapshot comes from a peer, which may have reconnected to the service just before.
		return now.Add(rewriteTime)
	case m.sinceRecovery() < lateExpiryTime+m.opts.PollDelay:
		return now.Add(rewriteTime - m.sinceRecovery())
	}
	return time.Time{}
}

// outageThreshold returns the time without a response of the service after which leases may have expired. It exceeds
// the usual time between the responses to two polls.
func (m *Mirror) outageThreshold() time.Duration {
	const margin = 200 * time.Millisecond
	return max(minOutage, m.opts.PollDelay+m.opts.PollWait+margin)
}

// recordResponse marks the service as available and detects the end of an outage.
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

// recordFailure marks the service as unavailable after an error, and logs the first one.
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

// fetchFromPeer publishes the snapshot of a peer if it is newer and the service has not responded for
// peerFallbackDelay.
func (m *Mirror) fetchFromPeer(ctx context.Context) {
	if m.opts.FetchFromPeer == nil || m.Age() < peerFallbackDelay {
		return
	}
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	current := m.Snapshot()
	s, err := m.opts.FetchFromPeer(peerCtx, SnapshotRequest{Prefix: m.opts.Prefix, After: current.At})
	if err != nil {
		m.opts.Log.Debug("cannot fetch a snapshot from a peer", zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return
	}
	if s != nil && current.At.Before(s.At) {
		m.opts.Log.Info("snapshot taken from a peer", zap.String("prefix", m.opts.Prefix),
			zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision))
		m.publish(s.admit(m.opts.rules(), current))
	}
}
