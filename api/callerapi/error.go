// Package callerapi defines the headers, error types and error body of the callers' HTTP API.
package callerapi

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderToken carries a token issued by a sidecar; see package idempotency.
	HeaderToken = "Lavendermoor-Token"
	// HeaderDeadline carries the time until the caller's deadline, in milliseconds.
	HeaderDeadline   = "Lavendermoor-Deadline-Ms"
	HeaderRequestID  = "X-Request-Id"
	HeaderRetryAfter = "Retry-After"
)

// ErrorType is the class of a failure in the error body.
type ErrorType string

// The error types that callers can receive.
const (
	InvalidRequest   ErrorType = "invalid_request"
	Unauthorized     ErrorType = "unauthorized"
	NotFound         ErrorType = "not_found"
	UnknownModel     ErrorType = "unknown_model"
	UnknownService   ErrorType = "unknown_service"
	MethodNotAllowed ErrorType = "method_not_allowed"
	RequestTimeout   ErrorType = "request_timeout"
	KeyReused        ErrorType = "key_reused"
	BodyTooLarge     ErrorType = "body_too_large"
	HeaderTooLarge   ErrorType = "header_too_large"
	QuotaExceeded    ErrorType = "quota_exceeded"
	Overloaded       ErrorType = "overloaded"
	NoReplica        ErrorType = "no_replica"
	Draining         ErrorType = "draining"
	DeadlineExceeded ErrorType = "deadline_exceeded"
	InvalidToken     ErrorType = "invalid_token"
	OutcomeUnknown   ErrorType = "outcome_unknown"
	BackendFailed    ErrorType = "backend_failed"
	// StreamBroken is sent only as an event within a stream that has already started.
	StreamBroken ErrorType = "stream_broken"
)

var statusOf = map[ErrorType]int{
	InvalidRequest:   http.StatusBadRequest,
	Unauthorized:     http.StatusUnauthorized,
	NotFound:         http.StatusNotFound,
	UnknownModel:     http.StatusNotFound,
	UnknownService:   http.StatusNotFound,
	MethodNotAllowed: http.StatusMethodNotAllowed,
	RequestTimeout:   http.StatusRequestTimeout,
	KeyReused:        http.StatusUnprocessableEntity,
	BodyTooLarge:     http.StatusRequestEntityTooLarge,
	HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	QuotaExceeded:    http.StatusTooManyRequests,
	Overloaded:       http.StatusServiceUnavailable,
	NoReplica:        http.StatusServiceUnavailable,
	Draining:         http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout,
	InvalidToken:     http.StatusBadRequest,
	OutcomeUnknown:   http.StatusConflict,
	BackendFailed:    http.StatusBadGateway,
	StreamBroken:     http.StatusBadGateway,
}

// Status returns the HTTP status of an error type, 500 for an unknown type.
func (t ErrorType) Status() int {
	if s, ok := statusOf[t]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Executed states whether a backend server executed the failed request.
type Executed string

const (
	// ExecutedNo means that the request provably did not run and will not run.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that the request may have run or may still be running.
	ExecutedUnknown Executed = "unknown"
	// ExecutedYes means that the request ran, but its response is not available.
	ExecutedYes Executed = "yes"
)

// Error is a failure as reported to the caller. It is immutable once returned.
type Error struct {
	Type      ErrorType `json:"type"`
	Message   string    `json:"message"`
	Executed  Executed  `json:"executed"`
	RequestID string    `json:"request_id,omitempty"`
	// RetryAfter is the time after which a retry may succeed; 0 if a retry would fail again.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (executed: %s)", e.Type, e.Message, e.Executed)
}

// NotExecuted returns an error for a request that provably did not run.
func NotExecuted(t ErrorType, format string, args ...any) *Error {
	return &Error{Type: t, Message: fmt.Sprintf(format, args...), Executed: ExecutedNo}
}

// MaybeExecuted returns an error for a request that may or may not have run.
func MaybeExecuted(t ErrorType, format string, args ...any) *Error {
	return &Error{Type: t, Message: fmt.Sprintf(format, args...), Executed: ExecutedUnknown}
}

// WithRetryAfter returns a copy of the error with the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// WriteError sends the error as an HTTP response. Headers must not have been sent yet. Retry-After is in whole
// seconds, rounded up.
func WriteError(w http.ResponseWriter, e *Error, requestID string) {
	c := *e
	c.RequestID = requestID
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, requestID)
	if c.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(c.RetryAfter.Seconds()))))
	}
	w.WriteHeader(c.Type.Status())
	// A write fails only if the caller has disconnected, which needs no action.
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: &c})
}
