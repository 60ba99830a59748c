package kvserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/standin/internal/faultapi"
)

// platformItem is a key in the JSON format of the users' platform.
type platformItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	LeaseId  int64 `json:",omitempty"` //nolint:revive // Field name of the platform.
	Deleted  bool  `json:",omitempty"`
	At       int64 `json:",omitempty"`
}

type platformLease struct {
	LeaseId int64 `json:",omitempty"` //nolint:revive // Field name of the platform.
	TtlMs   int64 //nolint:revive // Field name of the platform.
}

type platformTxn struct {
	Expected []struct {
		Key      string
		Revision int64
	}
	Writes []platformItem
	Remove []string
}

// PlatformHandler serves the API of the store of the users' platform, on the same state as Handler. It also serves GET
// and PUT /standin/faults, POST /standin/forget (Compact), /standin/backup and /standin/restore?Except=PREFIX, and PUT and
// DELETE /standin/key?Key=K, with which tests write the keys of the operator and of replicas.
func (s *Server) PlatformHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/kv-key", s.platformGet).Methods(http.MethodGet)
	r.HandleFunc("/kv-range", s.platformRange).Methods(http.MethodGet)
	r.HandleFunc("/kv-watch", s.platformWatch).Methods(http.MethodGet)
	r.HandleFunc("/kv-txn", handle(s, s.platformCommit)).Methods(http.MethodPost)
	r.HandleFunc("/kv-lease", handle(s, s.platformGrant)).Methods(http.MethodPost)
	r.HandleFunc("/kv-keep/{id}", s.platformKeepAlive).Methods(http.MethodPost)
	r.HandleFunc("/kv-lease-end/{id}", s.platformRevoke).Methods(http.MethodDelete)
	r.HandleFunc("/standin/faults", faultapi.Handler(s.Faults, s.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/standin/forget", func(http.ResponseWriter, *http.Request) { s.Compact() }).Methods(http.MethodPost)
	r.HandleFunc("/standin/backup", func(http.ResponseWriter, *http.Request) { s.Backup() }).Methods(http.MethodPost)
	r.HandleFunc("/standin/restore", func(_ http.ResponseWriter, r *http.Request) {
		s.RestoreExcept(r.URL.Query().Get("Except"))
	}).Methods(http.MethodPost)
	r.HandleFunc("/standin/key", s.platformWriteKey).Methods(http.MethodPut, http.MethodDelete)
	return r
}

// Compact drops the history up to the current revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notifyWatches()
}

// Write sets a key unconditionally, or deletes it if the value is nil.
func (s *Server) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == nil {
		s.delete(key)
	} else {
		s.put(&kv.WirePut{Key: []byte(key), Value: value})
	}
	s.notifyWatches()
}

func (s *Server) platformWriteKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("Key")
	if r.Method == http.MethodDelete {
		s.Write(key, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.Write(key, body)
}

func (r record) item(key string) platformItem {
	return platformItem{Key: key, Value: r.value, Revision: r.modRevision, Created: r.createRevision, LeaseId: r.lease}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // Encode fails only if the client has disconnected.
}

func (s *Server) platformGet(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	key := r.URL.Query().Get("Key")
	s.mu.Lock()
	s.expire()
	s.counts.Reads++
	rec, ok := s.records[key]
	item := rec.item(key)
	item.At = s.revision
	s.setEraHeader(w)
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, item)
}

// platformPageSize is the number of items in a page of a range.
const platformPageSize = 500

func (s *Server) platformRange(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	out := struct {
		Items   []platformItem
		HasMore bool
		At      int64
	}{Items: []platformItem{}}
	s.mu.Lock()
	s.expire()
	s.counts.Reads++
	out.At = s.revision
	prefix := q.Get("PathPrefix")
	for _, k := range s.keysIn(prefix, string(kv.PrefixEnd(prefix))) {
		if k <= q.Get("After") {
			continue
		}
		if out.HasMore = len(out.Items) == platformPageSize; out.HasMore {
			break
		}
		out.Items = append(out.Items, s.records[k].item(k))
	}
	s.setEraHeader(w)
	s.mu.Unlock()
	writeJSON(w, out)
}

