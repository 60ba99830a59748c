package feed

import "fmt"

// MessageError says that a peer's message cannot be read.
type MessageError struct{ Detail string }

func (e *MessageError) Error() string { return "message of a peer cannot be read: " + e.Detail }

// PeerError says that a peer could not be asked for the configuration.
type PeerError struct {
	Peer  string
	Cause error
}

func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// StatusError says that a peer answered with an error status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// SilentConnectionError says that a connection showed no byte for too long.
type SilentConnectionError struct{}

func (e *SilentConnectionError) Error() string { return "connection is silent" }

// NotWatcherError says that this process has stopped being a watcher of the key-value service.
type NotWatcherError struct{}

func (e *NotWatcherError) Error() string {
	return "this process no longer watches the key-value service"
}
