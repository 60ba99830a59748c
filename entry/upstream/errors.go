package upstream

import (
	"fmt"
	"time"
)

// SequenceGapError says that frames of an answer are missing.
type SequenceGapError struct {
	// Want is the sequence number that was due, Got the one that came.
	Want, Got int64
}

func (e *SequenceGapError) Error() string {
	return fmt.Sprintf("frame %d is due, frame %d came", e.Want, e.Got)
}

// InvalidFrameError says that a line is not a frame.
type InvalidFrameError struct{ Cause error }

func (e *InvalidFrameError) Error() string { return fmt.Sprintf("frame is not valid: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InvalidFrameError) Unwrap() error { return e.Cause }

// IncompleteResponseError says that an exchange ended without its last frame.
type IncompleteResponseError struct{ Cause error }

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("answer ended early: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// SilentConnectionError says that a connection showed no byte for the given time while an answer was due.
type SilentConnectionError struct{ For time.Duration }

func (e *SilentConnectionError) Error() string { return fmt.Sprintf("no byte for %v", e.For) }

// NotSentError says that no connection was made, so that the side process has seen nothing of the request.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// StatusError says that a side process answered with a status other than 200, which is no answer to the request.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("side process answered with status %d", e.Status)
}

// CallerDisconnectedError says that an event could not be passed on to the caller.
type CallerDisconnectedError struct{ Cause error }

func (e *CallerDisconnectedError) Error() string { return fmt.Sprintf("caller has gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Cause }

// MissingResultError says that the answer of a call ended without a result.
type MissingResultError struct{}

func (*MissingResultError) Error() string { return "the answer of a call has no result" }

// MissingTokenError says that a side process answered a request for a token without one.
type MissingTokenError struct{}

func (*MissingTokenError) Error() string { return "the answer has no token" }
