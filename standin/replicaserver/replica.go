package replicaserver

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lavendermoor.example/standin/internal/faultapi"
)

// Names of the services.
const (
	ModelService = "model"
	PlainService = "booking"
)

const (
	// plainServiceTime is how long a plain request runs.
	plainServiceTime = 5 * time.Millisecond
	// slots of a replica; a model replica refuses further requests, a plain one too.
	slots = 8
	// heartbeatInterval is how often a replica writes its entry, and lifetime how long the entry stays without.
	heartbeatInterval = 400 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
)

// Run is one execution of a request.
type Run struct {
	Attempt  string `json:"attempt"`
	Replica  string `json:"replica"`
	Customer string `json:"customer"`
	Service  string `json:"service"`
	// KeyForwarded says that the caller's key reached the replica.
	KeyForwarded bool `json:"key_passed"`
	// DrainingMs is for how long the replica had said that it drains, in milliseconds.
	DrainingMs int64 `json:"draining_ms"`
	// At is the Unix time of the run in milliseconds.
	At int64 `json:"at"`
}

// RunLog notes the runs of all replicas. Its methods may be called from any goroutine.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

func (l *RunLog) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Runs returns all runs so far.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}

// Store is where replicas register.
type Store interface {
	// Write sets a key, or deletes it when the value is nil.
	Write(key string, value []byte)
}

// Replica is one replica.
type Replica struct {
	id, address, domain, service string
	log                          *RunLog
	// group and rank are those of a model replica; group is nil for a plain one.
	group *Group
	rank  int

	mu            sync.Mutex
	faults        Faults
	drainingSince time.Time
	running       int
	// startedAt is when the replica has started, seq counts the writes of its entry since.
	startedAt time.Time
	seq       int64
}

// NewReplica returns a replica that is registered with an address. The group is nil for a plain one.
func NewReplica(id, address, domain string, group *Group, rank int, log *RunLog) *Replica {
	service := PlainService
	if group != nil {
		service = ModelService
	}
	r := &Replica{
		id: id, address: address, domain: domain, service: service, log: log, group: group, rank: rank, startedAt: time.Now(),
	}
	if group != nil {
		group.setRank(rank, Faults{}, r.startedAt)
	}
	return r
}

// Faults returns the faults in force.
func (r *Replica) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	before := r.faults
	if f.Draining && !before.Draining {
		r.drainingSince = time.Now()
	}
	if (before.Draining && !f.Draining) || (before.Down && !f.Down) || (before.Leaving && !f.Leaving) {
		r.startedAt, r.seq = time.Now(), 0
	}
	r.faults = f
	born := r.startedAt
	r.mu.Unlock()
	if r.group != nil {
		r.group.setRank(r.rank, f, born)
	}
}

// Register keeps the replica's entry in the store until the context ends.
func (r *Replica) Register(ctx context.Context, store Store) {
	var written time.Time
	for ctx.Err() == nil {
		if entry := r.entry(); entry != nil {
			store.Write("servers/"+r.id, entry)
			written = time.Now()
		} else if !written.IsZero() && time.Since(written) > entryTTL {
			store.Write("servers/"+r.id, nil)
			written = time.Time{}
		}
		time.Sleep(heartbeatInterval / 2)
	}
}

// entry returns the replica's entry for the store, nil while it is down.
func (r *Replica) entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down {
		return nil
	}
	state := "ready"
	if r.faults.Draining {
		state = "draining"
	}
	r.seq++
	entry, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.domain, "Version": "v1", "Slots": slots,
		"State": state, "WarmupLeftMs": 0, "Seq": r.seq, "born": r.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // The entry holds numbers and names only.
	}
	return entry
}

// Handler returns the routes of the replica, and GET and PUT /standin/faults. Reports are fresh for callers that are near,
// on the replica's own instance.
func (r *Replica) Handler(near bool) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/standin/faults", faultapi.Handler(r.Faults, r.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	m.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, near) })
	return m
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request, near bool) {
	f := r.Faults()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if f.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case req.URL.Path == "/health":
		w.Header().Set("X-Replica-Id", r.id)
	case r.group != nil && req.URL.Path == "/report":
		r.group.serveReport(w, r.rank, near)
	case r.group != nil && req.URL.Path == "/picked":
		r.group.serveExpertCounts(w, r.rank, req.URL.Query().Has("Lists"))
	case r.group != nil && req.URL.Path == "/order":
		r.group.serveOrder(w, req, r.rank)
	default:
		r.serveRequest(w, req)
	}
}

// refuse answers that a request has not run.
func (r *Replica) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("At-Server", r.id)
	w.WriteHeader(status)
}

func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case attempt == "":
		r.refuse(w, http.StatusBadRequest)
		return
	case expected != "" && expected != r.id:
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	f, admitted := r.admit()
	if wait := f.RetryAfterMs; wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(wait)/1000, 'f', 3, 64))
	}
	if !admitted {
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	r.recordRun(req, attempt, f)
	w.Header().Set("X-Replica-Seal", r.id)
	if r.group != nil {
		r.stream(w, req, string(body), f)
		return
	}
	time.Sleep(plainServiceTime)
	if r.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, PlainResponse(attempt)) // A failed write means that the caller has gone.
}

// PlainResponse is the body of the answer to a plain request.
func PlainResponse(attempt string) string { return "done " + attempt + "\n" }

func (r *Replica) admit() (Faults, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= slots || r.faults.RetryAfterMs > 0 {
		return r.faults, false
	}
	r.running++
	return r.faults, true
}

func (r *Replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Replica) consumeLostResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.LoseResponses == 0 {
		return false
	}
	r.faults.LoseResponses--
	return true
}

func (r *Replica) recordRun(req *http.Request, attempt string, f Faults) {
	run := Run{
		Attempt: attempt, Replica: r.id, Service: r.service, Customer: req.Header.Get("X-Tenant"),
		KeyForwarded: req.Header.Get("Authorization") != "", At: time.Now().UnixMilli(),
	}
	if f.Draining {
		r.mu.Lock()
		run.DrainingMs = time.Since(r.drainingSince).Milliseconds()
		r.mu.Unlock()
	}
	r.log.add(run)
}

// Event is the text of one event of the answer to a prompt.
func Event(prompt string, n int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, prompt, "/", n) // A hash takes every write.
	return fmt.Sprintf("id: %d\ndata: %x\n\n", n, h.Sum64())
}

// stream writes one event with each pass, from the one after Last-Event-Id to the number in X-Token-Usage.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, prompt string, f Faults) {
	_, most, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	events, err := strconv.Atoi(most)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // None is 0: the stream begins with event 1.
	r.group.addRunning(r.rank, 1)
	defer r.group.addRunning(r.rank, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		if !r.group.waitForPass(req.Context()) {
			panic(http.ErrAbortHandler)
		}
		r.group.countExperts(r.rank, prompt)
		text := Event(prompt, n)
		if f.BreakAfter > 0 && n-first > f.BreakAfter {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}

// setRank takes the faults of a replica and when it has started.
func (g *Group) setRank(i int, f Faults, born time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].faults, g.ranks[i].startedAt = f, born
}

func (g *Group) addRunning(i, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].running += n
}
