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
	// peersAfter is the time without an answer of the service after which peers are asked.
	peersAfter  = 900 * time.Millisecond
	peerTimeout = 500 * time.Millisecond
	// rereadEvery bounds how long a change that the service never reported stays unknown.
	rereadEvery = 20 * time.Second
)

// Options are the parts and settings of a Mirror.
type Options struct {
	Source Source
	Prefix string
	// Wait is how long a call waits for changes.
	Wait time.Duration
	// Pause is the time between two calls; changes in between are fetched together.
	Pause time.Duration
	// Peer asks another process for a snapshot that is newer than a position; nil when there is none to ask.
	Peer func(ctx context.Context, prefix string, after kv.Position) (*Snapshot, error)
	// Follow asks the process that reads the service for others; nil when there is none.
	Follow func(ctx context.Context, q Question) (*Answer, error)
	// Changed is called from the goroutine of Run with each snapshot that differs from the one before. Entries that are
	// newly missing may have run out in an outage although their owners live; they count as removed from keepUntil on,
	// which is zero when there was no outage.
	Changed func(s *Snapshot, keepUntil time.Time)
	Log     *zap.Logger
}

// Mirror follows one prefix. Its methods may be called from any goroutine.
type Mirror struct {
	opts    Options
	current atomic.Pointer[Snapshot]
	// contact is the time of the last answer of the service, in nanoseconds since start.
	contact atomic.Int64
	start   time.Time

	lost     atomic.Bool
	lastRead time.Time
	backoff  time.Duration
	// directUntil is the time until which the service itself is asked because a reader was of no help.
	directUntil time.Time
	// regained is when the service has answered again after an outage, in nanoseconds since start.
	regained atomic.Int64
	// change is closed when the snapshot or the contact to the service has changed, and replaced.
	changeLock sync.Mutex
	change     chan struct{}
}

// New returns a mirror that knows nothing.
func New(opts Options) *Mirror {
	m := &Mirror{opts: opts, start: time.Now(), change: make(chan struct{})}
	m.regained.Store(int64(-time.Hour))
	m.current.Store(&Snapshot{})
	return m
}

// Snapshot returns the latest state, with the zero position before the first read.
func (m *Mirror) Snapshot() *Snapshot { return m.current.Load() }

// Age returns the time since the service has last answered; the age of the mirror when it never has.
func (m *Mirror) Age() time.Duration { return time.Since(m.start) - time.Duration(m.contact.Load()) }

// Run follows the service until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.step(ctx)
		if ctx.Err() != nil {
			return
		}
		m.note(err)
		pause := m.opts.Pause
		if err != nil {
			pause = m.nextBackoff()
			m.askPeer(ctx)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// step makes one call to the service.
func (m *Mirror) step(ctx context.Context) error {
	s := m.Snapshot()
	if !s.At.IsZero() && m.follow(ctx) {
		return nil
	}
	if s.At.IsZero() || time.Since(m.lastRead) > rereadEvery {
		return m.read(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, m.opts.Wait+callGrace)
	defer cancel()
	events, at, err := m.opts.Source.Changes(callCtx, m.opts.Prefix, s.At, m.opts.Wait)
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		m.opts.Log.Info("history of the key-value service is gone; reading anew",
			zap.String("prefix", m.opts.Prefix), zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision))
		return m.read(ctx)
	}
	if err != nil {
		return err
	}
	m.answered()
	if next, changed := s.apply(events, at); changed {
		m.publish(next)
	} else {
		m.current.Store(next)
	}
	return nil
}

func (m *Mirror) read(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := Read(readCtx, m.opts.Source, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.answered()
	m.lastRead = time.Now()
	if !s.At.Before(m.Snapshot().At) {
		m.publish(s)
	}
	return nil
}

// noteEra takes the begin of a new era for the end of an outage: the copy lacks what was written after it, and the owners of those
// entries write them again.
func (m *Mirror) noteEra(held, next *Snapshot) {
	if held.At.IsZero() || held.At.Era == next.At.Era {
		return
	}
	m.regained.Store(int64(time.Since(m.start)))
	m.opts.Log.Warn("key-value service was restored from an older copy", zap.String("prefix", m.opts.Prefix),
		zap.Int64("era", next.At.Era), zap.Int64("revision_before", held.At.Revision), zap.Int64("revision", next.At.Revision))
}

func (m *Mirror) publish(s *Snapshot) {
	m.noteEra(m.Snapshot(), s)
	m.current.Store(s)
	m.notifyFollowers()
	m.opts.Changed(s, m.keepUntil(time.Now()))
}

const (
	// returnTime is how long after an outage the entries of living owners may be missing, less the time in which a
	// removal has to be noticed.
	returnTime = 1700 * time.Millisecond
	// lapseTime is how long after an outage entries may still run out because of it; it is noticed up to a pause later.
	lapseTime = 700 * time.Millisecond
	minOutage = 1200 * time.Millisecond
)

// keepUntil returns until when entries that are newly missing are kept.
func (m *Mirror) keepUntil(now time.Time) time.Time {
	switch {
	case m.lost.Load():
		// The snapshot comes from a peer, which may just have regained the service.
		return now.Add(returnTime)
	case m.sinceRegained() < lapseTime+m.opts.Pause:
		return now.Add(returnTime - m.sinceRegained())
	}
	return time.Time{}
}

// outage returns the time without an answer after which leases may have run out. Between two calls there is silence in any case.
func (m *Mirror) outage() time.Duration {
	const margin = 200 * time.Millisecond
	return max(minOutage, m.opts.Pause+m.opts.Wait+margin)
}

func (m *Mirror) answered() {
	if m.Age() > m.outage() && !m.Snapshot().At.IsZero() {
		m.regained.Store(int64(time.Since(m.start)))
	}
	if m.lost.Swap(false) {
		m.opts.Log.Info("key-value service regained", zap.String("prefix", m.opts.Prefix),
			zap.Duration("after", m.Age()), zap.Int64("revision", m.Snapshot().At.Revision))
	}
	m.contact.Store(int64(time.Since(m.start)))
	m.backoff = 0
}

// note logs the loss of the service once.
func (m *Mirror) note(err error) {
	if err == nil || m.lost.Swap(true) {
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

// askPeer takes the snapshot of a peer when the service has not answered for a while.
func (m *Mirror) askPeer(ctx context.Context) {
	if m.opts.Peer == nil || m.Age() < peersAfter {
		return
	}
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	held := m.Snapshot()
	s, err := m.opts.Peer(peerCtx, m.opts.Prefix, held.At)
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
