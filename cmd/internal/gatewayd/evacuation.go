package gatewayd

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/gateway/balance"
)

// evacuationFollower applies the evacuation records of the key-value service to the fleet. It is safe for concurrent
// use.
type evacuationFollower struct {
	gateway *gateway

	mu      sync.Mutex
	records balance.EvacuationRecords
	// at is the position of the records.
	at kv.Position
}

// update replaces the records by those read at a position.
func (e *evacuationFollower) update(domains []string, at kv.Position, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Update(domains, at.Era, now)
	e.at = at
	e.apply(now)
}

// expire ends the evacuations whose records were not written again after a restore of the service.
func (e *evacuationFollower) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(now)
}

// apply makes the evacuated domains those of the records. The caller holds the lock.
func (e *evacuationFollower) apply(now time.Time) {
	changes := e.gateway.fleet.SetEvacuated(e.records.Domains(now), now)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		text := "failure domain taken back"
		if c.Evacuated {
			text = "failure domain evacuated"
		}
		e.gateway.log.Info(text, zap.String("domain", c.Domain), zap.Int64("era", e.at.Era),
			zap.Int64("revision", e.at.Revision), zap.Duration("config_age", e.gateway.config.Age()))
	}
	e.gateway.srv.RefreshGroups()
}
