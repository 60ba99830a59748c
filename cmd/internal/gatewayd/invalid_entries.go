package gatewayd

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// maxLoggedEntries bounds the IDs whose invalid entry is logged.
const maxLoggedEntries = 1000

// invalidEntries counts the entries of the server list that are not of a server, and logs the first one of each ID. Such
// entries come from another writer, which may repeat them.
type invalidEntries struct {
	// current holds the reasons of the last list by ID. It and logged are used by the goroutine of the mirror only.
	current map[string]string
	logged  map[string]bool
	count   atomic.Int64
}

// observe takes the reasons of the invalid entries of a list, by ID.
func (e *invalidEntries) observe(reasons map[string]string, log *zap.Logger) {
	for id, reason := range reasons {
		if e.current[id] != reason {
			e.count.Add(1)
			e.logFirst(id, reason, log)
		}
	}
	e.current = reasons
}

func (e *invalidEntries) logFirst(id, reason string, log *zap.Logger) {
	if e.logged[id] || len(e.logged) >= maxLoggedEntries {
		return
	}
	if e.logged == nil {
		e.logged = map[string]bool{}
	}
	e.logged[id] = true
	log.Warn("entry of the server list ignored: it is not of a server", zap.String("server", id), zap.String("error", reason))
}
