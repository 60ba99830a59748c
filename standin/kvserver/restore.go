package kvserver

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"lavendermoor.example/clients/kv"
)

// backup is a copy of the service's state.
type backup struct {
	revision, compacted, nextID int64
	records                     map[string]record
	history                     []kv.WireEvent
	leases                      map[int64]*lease
}

// eraHeader is the response header of the users' platform that contains the era of the store's data.
const eraHeader = "Store-Era"

// setEraHeader sets the era header of a response. The caller holds the lock.
func (s *Server) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

// Backup saves a copy of the state for Restore.
func (s *Server) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.backup = &backup{
		revision: s.revision, compacted: s.compacted, nextID: s.nextID, records: maps.Clone(s.records),
		history: slices.Clone(s.history), leases: copyLeases(s.leases),
	}
}

func copyLeases(leases map[int64]*lease) map[int64]*lease {
	out := map[int64]*lease{}
	for id, l := range leases {
		out[id] = &lease{ttl: l.ttl, expires: l.expires, keys: maps.Clone(l.keys)}
	}
	return out
}

// Restore restores the last backup, if there is one, and starts the next era. Writes and leases since the backup are
// lost, and their revisions are reused. Restore then writes the operator's latest values again, as the operator would
// do. Replicas register again without help.
func (s *Server) Restore() { s.RestoreExcept("") }

// RestoreExcept is Restore, but the operator's keys under a prefix are not written again. An empty prefix means none.
func (s *Server) RestoreExcept(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	if b == nil {
		return
	}
	before := s.records
	s.era++
	s.revision, s.compacted, s.nextID = b.revision, b.compacted, b.nextID
	s.records, s.history, s.leases = maps.Clone(b.records), slices.Clone(b.history), copyLeases(b.leases)
	for key, r := range before {
		if strings.HasPrefix(key, "op/") && (prefix == "" || !strings.HasPrefix(key, prefix)) {
			s.revision++
			s.put(&kv.WirePut{Key: []byte(key), Value: r.value})
		}
	}
	s.notifyWatches()
}
