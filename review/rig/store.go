// Package rig starts the programs of the deploy file as separate processes on loopback addresses, and stands in for the
// users' platform: its store, its replicas, its network and its clients. It uses the standard library only.
package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It is sound: every call is
// answered at once and every answer is linearizable.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]*storeItem
	leases  map[int64]*storeLease
	nextID  int64
	history []storeEvent
	changed chan struct{}
}

type storeItem struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	LeaseID  int64 `json:"LeaseId"`
	At       int64 `json:",omitempty"`
}

type storeEvent struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	LeaseID  int64 `json:"LeaseId,omitempty"`
	Deleted  bool  `json:",omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storePage is the largest number of items in one page of a range.
const storePage = 500

// minLeaseTTL is TtlMinMs of the settings.
const minLeaseTTL = time.Second

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rev: 1, items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, nextID: 77000, changed: make(chan struct{}),
	}
}

// Write writes a key of the operator or of a replica.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

// Remove removes a key of a replica.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] == nil {
		return
	}
	s.rev++
	s.remove(key)
	s.notify()
}

// Get returns the value of a key, nil if there is none.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

func (s *Store) put(key string, value []byte, lease int64) {
	it := &storeItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, LeaseID: lease}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, storeEvent{Key: key, Value: value, Revision: s.rev, Created: it.Created, LeaseID: lease})
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, storeEvent{Key: key, Revision: s.rev, Deleted: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time has passed. The caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.rev++
			s.remove(key)
		}
	}
	s.notify()
}

// Handler serves the store's API.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.serveKey)
	m.HandleFunc("GET /kv-range", s.serveRange)
	m.HandleFunc("GET /kv-watch", s.serveWatch)
	m.HandleFunc("POST /kv-txn", s.serveTxn)
	m.HandleFunc("POST /kv-lease", s.serveGrant)
	m.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	return m
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // Fails only if the caller has disconnected.
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	it := s.items[r.URL.Query().Get("Key")]
	var out storeItem
	if it != nil {
		out = *it
		out.At = s.rev
	}
	s.mu.Unlock()
	if it == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	out := struct {
		Items   []storeItem
		HasMore bool
		At      int64
	}{Items: []storeItem{}}
	s.mu.Lock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > storePage {
		keys, out.HasMore = keys[:storePage], true
	}
	for _, key := range keys {
		out.Items = append(out.Items, *s.items[key])
	}
	out.At = s.rev
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed := s.eventsAfter(q.Get("PathPrefix"), after)
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
			}
		}
		writeJSON(w, http.StatusOK, struct {
			Events []storeEvent `json:"events"`
			At     int64
		}{events, at})
		return
	}
}

func (s *Store) eventsAfter(prefix string, after int64) (events []storeEvent, at int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events = []storeEvent{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.rev, s.changed
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key     string
			Value   []byte
			LeaseID int64 `json:"LeaseId"`
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range in.Expected {
		have := int64(0)
		if it := s.items[e.Key]; it != nil {
			have = it.Revision
		}
		if have != e.Revision {
			writeJSON(w, http.StatusPreconditionFailed, struct{ Items []storeItem }{[]storeItem{}})
			return
		}
	}
	for _, p := range in.Writes {
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range in.Writes {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range in.Remove {
		if s.items[key] != nil {
			s.remove(key)
		}
	}
	s.notify()
	writeJSON(w, http.StatusOK, struct{ Revision int64 }{s.rev})
}

type leaseBody struct {
	LeaseID int64 `json:"LeaseId,omitempty"`
	TTLMs   int64 `json:"TtlMs"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in leaseBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Duration(in.TTLMs)*time.Millisecond, minLeaseTTL)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, leaseBody{LeaseID: id, TTLMs: ttl.Milliseconds()})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}
