package gatewayd

import (
	"errors"
	"sync/atomic"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/platform"
)

// maxLoggedReasons bounds the reasons of refused configurations that are logged while one configuration is active.
const maxLoggedReasons = 100

// refusedConfigs counts the configurations that are refused, and logs each reason once. Another writer may repeat them.
type refusedConfigs struct {
	// last is the write that was counted last. It and logged are used by the goroutine of the mirror only.
	last   kv.Position
	logged map[string]bool
	count  atomic.Int64
}

// observe takes the reason why no configuration of a snapshot is applied. The configuration may be missing.
func (r *refusedConfigs) observe(s *mirror.Snapshot, err error, log *zap.Logger) {
	var refused *platform.DecodeError
	if errors.As(err, &refused) {
		if at := (kv.Position{Era: s.At.Era, Revision: s.Entries[refused.Key].ModRevision}); at != r.last {
			r.last = at
			r.count.Add(1)
		}
	}
	reason := err.Error()
	if r.logged[reason] || len(r.logged) >= maxLoggedReasons {
		return
	}
	if r.logged == nil {
		r.logged = map[string]bool{}
	}
	r.logged[reason] = true
	log.Warn("configuration not applied", zap.Int64("era", s.At.Era), zap.Int64("revision", s.At.Revision), zap.Error(err))
}

// forget makes the reasons so far be logged again. It is called when a configuration becomes active.
func (r *refusedConfigs) forget() { r.logged = nil }
