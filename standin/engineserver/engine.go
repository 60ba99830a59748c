// Package engineserver is a stand-in for a model engine: an OpenAI-style HTTP API with continuous batching in a fixed
// number of slots and resumable streams. Its output is a function of the prompt, so that a test can detect wrong,
// duplicated and truncated responses.
package engineserver

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lavendermoor.example/standin/internal/faultapi"
)

// Options describe the engine. Times are per request; the fault Slowdown multiplies them.
type Options struct {
	Name string
	// Slots is the maximum batch size. Further requests wait in order.
	Slots int
	// PrefillPerKB is the prefill time for 1,024 bytes of prompt.
	PrefillPerKB time.Duration
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// DefaultTokens is the number of tokens in a response to a request without max_tokens.
	DefaultTokens int
	// TokensPerEvent is the number of tokens in one event. Above 1, the ID of an event is the number of tokens up to its
	// end, and a stream continues after the ID in Last-Event-Id; otherwise events have no IDs.
	TokensPerEvent int
}

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Slowdown multiplies all times; 0 and 1 have no effect.
	Slowdown float64 `json:"slowdown"`
	// BreakAfter is the number of tokens after which the engine closes the connection of each stream; 0 means never.
	BreakAfter int `json:"break_after"`
	// Stall makes streams stop sending without closing their connections.
	Stall bool `json:"stall"`
}

// Counts are the engine's counters since the start.
type Counts struct {
	Started  int64 `json:"started"`
	Finished int64 `json:"finished"`
	// Canceled counts requests whose client disconnected before the end.
	Canceled int64 `json:"cancelled"`
	Tokens   int64 `json:"tokens"`
	Running  int64 `json:"running"`
}

// Server is the stand-in. Use Handler to serve it.
type Server struct {
	opts  Options
	slots chan struct{}

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns an idle engine.
func New(opts Options) *Server {
	return &Server{opts: opts, slots: make(chan struct{}, opts.Slots)}
}

// Handler serves the engine's API, GET and PUT /standin/faults, and GET /standin/counts.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.generate).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.generate).Methods(http.MethodPost)
	r.HandleFunc("/standin/faults", faultapi.Handler(s.Faults, s.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/standin/counts", s.serveCounts).Methods(http.MethodGet)
	return r
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the engine's counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model      string    `json:"model"`
	Messages   []message `json:"messages"`
	Prompt     string    `json:"prompt"`
	MaxTokens  int       `json:"max_tokens"`
	ResumeFrom int       `json:"resume_from"`
}

// text returns the whole prompt, including the messages of a chat.
func (r *request) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Role + ": " + m.Content + "\n"
	}
	return text
}

var words = []string{"water", "shed", "light", "bloom", "harvest", "porch", "letter", "haul", "permit", "note", "lake", "status"}

// Token returns token i of the response to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d", prompt, i)
	return words[h.Sum64()%uint64(len(words))] + " "
}

// ChatPrompt returns the prompt of a chat with one user message, for use with Token.
func ChatPrompt(content string) string {
	r := request{Messages: []message{{Role: "user", Content: content}}}
	return r.text()
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var in request
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if in.MaxTokens <= 0 {
		in.MaxTokens = s.opts.DefaultTokens
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.count(func(c *Counts) { c.Started++; c.Running++ })
	defer s.count(func(c *Counts) { c.Running-- })
	if s.stream(w, r, &in) {
		s.count(func(c *Counts) { c.Finished++ })
	} else {
		s.count(func(c *Counts) { c.Canceled++ })
	}
}

func (s *Server) count(fn func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.counts)
}

// wait waits for d times Slowdown, or forever with the fault Stall. It returns false if the client disconnects.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Slowdown > 0 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	var fired <-chan time.Time
	if !f.Stall {
		fired = timer.C
	}
	select {
	case <-fired:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream streams the tokens from index ResumeFrom up to but not including MaxTokens. It returns false if the client
// disconnects.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, in *request) bool {
	text := in.text()
	if !s.wait(r, time.Duration(len(text))*s.opts.PrefillPerKB/1024) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	chat := r.URL.Path == "/v1/chat/completions"
	first, step := s.startOf(r, in), max(s.opts.TokensPerEvent, 1)
	for i := first; i < in.MaxTokens; i += step {
		end := min(i+step, in.MaxTokens)
		if !s.wait(r, time.Duration(end-i)*s.opts.TokenTime) {
			return false
		}
		s.breakStream(i - first)
		tokens := ""
		for n := i; n < end; n++ {
			tokens += Token(text, n)
		}
		if !writeEvent(w, out, s.eventID(end), event(in.Model, chat, tokens, end == in.MaxTokens)) {
			return false
		}
		s.count(func(c *Counts) { c.Tokens += int64(end - i) })
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	return true
}

// breakStream closes the connection if the fault BreakAfter is set and that many tokens have been sent.
func (s *Server) breakStream(sent int) {
	s.mu.Lock()
	n := s.faults.BreakAfter
	s.mu.Unlock()
	if n > 0 && sent >= n {
		panic(http.ErrAbortHandler) // Closes the connection.
	}
}

// startOf returns the index of the first token of a response.
func (s *Server) startOf(r *http.Request, in *request) int {
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil && s.opts.TokensPerEvent > 1 {
		return after
	}
	return in.ResumeFrom
}

// eventID returns the line with the ID of an event that ends before the token with the given index.
func (s *Server) eventID(end int) string {
	if s.opts.TokensPerEvent <= 1 {
		return ""
	}
	return "id: " + strconv.Itoa(end) + "\n"
}

func writeEvent(w http.ResponseWriter, out *http.ResponseController, id string, v any) bool {
	line, err := json.Marshal(v)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "%sdata: %s\n\n", id, line); err != nil {
		return false
	}
	return out.Flush() == nil
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func event(model string, chat bool, token string, last bool) chunk {
	c := choice{}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: token}
	} else {
		c.Text = &token
	}
	if last {
		reason := "stop"
		c.FinishReason = &reason
	}
	return chunk{ID: "standin", Object: object, Created: time.Now().Unix(), Model: model, Choices: []choice{c}}
}
