package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the services.
const (
	ModelService = "lumme-malli"
	PlainService = "varaus"
)

// Figures of the plain service.
const (
	plainSlots = 6
	plainQueue = 24
	plainWork  = 30 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
)

// Replica is one replica of a service.
type Replica struct {
	ID, Address, Zone string
	// group is nil for a replica of the plain service.
	group *Group
	rank  int
	rec   *Record
	born  time.Time

	slots chan struct{}
	mu    sync.Mutex
	busy  int
	runs  map[string]int
	seq   int64
	// Work replaces the time that a plain request takes, if it is set.
	Work time.Duration
	// EventStep is the difference between the ids of two events of a stream, 1 if it is 0.
	EventStep int
}

// NewReplica returns a replica. The group is nil for one of the plain service.
func NewReplica(id, address, zone string, g *Group, rank int, rec *Record) *Replica {
	return &Replica{
		ID: id, Address: address, Zone: zone, group: g, rank: rank, rec: rec, born: time.Now(), runs: map[string]int{},
		slots: make(chan struct{}, plainSlots),
	}
}

func (r *Replica) service() string {
	if r.group != nil {
		return ModelService
	}
	return PlainService
}

// Register keeps the replica's entry in the store until the stop channel is closed.
func (r *Replica) Register(s *Store, stop <-chan struct{}) {
	for {
		r.mu.Lock()
		r.seq++
		slots := plainSlots
		if r.group != nil {
			slots = Slots
		}
		raw, _ := json.Marshal(map[string]any{
			"Service": r.service(), "Address": r.Address, "Zone": r.Zone, "Version": "v1", "Slots": slots, "State": "ready",
			"WarmupLeftMs": 0, "Seq": r.seq, "born": r.born.UnixMilli(),
		})
		r.mu.Unlock()
		s.Write("servers/"+r.ID, raw)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// Runs returns how often each request ran here.
func (r *Replica) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runs))
	for id, n := range r.runs {
		out[id] = n
	}
	return out
}

// Handler serves the replica. own is set for the listener of the replica's own machine, whose reports are fresh.
func (r *Replica) Handler(own bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path == "/health":
			w.Header().Set("X-Replica-Id", r.ID)
		case r.group != nil && req.URL.Path == "/report":
			r.group.serveReport(w, r.rank, own)
		case r.group != nil && req.URL.Path == "/picked":
			r.group.servePicked(w, r.rank, req.URL.Query().Has("Lists"))
		case r.group != nil && req.URL.Path == "/order":
			r.group.serveOrder(w, req, r.rank)
		default:
			r.serveRequest(w, req)
		}
	})
}

func (r *Replica) refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("At-Server", r.ID)
	r.rec.Add("replica %s: request %s not run: %d", r.ID, id, status)
	w.WriteHeader(status)
}

func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	expected := req.Header.Get("X-Expect-Instance")
	switch {
	case id == "":
		r.refuse(w, id, http.StatusBadRequest)
		return
	case expected != "" && expected != r.ID:
		r.refuse(w, id, http.StatusMisdirectedRequest)
		return
	case !r.enter():
		r.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if r.group != nil {
		r.stream(w, req, id, string(body))
		return
	}
	r.plain(w, req, id)
}

// enter reserves a place in the queue.
func (r *Replica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := plainSlots + plainQueue
	if r.group != nil {
		limit = Slots
	}
	if r.busy >= limit {
		return false
	}
	r.busy++
	return true
}

func (r *Replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

func (r *Replica) addRun(id string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.rec.Add("replica %s: request %s runs", r.ID, id)
}

func (r *Replica) plain(w http.ResponseWriter, req *http.Request, id string) {
	deadline, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		r.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.addRun(id)
	work := plainWork
	if r.Work > 0 {
		work = r.Work
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("X-Replica-Seal", "seal."+r.ID+"."+id)
	fmt.Fprintf(w, "done %s %s\n", id, strings.Repeat("x", 780))
}

// Event returns event n, from 1, of the stream for a prompt. step is the difference between two ids.
func Event(prompt string, n, step int) string {
	return fmt.Sprintf("id: %d\ndata: %d of %.40s\n\n", n*step, n, prompt)
}

// Stream returns all events of the stream with the given number of tokens.
func Stream(prompt string, tokens, step int) string {
	var b strings.Builder
	for n := 1; n <= tokens/TokensPerEvent; n++ {
		b.WriteString(Event(prompt, n, step))
	}
	return b.String()
}

// TokensPerEvent is the number of tokens in an event of a stream.
const TokensPerEvent = 4

// stream sends one event a pass, from the one after Last-Event-Id to the end given by X-Token-Usage.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, id, prompt string) {
	_, output, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	step := max(r.EventStep, 1)
	first := last / step
	r.group.addRunning(r.rank, 1)
	defer r.group.addRunning(r.rank, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Replica-Seal", "seal."+r.ID+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	out := http.NewResponseController(w)
	for n := first + 1; n <= tokens/TokensPerEvent; n++ {
		select {
		case <-r.group.nextPass():
		case <-req.Context().Done():
			return
		}
		if n == first+1 {
			r.addRun(id)
		}
		r.group.countEvent(r.rank, prompt, n)
		if _, err := io.WriteString(w, Event(prompt, n, step)); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
	r.rec.Add("replica %s: request %s is done", r.ID, id)
}
