// Package kvserver is a stand-in for the platform's key-value service. It speaks the JSON gateway format of etcd v3,
// keeps all data in memory, and can inject the failures of the real service.
package kvserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/standin/internal/faultapi"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMs is added to every call.
	DelayMs int64 `json:"delay_ms"`
	// LoseResponses is the number of upcoming writes whose response is lost after the write takes effect.
	LoseResponses int `json:"lose_answers"`
}

// Counts are the numbers of calls since the start. Watching is the number of open watches.
type Counts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Watching int64 `json:"watching"`
}

type record struct {
	value                       []byte
	modRevision, createRevision int64
	lease                       int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Server is the stand-in. Use Handler to serve it.
type Server struct {
	mu       sync.Mutex
	revision int64
	records  map[string]record
	history  []kv.WireEvent
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	changed   chan struct{}
	leases    map[int64]*lease
	nextID    int64
	faults    Faults
	counts    Counts
	now       func() time.Time
	// era starts at 1 and is incremented by each restore.
	era    int64
	backup *backup
}

// New returns an empty service.
func New() *Server {
	return &Server{
		era: 1, records: map[string]record{}, leases: map[int64]*lease{}, changed: make(chan struct{}), now: time.Now,
	}
}

// Handler serves the etcd gateway, GET and PUT /standin/faults, and GET /standin/counts.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(kv.PathRange, handle(s, s.rangeKeys)).Methods(http.MethodPost)
	r.HandleFunc(kv.PathTxn, handle(s, s.txn)).Methods(http.MethodPost)
	r.HandleFunc(kv.PathGrant, handle(s, s.grant)).Methods(http.MethodPost)
	r.HandleFunc(kv.PathKeepAlive, handle(s, s.keepAlive)).Methods(http.MethodPost)
	r.HandleFunc(kv.PathRevoke, handle(s, s.revoke)).Methods(http.MethodPost)
	r.HandleFunc(kv.PathWatch, s.watch).Methods(http.MethodPost)
	r.HandleFunc("/standin/faults", faultapi.Handler(s.Faults, s.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/standin/counts", s.serveCounts).Methods(http.MethodGet)
	return r
}

// SetFaults replaces the injected faults. The fault Down also ends open watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(kv.WireError{Code: 14, Message: message})
}

// admit sets the era header and applies the faults DelayMs and Down. It returns false if it has written an error
// response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	s.setEraHeader(w)
	s.mu.Unlock()
	if f.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if f.Down {
		writeError(w, http.StatusServiceUnavailable, "stand-in is down")
		return false
	}
	return true
}

// errorStatus is the result of a call whose response is an error status.
type errorStatus struct{ status int }

