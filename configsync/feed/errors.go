package feed

import "fmt"

// MessageError reports a message from a peer that cannot be decoded.
type MessageError struct{ Detail string }

func (e *MessageError) Error() string { return "cannot decode the message of a peer: " + e.Detail }

// PeerError reports a failed request to a peer for its configuration.
type PeerError struct {
	Peer  string
	Cause error
}

func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// StatusError reports an error status in a peer's response.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// SilentConnectionError reports a connection on which no byte arrived within the silence timeout.
type SilentConnectionError struct{}

func (e *SilentConnectionError) Error() string { return "no data received within the silence timeout" }

// NotWatcherError reports that this process is no longer a watcher.
type NotWatcherError struct{}

func (e *NotWatcherError) Error() string {
	return "this process no longer watches the key-value service"
}
