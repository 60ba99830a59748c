// Package peerapi defines the JSON messages that the processes of the system exchange over HTTP/1.1. A request that
// runs work carries a request ID, which every frame of the response repeats. The ID lets the sender detect a late
// response or one to another request.
package peerapi

import (
	"encoding/json"
	"net/http"

	"lavendermoor.example/api/callerapi"
)

// Paths served by sidecars. Entries also serve PathConfig and PathStatus.
const (
	PathGenerate = "/peer/v1/generate"
	PathCall     = "/peer/v1/call"
	PathToken    = "/peer/v1/token"
	PathOutcome  = "/peer/v1/outcome"
	PathClaim    = "/peer/v1/claim"
	PathRecords  = "/peer/v1/records"
	PathLoad     = "/peer/v1/load"
	PathConfig   = "/peer/v1/config"
	// PathHandover receives the token outcomes of a draining sidecar.
	PathHandover = "/peer/v1/handover"
	// PathStatus returns a Status.
	PathStatus = "/peer/v1/status"
)

// HeaderLoad carries a LoadReport as JSON in every response of a sidecar.
const HeaderLoad = "Lavendermoor-Load"

// Work holds the attributes of a request that admission uses.
type Work struct {
	// ID is the request ID, unique among all requests.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Weight is the customer's weight, at least 1.
	Weight int    `json:"weight"`
	Kind   string `json:"kind"`
	// Priority is 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Value is the value of a response that arrives before the deadline.
	Value float64 `json:"value"`
	// DeadlineMs is the time until the deadline when the message was sent, in milliseconds. It is relative because the
	// clocks of two instances may differ.
	DeadlineMs int64 `json:"deadline_ms"`
	// Idempotent means that the request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Revision is the active configuration revision of the sender.
	Revision int64 `json:"revision"`
	// Server is the intended backend server. The sidecar of any other server refuses the request as not executed.
	Server string `json:"server"`
}

// GenerateRequest requests a generation from a sidecar. The response is a stream of Frame lines.
type GenerateRequest struct {
	Work
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Path is the caller's path, "/v1/chat/completions" or "/v1/completions".
	Path string `json:"path"`
	// Body is the caller's JSON body.
	Body json.RawMessage `json:"body"`
	// MaxTokens is the caller's limit, or 0.
	MaxTokens   int `json:"max_tokens"`
	PromptBytes int `json:"prompt_bytes"`
	// Prompt is the part of the body that a prefix cache can share; only the entry uses it.
	Prompt []byte `json:"-"`
	// ResumeFrom is the sequence number of the first requested frame; 0 starts the generation.
	ResumeFrom int64 `json:"resume_from,omitempty"`
	// LastEventID is the engine's ID of the event before ResumeFrom, empty if the engine gives none. An event may hold
	// several tokens, so only the engine knows how many there are before ResumeFrom.
	LastEventID string `json:"last_event_id,omitempty"`
	// Generated is the text generated before ResumeFrom, a JSON string, for an engine that did not generate it. It is
	// sent only to a server that reports LoadReport.SupportsContinuation.
	Generated json.RawMessage `json:"generated,omitempty"`
}

// CallRequest requests a call of a plain service from a sidecar. The response is a stream of Frame lines, one of which
// carries a CallResult.
type CallRequest struct {
	Work
	Service string      `json:"service"`
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Token is the caller's token, or empty.
	Token string `json:"token,omitempty"`
	// Key is the caller's idempotency key, or empty.
	Key string `json:"key,omitempty"`
}

// CallResult is the response of a plain service.
type CallResult struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed means that the response is the recorded outcome of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
	// Truncated means that the body was too large to be recorded with the outcome.
	Truncated bool `json:"truncated,omitempty"`
}

// Frame is one line of a response. At most one of Data, Result and Error is set; a frame with none of them and
// without End is a keep-alive and has no sequence number.
type Frame struct {
	ID string `json:"id"`
	// Seq numbers the frames that carry Data, from 0 without gaps.
	Seq int64 `json:"seq"`
	// Data is one JSON event of a generation, as the engine sent it.
	Data json.RawMessage `json:"data,omitempty"`
	// EventID is the engine's ID of the event in Data, empty if the engine gives none.
	EventID string `json:"event_id,omitempty"`
	// Result is the response of a call.
	Result *CallResult `json:"result,omitempty"`
	// Error ends the response.
	Error *FrameError `json:"error,omitempty"`
	// End marks the complete end of a stream; Seq is then the number of data frames.
	End bool `json:"end,omitempty"`
}

// FrameError is an error of a sidecar.
type FrameError struct {
	Type     callerapi.ErrorType `json:"type"`
	Message  string              `json:"message"`
	Executed callerapi.Executed  `json:"executed"`
	// RetryAfterMs is in milliseconds; 0 if a retry would fail again.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// LoadReport is a sidecar's report of its load and state.
type LoadReport struct {
	Server string `json:"server"`
	// Incarnation increases with every start of the sidecar.
	Incarnation int64 `json:"incarnation"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// Limit is the adaptive concurrency limit.
	Limit int `json:"limit"`
	// WaitMs is the predicted queueing time of a new short request, in milliseconds.
	WaitMs   int64 `json:"wait_ms"`
	Draining bool  `json:"draining,omitempty"`
	// Slow means that a rank of the group is persistently slow.
	Slow bool `json:"slow,omitempty"`
	// SupportsContinuation means that the engine can continue a generation from text that another engine generated.
	SupportsContinuation bool `json:"continues,omitempty"`
	// Revision is the active configuration revision.
	Revision int64 `json:"revision"`
}

// TokenRequest requests a token for a call of a service.
type TokenRequest struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

// TokenResponse returns a token.
type TokenResponse struct {
	Token string `json:"token"`
}

// OutcomeRequest requests the outcome of a call that was sent without a token or key.
type OutcomeRequest struct {
	ID string `json:"id"`
	// Incarnation is the highest incarnation that the sidecar had reported to the sender before the call was sent, or 0.
	// Only that incarnation can report a call that it has not received as not executed.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// OutcomeResponse is the response to an OutcomeRequest. Running means that the call has not ended; the request may be
// repeated.
type OutcomeResponse struct {
	Executed callerapi.Executed `json:"executed"`
	Running  bool               `json:"running,omitempty"`
	Result   *CallResult        `json:"result,omitempty"`
}

// Status is the status of a process as shown to operators.
type Status struct {
	Name    string `json:"name"`
	Program string `json:"program"`
	// Revision is the active configuration revision.
	Revision int64 `json:"revision"`
	// Refused describes the last revision that failed validation. It is empty if there is none or a later one has been
	// applied.
	Refused  string `json:"refused,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// Build is nil in the status of a program that does not report it.
	Build *Build `json:"build,omitempty"`
}

// Build describes the code from which a program was built. A field that the program does not know is "unknown".
type Build struct {
	// Version is the release.
	Version string `json:"version"`
	// Revision is the commit, followed by "-modified" if files had been changed since.
	Revision string `json:"revision"`
	// ID is the content hash of the program file.
	ID string `json:"id"`
}
