// Package exchange sends requests to backend servers over pooled HTTP/1.1 connections, one at a time on each, and reads
// their answers. It never sends a request twice by itself.
package exchange

import (
	"fmt"
	"net/http"
	"time"
)

// Metadata is what a caller says of its request.
type Metadata struct {
	// ID names the request; the answer repeats it.
	ID string
	// Key authenticates the customer.
	Key string
	// Deadline is the time that the caller waits, from when it sent the request.
	Deadline    time.Duration
	HasDeadline bool
	// PromptTokens and MaxTokens size a generation; 0 if not said.
	PromptTokens, MaxTokens int
	// LastEventID is that of the event after which a stream continues.
	LastEventID string
}

// Attempt is what a server is told of one send of a request.
type Attempt struct {
	// Server is the only server that may run the request.
	Server   string
	Customer string
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// Priority is 0 for the most urgent, nil for the usual one.
	Priority    *int
	LastEventID string
}

// ResponseInfo is what a server says of its answer.
type ResponseInfo struct {
	// ID is that of the request answered.
	ID string
	// Signed says that the answer is the server's own.
	Signed bool
	// NotExecuted says that the server did not run the request and will not.
	NotExecuted bool
	// FaultyServer names the server that caused a refusal.
	FaultyServer string
	// RetryAfter is how long the server that refused a request takes none from this process, 0 if it does not say.
	RetryAfter time.Duration
	// Leaving says that the server takes no new work and ends soon.
	Leaving bool
}

// Dialect translates the headers of the protocol between gateway and servers.
type Dialect interface {
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ConnectError says that no connection could be made; nothing was sent.
type ConnectError struct {
	Address string
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// BrokenError says that the exchange broke after the request, or a part of it, was sent; it may have run.
type BrokenError struct {
	Address string
	// Reused says that the connection had served another request before.
	Reused bool
	Cause  error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with %s broke (reused connection: %t): %v", e.Address, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// WithdrawnError says that nothing was sent because the server must not get the request any more.
type WithdrawnError struct{ Address string }

func (e *WithdrawnError) Error() string {
	return "the server at " + e.Address + " has stopped taking requests before this one was sent"
}

// ResponseError says that an answer is not one to the request; the request may have run.
type ResponseError struct{ Problem string }

func (e *ResponseError) Error() string { return "answer of the backend server: " + e.Problem }
