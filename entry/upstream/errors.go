package upstream

import (
	"fmt"
	"time"
)

// SequenceGapError reports missing frames of a response.
type SequenceGapError struct {
	// Expected and Received are sequence numbers.
	Expected, Received int64
}

func (e *SequenceGapError) Error() string {
	return fmt.Sprintf("frame %d is due, frame %d came", e.Expected, e.Received)
}

// InvalidFrameError reports a line that is not a valid frame.
type InvalidFrameError struct{ Cause error }

func (e *InvalidFrameError) Error() string { return fmt.Sprintf("frame is not valid: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InvalidFrameError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports an exchange that ended without its last frame.
type IncompleteResponseError struct{ Cause error }

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("answer ended early: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// SilentConnectionError reports that no byte was received for the given time while a response was due.
type SilentConnectionError struct{ For time.Duration }

func (e *SilentConnectionError) Error() string { return fmt.Sprintf("no byte for %v", e.For) }

// NotSentError reports that no connection was made. The sidecar has received nothing of the request.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// StatusError reports that a sidecar responded with an HTTP status other than 200 and therefore without frames.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("side process answered with status %d", e.Status)
}

// CallerDisconnectedError reports that an event could not be relayed to the caller.
type CallerDisconnectedError struct{ Cause error }

func (e *CallerDisconnectedError) Error() string { return fmt.Sprintf("caller has gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Cause }

// MissingResultError reports that the response of a call ended without a result.
type MissingResultError struct{}

func (*MissingResultError) Error() string { return "the answer of a call has no result" }

// MissingTokenError reports that a sidecar responded to a token request without a token.
type MissingTokenError struct{}

func (*MissingTokenError) Error() string { return "the answer has no token" }