// handle decodes a request, calls fn under the lock and sends the response that fn returns. fn also returns whether the
// call is a write, to which the fault LoseResponses applies.
func handle[In, Out any](s *Server, fn func(*In) (out Out, wrote bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r) {
			return
		}
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		s.mu.Lock()
		s.expire()
		out, wrote := fn(&in)
		s.setEraHeader(w)
		loseResponse := wrote && s.faults.LoseResponses > 0
		if loseResponse {
			s.faults.LoseResponses--
		}
		s.mu.Unlock()
		if loseResponse {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		if refused, ok := any(out).(errorStatus); ok {
			writeError(w, refused.status, "refused")
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *Server) rangeKeys(in *kv.WireRange) (kv.WireRangeResponse, bool) {
	s.counts.Reads++
	var out kv.WireRangeResponse
	for _, k := range s.keysIn(string(in.Key), string(in.RangeEnd)) {
		if in.Limit > 0 && int64(len(out.KVs)) == in.Limit {
			break
		}
		r := s.records[k]
		out.KVs = append(out.KVs, kv.WireKV{Key: []byte(k), Value: r.value, ModRevision: r.modRevision, CreateRevision: r.createRevision, Lease: r.lease})
	}
	return out, false
}

// keysIn returns the sorted keys of a range as etcd defines it. The range includes from and excludes end. If end is
// empty, it is the single key from; if end is "\x00", it has no end.
func (s *Server) keysIn(from, end string) []string {
	if end == "" {
		if _, ok := s.records[from]; ok {
			return []string{from}
		}
		return nil
	}
	var keys []string
	for k := range s.records {
		if k >= from && (end == "\x00" || k < end) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Server) txn(in *kv.WireTxn) (kv.WireTxnResponse, bool) {
	s.counts.Writes++
	for _, c := range in.Compare {
		if s.records[string(c.Key)].modRevision != c.ModRevision {
			return kv.WireTxnResponse{Header: kv.WireHeader{Revision: s.revision}}, true
		}
	}
	s.revision++
	for _, op := range in.Success {
		if op.RequestPut != nil {
			s.put(op.RequestPut)
		}
		if op.RequestDeleteRange != nil {
			s.delete(string(op.RequestDeleteRange.Key))
		}
	}
	s.notifyWatches()
	return kv.WireTxnResponse{Header: kv.WireHeader{Revision: s.revision}, Succeeded: true}, true
}

func (s *Server) put(p *kv.WirePut) {
	key := string(p.Key)
	created := s.revision
	if r, ok := s.records[key]; ok {
		created = r.createRevision
	}
	s.records[key] = record{value: p.Value, modRevision: s.revision, createRevision: created, lease: p.Lease}
	if l, ok := s.leases[p.Lease]; ok {
		l.keys[key] = true
	}
	s.history = append(s.history, kv.WireEvent{
		KV: kv.WireKV{Key: p.Key, Value: p.Value, ModRevision: s.revision, CreateRevision: created},
	})
}

func (s *Server) delete(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.history = append(s.history, kv.WireEvent{
		Type: "DELETE", KV: kv.WireKV{Key: []byte(key), ModRevision: s.revision},
	})
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed and deletes their keys. The caller holds the lock.
func (s *Server) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Server) endLease(id int64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key := range l.keys {
		if s.records[key].lease == id {
			s.delete(key)
		}
	}
	s.notifyWatches()
}

func (s *Server) grant(in *kv.WireLease) (kv.WireLease, bool) {
	return kv.WireLease{ID: s.newLease(time.Duration(in.TTL) * time.Second), TTL: in.TTL}, true
}

func (s *Server) newLease(ttl time.Duration) int64 {
	s.counts.Writes++
	s.nextID++
	l := &lease{ttl: ttl, keys: map[string]bool{}}
	s.renew(l)
	s.leases[s.nextID] = l
	return s.nextID
}

func (s *Server) renew(l *lease) { l.expires = s.now().Add(l.ttl) }

func (s *Server) keepAlive(in *kv.WireLease) (kv.WireLeaseKeepAlive, bool) {
	s.counts.Writes++
	l, ok := s.leases[in.ID]
	if !ok {
		return kv.WireLeaseKeepAlive{Result: kv.WireLease{ID: in.ID}}, true
	}
	s.renew(l)
	return kv.WireLeaseKeepAlive{Result: kv.WireLease{ID: in.ID, TTL: int64(l.ttl / time.Second)}}, true
}

func (s *Server) revoke(in *kv.WireLease) (struct{}, bool) {
	s.counts.Writes++
	s.endLease(in.ID)
	return struct{}{}, true
}

// leaseCheckInterval limits the delay with which a watch reports the deletions of an expired lease.
const leaseCheckInterval = 200 * time.Millisecond

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	var in kv.WireWatch
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.counts.Watches++
	s.counts.Watching++
	next := s.historyFrom(in.CreateRequest.StartRevision)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.counts.Watching--
		s.mu.Unlock()
	}()
	s.stream(w, r, in.CreateRequest, next)
}

// historyFrom returns the index of the first event at or after a revision, or the end of the history for revision 0.
func (s *Server) historyFrom(revision int64) int {
	if revision == 0 {
		return len(s.history)
	}
	return sort.Search(len(s.history), func(i int) bool { return s.history[i].KV.ModRevision >= revision })
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, in kv.WireWatchCreate, next int) {
	enc := json.NewEncoder(w)
	out := http.NewResponseController(w)
	response := kv.WireWatchLine{Result: &kv.WireWatchResult{Created: true}}
	for {
		if enc.Encode(response) != nil || out.Flush() != nil {
			return
		}
		events, ok := s.nextEvents(r.Context(), in, &next)
		if !ok {
			return
		}
		response = kv.WireWatchLine{Result: &kv.WireWatchResult{Events: events}}
	}
}

// nextEvents waits for events in the range of a watch, from index next of the history on, and advances next. It returns
// false if the watch must end.
func (s *Server) nextEvents(ctx context.Context, in kv.WireWatchCreate, next *int) ([]kv.WireEvent, bool) {
	for {
		s.mu.Lock()
		s.expire()
		events := inRange(s.history[*next:], in)
		*next = len(s.history)
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return nil, false
		}
		if len(events) > 0 {
			return events, true
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-ctx.Done():
			return nil, false
		}
	}
}

func inRange(events []kv.WireEvent, in kv.WireWatchCreate) []kv.WireEvent {
	var out []kv.WireEvent
	for _, e := range events {
		key := string(e.KV.Key)
		exact := len(in.RangeEnd) == 0 && key == string(in.Key)
		ranged := len(in.RangeEnd) > 0 && strings.Compare(key, string(in.Key)) >= 0 && key < string(in.RangeEnd)
		if exact || ranged {
			out = append(out, e)
		}
	}
	return out
}
