package telemetry

import (
	"errors"
	"net"
)

// retryingListener reports each failed accept as a temporary error, after which http.Server tries again with a growing
// delay. A failed accept concerns one connection that never was, or memory that the system lacks for now (accept(2)).
type retryingListener struct{ net.Listener }

// Accept implements net.Listener. It fails with an *AcceptError, or with net.ErrClosed once the listener is closed.
func (l *retryingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return c, err
	}
	return nil, &AcceptError{Cause: err}
}

// AcceptError reports a connection that could not be accepted. It implements net.Error.
type AcceptError struct{ Cause error }

func (e *AcceptError) Error() string { return "connection not accepted: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AcceptError) Unwrap() error { return e.Cause }

// Temporary reports that the next connection may be accepted.
func (e *AcceptError) Temporary() bool { return true }

// Timeout reports that the error is not a timeout.
func (e *AcceptError) Timeout() bool { return false }
