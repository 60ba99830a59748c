package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

// generateBody holds the fields that the entry reads from a caller's body.
type generateBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// generate handles a generation request and relays the response, streamed or complete.
func (s *Server) generate(x *exchange) *callerapi.Error {
	body, e := x.readBody()
	if e != nil {
		return e
	}
	req, stream, e := x.parseGenerateRequest(body)
	if e != nil {
		return e
	}
	ctx, cancel := x.withDeadline(&req.Work)
	defer cancel()
	var assembled assembler
	defer func() { x.chargeTokens(x.tokens + assembled.tokens) }()
	if stream {
		e = s.opts.Upstream.Generate(ctx, req, x.relayEvent)
		if e == nil {
			e = x.finishStream()
		}
		return e
	}
	if e := s.opts.Upstream.Generate(ctx, req, assembled.add); e != nil {
		return e
	}
	x.writeJSON(assembled.response(x.id, req.Model, time.Now()))
	return nil
}

// parseGenerateRequest validates a caller's body and returns the request for a sidecar.
func (x *exchange) parseGenerateRequest(body []byte) (req *peerapi.GenerateRequest, stream bool, e *callerapi.Error) {
	var in generateBody
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, false, callerapi.NotExecuted(callerapi.InvalidRequest, "body is not valid JSON for this call: %v", err)
	}
	model, adapter, _ := strings.Cut(in.Model, ":")
	if e := x.checkModel(model, adapter); e != nil {
		return nil, false, e
	}
	if in.MaxTokens < 0 {
		return nil, false, callerapi.NotExecuted(callerapi.InvalidRequest, "max_tokens is negative")
	}
	work, e := x.classify(cluster.Call{Model: model, Method: x.r.Method, Path: x.r.URL.Path})
	if e != nil {
		return nil, false, e
	}
	return &peerapi.GenerateRequest{
		Work: work, Model: model, Adapter: adapter, Path: x.r.URL.Path, Body: body, MaxTokens: in.MaxTokens,
		PromptBytes: len(in.Messages) + len(in.Prompt), Prompt: cacheablePrompt(&in),
	}, in.Stream, nil
}

// cacheablePrompt returns the part of the body that a prefix cache can share between requests.
func cacheablePrompt(in *generateBody) []byte {
	if len(in.Messages) > 0 {
		return in.Messages
	}
	return in.Prompt
}

func (x *exchange) checkModel(model, adapter string) *callerapi.Error {
	m := x.state.Model(model)
	if m == nil {
		return callerapi.NotExecuted(callerapi.UnknownModel, "model %q does not exist", model)
	}
	if adapter == "" {
		return nil
	}
	for _, a := range m.GetAdapters() {
		if a == adapter {
			return nil
		}
	}
	return callerapi.NotExecuted(callerapi.UnknownModel, "model %q has no adapter %q", model, adapter)
}

// Parts of the event stream, in the format of server-sent events.
var (
	eventDataPrefix  = []byte("data: ")
	eventTerminator  = []byte("\n\n")
	doneEvent        = []byte("data: [DONE]\n\n")
	errorEventPrefix = []byte("event: error\ndata: ")
)

// relayEvent relays one event of a stream to the caller. An error means that the caller has disconnected.
func (x *exchange) relayEvent(data json.RawMessage) error {
	if !x.streaming {
		x.streaming = true
		x.server.opts.Metrics.recordFirstToken(time.Since(x.startedAt))
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-cache")
		x.w.WriteHeader(http.StatusOK)
	}
	x.tokens++
	return x.write(eventDataPrefix, data, eventTerminator)
}

func (x *exchange) write(parts ...[]byte) error {
	for _, p := range parts {
		if _, err := x.w.Write(p); err != nil {
			return err
		}
	}
	return http.NewResponseController(x.w).Flush()
}

// finishStream writes the final [DONE] event of a complete stream.
func (x *exchange) finishStream() *callerapi.Error {
	if !x.streaming {
		return callerapi.MaybeExecuted(callerapi.BackendFailed, "the answer has no events")
	}
	_ = x.write(doneEvent) // A failed write means that the caller has disconnected.
	return nil
}

// writeErrorEvent ends an incomplete stream with an error event; no [DONE] follows.
func (x *exchange) writeErrorEvent(e *callerapi.Error) {
	c := *e
	c.RequestID = x.id
	body, err := json.Marshal(callerapi.ErrorBody{Error: &c})
	if err == nil {
		_ = x.write(errorEventPrefix, body, eventTerminator) // A failed write means that the caller has disconnected.
	}
}

// writeJSON writes a complete JSON response.
func (x *exchange) writeJSON(v any) {
	x.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.w).Encode(v) // A failed write means that the caller has disconnected.
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models handles a request for the list of models and their adapters.
func (s *Server) models(x *exchange) *callerapi.Error {
	out := modelList{Object: "list", Data: []modelEntry{}}
	add := func(id string) {
		out.Data = append(out.Data, modelEntry{ID: id, Object: "model", OwnedBy: "lavendermoor"})
	}
	for _, name := range x.state.ModelNames() {
		add(name)
		for _, a := range x.state.Model(name).GetAdapters() {
			add(name + ":" + a)
		}
	}
	x.writeJSON(out)
	return nil
}
