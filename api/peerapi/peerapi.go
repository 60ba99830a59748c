// Package peerapi defines the JSON messages between the system's own processes. They are sent over HTTP/1.1.
// A request that runs work carries its request ID, and every frame of the answer repeats it, so that a late
// or crossed answer is recognised.
package peerapi

import (
	"encoding/json"
	"net/http"

	"lavendermoor.example/api/callerapi"
)

// Paths served by side processes; PathConfig is served by entries too.
const (
	PathGenerate = "/peer/v1/generate"
	PathCall     = "/peer/v1/call"
	PathToken    = "/peer/v1/token"
	PathOutcome  = "/peer/v1/outcome"
	PathClaim    = "/peer/v1/claim"
	PathRecords  = "/peer/v1/records"
	PathLoad     = "/peer/v1/load"
	PathConfig   = "/peer/v1/config"
	// PathHandover receives the token outcomes of a draining side process.
	PathHandover = "/peer/v1/handover"
	// PathStatus reports a ProcessStatus.
	PathStatus = "/peer/v1/status"
)

// HeaderLoad carries a Load as JSON on every answer of a side process.
const HeaderLoad = "Lavendermoor-Load"

// Work is what admission needs to know of a request.
type Work struct {
	// ID is the request ID, unique among all requests.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Weight is the customer's weight, at least 1.
	Weight int    `json:"weight"`
	Kind   string `json:"kind"`
	// Priority is 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Value of the request when answered in time.
	Value float64 `json:"value"`
	// DeadlineMs is the time left when the message was sent, in milliseconds. Relative time is used so that
	// the clocks of two instances need not agree.
	DeadlineMs int64 `json:"deadline_ms"`
	// Idempotent says that the request may be run more than once.
	Idempotent bool `json:"idempotent"`
	// Revision is the configuration revision that the sender has in force.
	Revision int64 `json:"revision"`
	// Server is the backend server that the sender means; another one refuses the request as not run.
	Server string `json:"server"`
}

// GenerateRequest asks a side process for a generation. The answer is a stream of Frame lines.
type GenerateRequest struct {
	Work
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Path is the caller's path, "/v1/chat/completions" or "/v1/completions".
	Path string `json:"path"`
	// Body is the caller's JSON body.
	Body json.RawMessage `json:"body"`
	// MaxTokens is the caller's limit, or 0.
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of the prompt.
	PromptBytes int `json:"prompt_bytes"`
	// Prompt is the part of the body that a prefix cache can share; it is used by the entry only.
	Prompt []byte `json:"-"`
	// ResumeFrom is the sequence number of the first frame wanted; 0 starts the generation.
	ResumeFrom int64 `json:"resume_from,omitempty"`
	// Generated is the text of the answer before ResumeFrom, a JSON string, for an engine that did not generate
	// it. It is sent only where LoadReport.SupportsContinuation was reported.
	Generated json.RawMessage `json:"generated,omitempty"`
}

// CallRequest asks a side process to run a call of a plain service. The answer is a stream of Frame lines,
// of which one carries a CallResult.
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

// CallResult is the answer of a plain service.
type CallResult struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed says that the answer is the kept outcome of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
	// Truncated says that the body of a kept outcome was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// Frame is one line of an answer. At most one of Data, Result and Error is set; a frame with none of
// them and without End is a keep-alive and does not count in the sequence.
type Frame struct {
	ID string `json:"id"`
	// Seq counts frames that carry Data from 0 without gaps.
	Seq int64 `json:"seq"`
	// Data is one JSON event of a generation, as the engine sent it.
	Data json.RawMessage `json:"data,omitempty"`
	// Result is the answer of a call.
	Result *CallResult `json:"result,omitempty"`
	// Error ends the answer.
	Error *FrameError `json:"error,omitempty"`
	// End marks the complete end of a stream; Seq is then the number of data frames.
	End bool `json:"end,omitempty"`
}

// FrameError is an error of a side process.
type FrameError struct {
	Type     callerapi.ErrorType `json:"type"`
	Message  string              `json:"message"`
	Executed callerapi.Executed  `json:"executed"`
	// RetryAfterMs is in milliseconds; 0 when a repeat would fail again.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// LoadReport is a side process's report of itself.
type LoadReport struct {
	Server string `json:"server"`
	// Incarnation increases with every start of the side process.
	Incarnation int64 `json:"incarnation"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// Limit is the learned concurrency limit.
	Limit int `json:"limit"`
	// WaitMs is the predicted wait of a new short request, in milliseconds.
	WaitMs   int64 `json:"wait_ms"`
	Draining bool  `json:"draining,omitempty"`
	// Slow says that the group has a rank that stays slow.
	Slow bool `json:"slow,omitempty"`
	// SupportsContinuation says that the engine continues an answer that another engine began, from its text.
	SupportsContinuation bool `json:"continues,omitempty"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision"`
}

// TokenRequest asks for a token.
type TokenRequest struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

// TokenResponse returns a token.
type TokenResponse struct {
	Token string `json:"token"`
}

// OutcomeRequest asks what became of a request without token or key.
type OutcomeRequest struct {
	ID string `json:"id"`
	// Incarnation is the one that the sender knew before it sent the call, or 0. Only that one can say that a call
	// that it has not seen has not run.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// OutcomeResponse answers an OutcomeRequest. Running means that the call has not ended; the answer may be
// asked for again.
type OutcomeResponse struct {
	Executed callerapi.Executed `json:"executed"`
	Running  bool               `json:"running,omitempty"`
	Result   *CallResult        `json:"result,omitempty"`
}

// Status is what a process reports of itself to operators.
type Status struct {
	Name    string `json:"name"`
	Program string `json:"program"`
	// Revision is the configuration revision in force.
	Revision int64  `json:"revision"`
	Refused  string `json:"refused,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}
