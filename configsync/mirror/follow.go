package mirror

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// FollowRequest is a follower's long poll for a newer snapshot. The follower sends it to its reader, which is the
// process that reads the service for others.
type FollowRequest struct {
	Prefix string
	// After is the position up to which the follower has all changes.
	After kv.Position
	// Wait is how long the reader waits for a change.
	Wait time.Duration
}

// FollowResponse is the response of a reader.
type FollowResponse struct {
	// Snapshot is nil if nothing has changed after the position in the request.
	Snapshot *Snapshot
	// Age is the time since the last response of the service to the reader, SinceRecovery the time since the first one
	// after an outage.
	Age, SinceRecovery time.Duration
	// Unavailable is set if the service does not respond to the reader.
	Unavailable bool
}

// NoReaderError reports that a process has to poll the service directly, because it is the reader or there are too few
// processes.
type NoReaderError struct{}

func (e *NoReaderError) Error() string {
	return "there is no reader of the key-value service for this process"
}

// directReadTime is how long a follower polls the service directly after its reader failed or was out of date.
const directReadTime = 5 * time.Second

// followReader polls the reader and reports whether its response can replace one of the service. If the reader does not
// respond, or the service has not responded to the reader for longer than a poll takes, the follower polls the service
// directly for directReadTime.
func (m *Mirror) followReader(ctx context.Context) bool {
	if m.opts.FollowReader == nil || m.unavailable.Load() || time.Now().Before(m.directUntil) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, m.opts.PollWait+callGrace)
	defer cancel()
	current := m.Snapshot()
	resp, err := m.opts.FollowReader(
		callCtx, FollowRequest{Prefix: m.opts.Prefix, After: current.At, Wait: m.opts.PollWait},
	)
	var noReader *NoReaderError
	switch {
	case errors.As(err, &noReader) || ctx.Err() != nil:
		return false
	case err != nil || resp.Unavailable || resp.Age > m.opts.PollWait+m.opts.PollDelay+callGrace:
		m.directUntil = time.Now().Add(directReadTime)
		m.opts.Log.Info("reader of the key-value service failed or is out of date; polling the service directly",
			zap.String("prefix", m.opts.Prefix), zap.Error(err))
		return false
	}
	m.recordReaderResponse(resp)
	if s := resp.Snapshot; s != nil && current.At.Before(s.At) {
		m.publish(s.admit(m.opts.rules(), current))
	}
	return true
}

// recordReaderResponse takes over the times of the last response and of the recovery of the service from the reader.
func (m *Mirror) recordReaderResponse(resp *FollowResponse) {
	now := time.Since(m.start)
	m.lastResponse.Store(max(m.lastResponse.Load(), int64(now-resp.Age)))
	m.recoveredAt.Store(max(m.recoveredAt.Load(), int64(now-resp.SinceRecovery)))
	m.lastRead = time.Now() // The reader rereads all entries at intervals.
	m.backoff = 0
}

// sinceRecovery returns the time since the first response of the service after an outage.
func (m *Mirror) sinceRecovery() time.Duration {
	return time.Since(m.start) - time.Duration(m.recoveredAt.Load())
}

// notifyFollowers wakes the calls of HandleFollow that wait for a change.
func (m *Mirror) notifyFollowers() {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (m *Mirror) nextChange() <-chan struct{} {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	return m.changed
}

// HandleFollow returns the response to a follower. It waits for a change unless there is one already or the service is
// unavailable.
func (m *Mirror) HandleFollow(ctx context.Context, req FollowRequest) *FollowResponse {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		change := m.nextChange()
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

// followResponse returns the current response to a follower that has all changes up to a position.
func (m *Mirror) followResponse(after kv.Position) *FollowResponse {
	resp := &FollowResponse{Age: m.Age(), SinceRecovery: m.sinceRecovery(), Unavailable: m.unavailable.Load()}
	if s := m.Snapshot(); after.Before(s.ChangedAt) {
		resp.Snapshot = s
	}
	return resp
}
