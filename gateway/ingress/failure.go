package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Failure is an answer of the gateway's own.
type Failure struct {
	Status int
	// Reason is a word for logs, metrics and the body.
	Reason string
	Detail string
	// RetryAfter tells the caller when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// Reasons of failures.
const (
	reasonNoCatalog       = "no_configuration"
	reasonNoRoute         = "no_route"
	reasonUnknownKey      = "unknown_key"
	reasonBody            = "body"
	reasonBodyTooLarge    = "body_too_large"
	reasonOverloaded      = "overloaded"
	reasonNoServer        = "no_server"
	reasonNoGroup         = "no_group"
	reasonServersRefusing = "servers_refusing"
	reasonRefusedByServer = "refused_by_server"
	reasonDeadlinePassed  = "deadline_passed"
	reasonTimeout         = "timeout"
	reasonBackendFailed   = "backend_failed"
	reasonCallerLeft      = "caller_left"
	reasonStopping        = "stopping"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Executed says whether the request may have run: "no" or "unknown".
	Executed string `json:"executed"`
}

// promisesNotRun says that a status promises that the request has not run and never will.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return status < http.StatusInternalServerError
}

func (f *Failure) write(w http.ResponseWriter) {
	executed := "unknown"
	if impliesNotExecuted(f.Status) {
		executed = "no"
	}
	// A struct of strings always encodes.
	body, _ := json.Marshal(errorBody{errorDetail{Type: f.Reason, Message: f.Detail, Executed: executed}})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(f.Status)
	// A caller that has left gets nothing.
	_, _ = w.Write(body)
}
