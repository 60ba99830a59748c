package replicaserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
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
	// plainServiceTime is the service time of a plain request.
	plainServiceTime = 5 * time.Millisecond
	// slots is the number of concurrent requests of a replica. Further ones are refused.
	slots = 8
	// heartbeatInterval is the maximum time between two writes of a replica's entry. Register writes every half interval.
	// entryTTL is the time for which the entry of a replica that is down stays in the store.
	heartbeatInterval = 400 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
)

// Run is one execution of a request.
type Run struct {
	Attempt  string `json:"attempt"`
	Replica  string `json:"replica"`
	Customer string `json:"customer"`
	Service  string `json:"service"`
	// KeyForwarded means that the replica received the caller's key.
	KeyForwarded bool `json:"key_passed"`
	// DrainingMs is the time in milliseconds since the replica began to report that it is draining, 0 if it is not.
	DrainingMs int64 `json:"draining_ms"`
	// At is the Unix time of the run in milliseconds.
	At int64 `json:"at"`
}

// RunLog records the runs and the arrivals of all replicas. It is safe for concurrent use.
type RunLog struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
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

// Store is the store in which replicas register.
type Store interface {
	// Write sets a key, or deletes it if the value is nil.
	Write(key string, value []byte)
}

// Replica is one replica.
type Replica struct {
	id, address, domain, service string
	log                          *RunLog
	// group is the group of a model replica and rank its index there. group is nil for a replica of the plain service.
	group *Group
	rank  int

	mu            sync.Mutex
	faults        Faults
	drainingSince time.Time
	running       int
	// crashed is set while the replica accepts no connections after a crash.
	crashed bool
	// startedAt is the time of the last start or restart, seq the number of writes of the store entry since then.
	startedAt time.Time
	seq       int64
	// coldUntil is the end of the time in which the replica is cold, recent the times of its requests in the last second.
	coldUntil time.Time
	recent    []time.Time
}

// NewReplica returns a replica that registers with an address. The group is nil for a replica of the plain service.
func NewReplica(id, address, domain string, group *Group, rank int, log *RunLog) *Replica {
	service := PlainService
	if group != nil {
		service = ModelService
	}
	r := &Replica{
		id: id, address: address, domain: domain, service: service, log: log, group: group, rank: rank, startedAt: time.Now(),
	}
	if group != nil {
		group.setRankFaults(rank, Faults{}, r.startedAt)
	}
	return r
}

// Faults returns the injected faults.
func (r *Replica) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// SetFaults replaces the injected faults. The end of Down, Draining or Leaving restarts the replica.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	before := r.faults
	if f.Draining && !before.Draining {
		r.drainingSince = time.Now()
	}
	if (before.Draining && !f.Draining) || (before.Down && !f.Down) || (before.Leaving && !f.Leaving) {
		r.startedAt, r.seq = time.Now(), 0
	}
	if f.Cold != before.Cold {
		r.coldUntil = time.Now().Add(time.Duration(f.Cold.Ms) * time.Millisecond)
	}
	r.faults = f
	startedAt := r.startedAt
	r.mu.Unlock()
	if r.group != nil {
		r.group.setRankFaults(r.rank, f, startedAt)
	}
}

// crash ends the replica, as if its process had ended, and starts it again after crashTime.
func (r *Replica) crash() {
	f := r.Faults()
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	r.mu.Unlock()
	r.group.countCrash()
	down := f
	down.Down = true
	r.SetFaults(down)
	time.AfterFunc(crashTime, func() {
		r.SetFaults(f)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.crashed = false
	})
}

// RefusesConnections reports whether the replica accepts no connections because it has crashed.
func (r *Replica) RefusesConnections() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// Register keeps the replica's store entry up to date until the context ends. It deletes the entry of a replica that
// has been down for entryTTL.
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

// entry returns the replica's store entry, or nil while the replica is down.
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
		"State": state, "WarmupLeftMs": r.coldLeft(time.Now()).Milliseconds(), "Seq": r.seq, "born": r.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // Cannot happen: the entry holds only numbers and names.
	}
	return entry
}

// handler is the HTTP handler of a replica.
type handler struct {
	http.Handler
	*Replica
}

// Handler serves the replica, and GET and PUT /standin/faults. The handler has a method RefusesConnections. Callers on
// the replica's own instance get current reports, other callers get reports that are reportLag old.
func (r *Replica) Handler(sameInstance bool) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/standin/faults", faultapi.Handler(r.Faults, r.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	m.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, sameInstance) })
	return handler{Handler: m, Replica: r}
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request, sameInstance bool) {
	f := r.Faults()
	if f.Down {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	if f.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if f.Limit != "" {
		w.Header().Set(LimitHeader, f.Limit)
	}
	switch {
	case req.URL.Path == "/health":
		w.Header().Set("X-Replica-Id", r.id)
	case r.group != nil && req.URL.Path == "/report":
		r.group.serveReport(w, r.rank, sameInstance)
	case r.group != nil && req.URL.Path == "/picked":
		r.group.serveExpertCounts(w, r.rank, req.URL.Query().Has("Lists"))
	case r.group != nil && req.URL.Path == "/order":
		r.group.serveOrder(w, req, r.rank)
	default:
		r.serveRequest(w, req)
	}
}

// refuse responds with a status and marks the request as not executed.
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
	r.recordArrival(attempt, w.Header().Get(LimitHeader), time.Now())
	r.observeRequest(time.Now())
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
	if f.StatusLine != "" {
		writeStatusLine(w, f.StatusLine)
		return
	}
	if r.group != nil {
		r.stream(w, req, string(body), f)
		return
	}
	time.Sleep(plainServiceTime)
	if r.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	// Writes fail only if the client has disconnected.
	_, _ = io.WriteString(w, PlainResponse(attempt))
	_, _ = io.CopyN(w, zeros{}, f.PaddingBytes)
}

// openAfterStatusLine is how long a connection stays open after the fault StatusLine if its client does not close it.
const openAfterStatusLine = 10 * time.Second

// writeStatusLine sends a short response with a status that net/http may not be able to send, and waits until the client
// closes the connection.
func writeStatusLine(w http.ResponseWriter, line string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	header := w.Header()
	header.Set("Content-Length", "3")
	_ = conn.SetDeadline(time.Now().Add(openAfterStatusLine))
	// Writes and the read fail only if the client has disconnected, or at the deadline.
	_, _ = io.WriteString(conn, "HTTP/1.1 "+line+"\r\n")
	_ = header.Write(conn)
	_, _ = io.WriteString(conn, "\r\nbad")
	_, _ = conn.Read(make([]byte, 1))
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// PlainResponse returns the response body of a plain request.
func PlainResponse(attempt string) string { return "done " + attempt + "\n" }

// admit reserves a slot for a request and returns the current faults. It returns false if the request is refused.
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

// consumeLostResponse reports whether the fault LoseResponses applies to a request, and decrements it.
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

// setRankFaults sets the faults and the start time of rank i.
func (g *Group) setRankFaults(i int, f Faults, startedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].faults, g.ranks[i].startedAt = f, startedAt
}

func (g *Group) addRunning(i, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].running += n
}
