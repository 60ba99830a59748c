package mirror

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// FollowRequest asks a reader for a snapshot.
type FollowRequest struct {
	Prefix string
	// After is the position up to which the follower knows all changes.
	After kv.Position
	// Wait is how long the reader waits for a change.
	Wait time.Duration
}

// FollowResponse is what a reader says.
type FollowResponse struct {
	// Snapshot is nil when nothing has changed after the position.
	Snapshot *Snapshot
	// Age is the time since the service has last answered the reader, and SinceRecovery that since it did so after an outage.
	Age, SinceRecovery time.Duration
	// Unavailable says that the service does not answer the reader.
	Unavailable bool
}

// NoReaderError says that a process has to ask the service itself: it is a reader, or there are few of them.
type NoReaderError struct{}

func (e *NoReaderError) Error() string { return "no other process reads the service for this one" }

// directReadTime is how long a follower asks the service itself after its reader was of no help.
const directReadTime = 5 * time.Second

// followReader asks the reader, and says whether its answer stands for one of the service. The service itself is asked when the reader does
// not answer or has not heard of the service for longer than a call takes.
func (m *Mirror) followReader(ctx context.Context) bool {
	if m.opts.FollowReader == nil || m.unavailable.Load() || time.Now().Before(m.directUntil) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, m.opts.PollWait+callGrace)
	defer cancel()
	held := m.Snapshot()
	resp, err := m.opts.FollowReader(callCtx, FollowRequest{Prefix: m.opts.Prefix, After: held.At, Wait: m.opts.PollWait})
	var noReader *NoReaderError
	switch {
	case errors.As(err, &noReader) || ctx.Err() != nil:
		return false
	case err != nil || resp.Unavailable || resp.Age > m.opts.PollWait+m.opts.PollDelay+callGrace:
		m.directUntil = time.Now().Add(directReadTime)
		m.opts.Log.Info("reader of the key-value service is of no help", zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return false
	}
	m.adoptContact(resp)
	if s := resp.Snapshot; s != nil && held.At.Before(s.At) {
		m.publish(s)
	}
	return true
}

// adoptContact takes the reader's contact with the service for the own one.
func (m *Mirror) adoptContact(resp *FollowResponse) {
	now := time.Since(m.start)
	m.lastResponse.Store(max(m.lastResponse.Load(), int64(now-resp.Age)))
	m.recoveredAt.Store(max(m.recoveredAt.Load(), int64(now-resp.SinceRecovery)))
	m.lastRead = time.Now() // The reader reads anew now and then.
	m.backoff = 0
}

// sinceRecovery returns the time since the service has answered again after an outage.
func (m *Mirror) sinceRecovery() time.Duration {
	return time.Since(m.start) - time.Duration(m.recoveredAt.Load())
}

// notifyFollowers wakes those that wait for a change.
func (m *Mirror) notifyFollowers() {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) changes() <-chan struct{} {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	return m.changed
}

// HandleFollow answers the question of a follower. It waits for a change unless there is one already.
func (m *Mirror) HandleFollow(ctx context.Context, req FollowRequest) *FollowResponse {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		change := m.changes()
		if resp := m.followResponse(req.After); resp.Snapshot != nil || resp.Unavailable {
			return resp
		}
		select {
		case <-change:
		case <-timer.C:
			return m.followResponse(req.After)
		case <-ctx.Done():
			return m.followResponse(req.After)
		}
	}
}

func (m *Mirror) followResponse(after kv.Position) *FollowResponse {
	resp := &FollowResponse{Age: m.Age(), SinceRecovery: m.sinceRecovery(), Unavailable: m.unavailable.Load()}
	if s := m.Snapshot(); after.Before(s.ChangedAt) {
		resp.Snapshot = s
	}
	return resp
}
