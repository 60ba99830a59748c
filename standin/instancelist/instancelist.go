// Package instancelist is a stand-in for the platform's instance list. Changes become visible after a lag.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Instance is one entry of the list.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Program is "entry" or "side".
	Program string `json:"program"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// List is the response of GET /v1/instances.
type List struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// change is an added, changed or deleted instance. Of a deleted one, only the name is set.
type change struct {
	visibleAt time.Time
	instance  Instance
	deleted   bool
}

// Server is the stand-in.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	pending []change
	visible map[string]Instance
	version int64
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *Server { return &Server{lag: lag, visible: map[string]Instance{}} }

// Handler serves GET /v1/instances, and PUT and DELETE /standin/instances/{name}.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/instances", s.list).Methods(http.MethodGet)
	r.HandleFunc("/standin/instances/{name}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/standin/instances/{name}", s.remove).Methods(http.MethodDelete)
	return r
}

// Put adds or changes an instance.
func (s *Server) Put(i Instance) { s.change(i, false) }

// Remove removes an instance.
func (s *Server) Remove(name string) { s.change(Instance{Name: name}, true) }

func (s *Server) change(i Instance, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{visibleAt: time.Now().Add(s.lag), instance: i, deleted: deleted})
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Name = mux.Vars(r)["name"]
	s.Put(i)
}

func (s *Server) remove(_ http.ResponseWriter, r *http.Request) { s.Remove(mux.Vars(r)["name"]) }

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.applyDue(time.Now())
	tag := strconv.Quote(strconv.FormatInt(s.version, 10))
	if r.Header.Get("If-None-Match") == tag {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotModified)
		return
	}
	out := List{Version: s.version}
	for _, i := range s.visible {
		out.Instances = append(out.Instances, i)
	}
	s.mu.Unlock()
	sort.Slice(out.Instances, func(a, b int) bool { return out.Instances[a].Name < out.Instances[b].Name })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", tag)
	_ = json.NewEncoder(w).Encode(out)
}

// applyDue makes all changes visible whose lag has passed. The caller holds the lock.
func (s *Server) applyDue(now time.Time) {
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		s.version++
		if c.deleted {
			delete(s.visible, c.instance.Name)
		} else {
			s.visible[c.instance.Name] = c.instance
		}
	}
}