func (s *Server) platformWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("WaitMs"))
	if errAfter != nil || errWait != nil {
		writeError(w, http.StatusBadRequest, "After and WaitMs are numbers")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	events, at, status := s.platformEvents(ctx, w, q.Get("PathPrefix"), after)
	if status != http.StatusOK {
		writeError(w, status, "the history is gone, or the store is down")
		return
	}
	writeJSON(w, map[string]any{"events": events, "At": at})
}

// platformEvents waits until there are events under a prefix after a revision, or until the context ends. It returns
// the events, the current revision and the response status, and sets the era header.
func (s *Server) platformEvents(ctx context.Context, w http.ResponseWriter, prefix string, after int64) ([]platformItem, int64, int) {
	for {
		s.mu.Lock()
		s.expire()
		events := []platformItem{}
		for _, e := range s.history[s.historyFrom(after+1):] {
			if strings.HasPrefix(string(e.KV.Key), prefix) {
				events = append(events, platformItem{
					Key: string(e.KV.Key), Value: e.KV.Value, Revision: e.KV.ModRevision, Created: e.KV.CreateRevision,
					Deleted: e.Type == "DELETE",
				})
			}
		}
		revision, changed, down, historyGone := s.revision, s.changed, s.faults.Down, after < s.compacted || after > s.revision
		s.setEraHeader(w)
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, http.StatusServiceUnavailable
		case historyGone:
			return nil, 0, http.StatusGone
		case len(events) > 0 || ctx.Err() != nil:
			return events, revision, http.StatusOK
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-ctx.Done():
		}
	}
}

// platformCommit converts a transaction from the platform's format to the etcd format and runs it.
func (s *Server) platformCommit(in *platformTxn) (any, bool) {
	var txn kv.WireTxn
	for _, e := range in.Expected {
		txn.Compare = append(txn.Compare, kv.WireCompare{Key: []byte(e.Key), ModRevision: e.Revision})
	}
	for _, item := range in.Writes {
		// Only the operator and the replicas write these keys, see Write.
		if strings.HasPrefix(item.Key, "op/") || strings.HasPrefix(item.Key, "servers/") {
			return errorStatus{http.StatusForbidden}, true
		}
		if _, ok := s.leases[item.LeaseId]; item.LeaseId != 0 && !ok {
			return errorStatus{http.StatusNotFound}, true
		}
		put := &kv.WirePut{Key: []byte(item.Key), Value: item.Value, Lease: item.LeaseId}
		txn.Success = append(txn.Success, kv.WireOp{RequestPut: put})
	}
	for _, key := range in.Remove {
		txn.Success = append(txn.Success, kv.WireOp{RequestDeleteRange: &kv.WireDelete{Key: []byte(key)}})
	}
	out, wrote := s.txn(&txn)
	if !out.Succeeded {
		return errorStatus{http.StatusPreconditionFailed}, wrote
	}
	return map[string]int64{"Revision": out.Header.Revision}, wrote
}

func (s *Server) platformGrant(in *platformLease) (any, bool) {
	id := s.newLease(time.Duration(in.TtlMs) * time.Millisecond)
	return platformLease{LeaseId: id, TtlMs: in.TtlMs}, true
}

func (s *Server) platformKeepAlive(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseCall(w, r, func(_ int64, l *lease) any {
		s.renew(l)
		return platformLease{TtlMs: l.ttl.Milliseconds()}
	})
}

func (s *Server) platformRevoke(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseCall(w, r, func(id int64, _ *lease) any {
		s.endLease(id)
		return struct{}{}
	})
}

// serveLeaseCall calls fn under the lock with the lease in the request path and sends the response that fn returns.
func (s *Server) serveLeaseCall(w http.ResponseWriter, r *http.Request, fn func(int64, *lease) any) {
	if !s.admit(w, r) {
		return
	}
	id, err := strconv.ParseInt(mux.Vars(r)["id"], 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.setEraHeader(w)
	l, ok := s.leases[id]
	if !ok {
		writeError(w, http.StatusNotFound, "no such lease")
		return
	}
	writeJSON(w, fn(id, l))
}
