// Package exchange sends requests to backend servers over pooled HTTP/1.1 connections, one at a time on each, and reads
// the responses. It never retries a request.
package exchange

import (
	"fmt"
	"net/http"
	"time"
)

// Metadata is what a caller states in the header of its request.
type Metadata struct {
	// ID identifies the request. The response repeats it.
	ID string
	// Key authenticates the customer.
	Key string
	// Timeout is how long the caller waits, counted from when it sent the request.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens and MaxTokens are the size of a generation, 0 if unknown.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the output tokens, 0 without one.
	LengthHint int
	// SharedParts are the IDs of the parts of the prompt that other requests may hold too, in order.
	SharedParts []string
	// LastEventID is the ID of the event after which a stream continues.
	LastEventID string
	// ExpectedServer is the server to which the request is addressed, empty if there is none. Gateways address requests in this
	// way.
	ExpectedServer string
}

// Attempt holds the values that a server receives with one attempt to forward a request.
type Attempt struct {
	// Server is the only server that may run the request.
	Server   string
	Customer string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Priority is 0 for the most urgent, nil for the default.
	Priority    *int
	LastEventID string
}

// ResponseInfo is what a server states in the header of its response.
type ResponseInfo struct {
	// ID is the ID of the request to which the response belongs.
	ID string
	// Signed is set when the response carries the server's own signature.
	Signed bool
	// NotExecuted is set when the server did not execute the request and never will.
	NotExecuted bool
	// FaultyServer is the server that caused a refusal.
	FaultyServer string
	// RetryAfter is how long the refusing server accepts no further requests from this process, 0 if not stated.
	RetryAfter time.Duration
	// Leaving is set when the server accepts no new requests and shuts down soon.
	Leaving bool
	// Limit is what the response says of the rate limit of the server.
	Limit RateLimit
}

// RateLimit is the rate limit that a response states: how many requests its server accepts from all gateways together.
type RateLimit struct {
	// Stated is set when the response states a limit, Valid when that is a finite number which is not negative.
	Stated, Valid bool
	// PerSecond is the limit in requests a second, 0 if it is not valid.
	PerSecond float64
}

// Dialect translates the headers of the protocol between gateway and servers.
type Dialect interface {
	ParseResponse(status int, h http.Header) ResponseInfo
}

// UnreachableError reports that no connection could be made; nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BrokenError reports that the exchange broke after all or part of the request was sent; the request may have been
// executed.
type BrokenError struct {
	Address string
	// Reused is set when the connection had already served another request.
	Reused bool
	Cause  error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with %s broke (reused connection: %t): %v", e.Address, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// WithdrawnError reports that nothing was sent because the server no longer accepted requests.
type WithdrawnError struct{ Address string }

func (e *WithdrawnError) Error() string {
	return "the server at " + e.Address + " has stopped taking requests before this one was sent"
}

// InvalidResponseError reports a response that is invalid or belongs to another request; the request may have been
// executed.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "answer of the backend server: " + e.Problem }
