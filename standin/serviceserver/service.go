// Package serviceserver is a stand-in for a plain service with bookings of sheds, and with lights that accept commands
// and report their status. Several servers can share one Store, as replicas of a service share a database. The Store
// records every run, so that a test can detect a request that ran twice.
package serviceserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Booking is one booked slot.
type Booking struct {
	ID   string `json:"id"`
	Shed string `json:"shed"`
	Slot string `json:"slot"`
	Crew string `json:"crew"`
}

// Light is the state of one light.
type Light struct {
	ID string `json:"id"`
	On bool   `json:"on"`
	// Toggles counts the commands that were executed.
	Toggles int `json:"toggles"`
}

// Run is one execution of a booking or a command.
type Run struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Store is the state that the replicas of a service share.
type Store struct {
	mu       sync.Mutex
	bookings []Booking
	lights   map[string]*Light
	runs     []Run
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{lights: map[string]*Light{}} }

// Runs returns all executions so far.
func (s *Store) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Options describe one server.
type Options struct {
	Name string
	// ReadTime and WriteTime are the service times of reads and writes.
	ReadTime  time.Duration
	WriteTime time.Duration
}

// Server is one replica of the service.
type Server struct {
	opts  Options
	store *Store
}

// New returns a replica that uses a store.
func New(opts Options, store *Store) *Server { return &Server{opts: opts, store: store} }

// Handler serves the API of the service and GET /standin/runs.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", s.book).Methods(http.MethodPost)
	r.HandleFunc("/bookings", s.list).Methods(http.MethodGet)
	r.HandleFunc("/bookings/{id}", s.lookUp).Methods(http.MethodGet)
	r.HandleFunc("/lights/{id}/commands", s.command).Methods(http.MethodPost)
	r.HandleFunc("/lights/{id}", s.status).Methods(http.MethodGet)
	r.HandleFunc("/standin/runs", s.serveRuns).Methods(http.MethodGet)
	return r
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.Runs())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// record records a run, waits for WriteTime and returns the request body. It records the run before the wait because
// the run takes effect even if the caller disconnects during the wait.
func (s *Server) record(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	s.store.mu.Lock()
	s.store.runs = append(s.store.runs, Run{Server: s.opts.Name, Path: r.URL.Path, Body: string(body)})
	s.store.mu.Unlock()
	time.Sleep(s.opts.WriteTime)
	return body
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.Unmarshal(s.record(r), &b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusCreated, s.store.book(b))
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.opts.ReadTime)
	writeJSON(w, http.StatusOK, s.store.list())
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.opts.ReadTime)
	b, ok := s.store.booking(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "no such booking", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, b)
}

func (s *Server) command(w http.ResponseWriter, r *http.Request) {
	s.record(r)
	writeJSON(w, http.StatusOK, s.store.toggle(mux.Vars(r)["id"]))
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.opts.ReadTime)
	writeJSON(w, http.StatusOK, s.store.status(mux.Vars(r)["id"]))
}

// book stores a booking under a new ID.
func (s *Store) book(b Booking) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.ID = fmt.Sprintf("b%d", len(s.bookings)+1)
	s.bookings = append(s.bookings, b)
	return b
}

func (s *Store) list() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking{}, s.bookings...)
}

func (s *Store) booking(id string) (Booking, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.bookings {
		if b.ID == id {
			return b, true
		}
	}
	return Booking{}, false
}

func (s *Store) toggle(id string) Light {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.light(id)
	l.On = !l.On
	l.Toggles++
	return *l
}

func (s *Store) status(id string) Light {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.light(id)
}

// light returns a light, which is initially off. The caller holds the mutex.
func (s *Store) light(id string) *Light {
	l, ok := s.lights[id]
	if !ok {
		l = &Light{ID: id}
		s.lights[id] = l
	}
	return l
}
