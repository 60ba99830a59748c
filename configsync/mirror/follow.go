package mirror

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// Question asks a reader for a snapshot.
type Question struct {
	Prefix string
	// After is the position up to which the follower knows all changes.
	After kv.Position
	// Wait is how long the reader waits for a change.
	Wait time.Duration
}

// Answer is what a reader says.
type Answer struct {
	// Snapshot is nil when nothing has changed after the position.
	Snapshot *Snapshot
	// Age is the time since the service has last answered the reader, and Regained that since it did so after an outage.
	Age, Regained time.Duration
	// Lost says that the service does not answer the reader.
	Lost bool
}

// NoReaderError says that a process has to ask the service itself: it is a reader, or there are few of them.
type NoReaderError struct{}

func (e *NoReaderError) Error() string { return "no other process reads the service for this one" }

// directTime is how long a follower asks the service itself after its reader was of no help.
const directTime = 5 * time.Second

// follow asks the reader, and says whether its answer stands for one of the service. The service itself is asked when the reader does
// not answer or has not heard of the service for longer than a call takes.
func (m *Mirror) follow(ctx context.Context) bool {
	if m.opts.Follow == nil || m.lost.Load() || time.Now().Before(m.directUntil) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, m.opts.Wait+callGrace)
	defer cancel()
	held := m.Snapshot()
	a, err := m.opts.Follow(callCtx, Question{Prefix: m.opts.Prefix, After: held.At, Wait: m.opts.Wait})
	var none *NoReaderError
	switch {
	case errors.As(err, &none) || ctx.Err() != nil:
		return false
	case err != nil || a.Lost || a.Age > m.opts.Wait+m.opts.Pause+callGrace:
		m.directUntil = time.Now().Add(directTime)
		m.opts.Log.Info("reader of the key-value service is of no help", zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return false
	}
	m.heard(a)
	if s := a.Snapshot; s != nil && held.At.Before(s.At) {
		m.publish(s)
	}
	return true
}

// heard takes the reader's contact with the service for the own one.
func (m *Mirror) heard(a *Answer) {
	since := time.Since(m.start)
	m.contact.Store(max(m.contact.Load(), int64(since-a.Age)))
	m.regained.Store(max(m.regained.Load(), int64(since-a.Regained)))
	m.lastRead = time.Now() // The reader reads anew now and then.
	m.backoff = 0
}

// sinceRegained returns the time since the service has answered again after an outage.
func (m *Mirror) sinceRegained() time.Duration {
	return time.Since(m.start) - time.Duration(m.regained.Load())
}

// notifyFollowers wakes those that wait for a change.
func (m *Mirror) notifyFollowers() {
	m.changeLock.Lock()
	defer m.changeLock.Unlock()
	close(m.change)
	m.change = make(chan struct{})
}

func (m *Mirror) nextChange() <-chan struct{} {
	m.changeLock.Lock()
	defer m.changeLock.Unlock()
	return m.change
}

// Answer answers the question of a follower. It waits for a change unless there is one already.
func (m *Mirror) Answer(ctx context.Context, q Question) *Answer {
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for {
		change := m.nextChange()
		if a := m.answer(q.After); a.Snapshot != nil || a.Lost {
			return a
		}
		select {
		case <-change:
		case <-timer.C:
			return m.answer(q.After)
		case <-ctx.Done():
			return m.answer(q.After)
		}
	}
}

func (m *Mirror) answer(after kv.Position) *Answer {
	a := &Answer{Age: m.Age(), Regained: m.sinceRegained(), Lost: m.lost.Load()}
	if s := m.Snapshot(); after.Before(s.Changed) {
		a.Snapshot = s
	}
	return a
}
