package gatewayd

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// maxServerWait bounds the time for which a gateway that has read the server list waits for the first server before it is
// ready. Each replica writes its entry several times within it, so what is listed then names none.
const maxServerWait = 8 * time.Second

// listContent counts what a read of the server list shows.
type listContent struct {
	revision int64
	// entries is the number of valid entries, invalid that of keys whose last entry is invalid, and unknown that of those
	// among them for which no valid entry is known.
	entries, invalid, unknown int
	// servers is the number of backend servers that are known.
	servers int
}

// serverKnowledge decides whether a gateway knows enough of the servers to be ready: some server, or that none is listed.
// While the last entries of the list come from another writer, it knows neither.
type serverKnowledge struct {
	// sufficient stays set once it is.
	sufficient atomic.Bool

	mu        sync.Mutex
	last      listContent
	firstRead time.Time
}

// observe takes the content of a read of the list.
func (k *serverKnowledge) observe(c listContent, now time.Time, log *zap.Logger) {
	if k.sufficient.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = c
	first := k.firstRead.IsZero()
	if first {
		k.firstRead = now
	}
	switch {
	case c.servers > 0 || c.unknown == 0:
		k.decide("server list read for the first time", log)
	case first:
		log.Warn("not ready: the server list has entries, all of them invalid", zap.Int("invalid", c.invalid),
			zap.Int64("revision", c.revision), zap.Duration("wait", maxServerWait))
	}
}

// expire ends the wait for the first server after maxServerWait.
func (k *serverKnowledge) expire(now time.Time, log *zap.Logger) {
	if k.sufficient.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.firstRead.IsZero() && now.Sub(k.firstRead) >= maxServerWait {
		k.decide("server list names no server", log)
	}
}

// decide makes the knowledge count as sufficient. The caller holds mu.
func (k *serverKnowledge) decide(reason string, log *zap.Logger) {
	k.sufficient.Store(true)
	log.Info(reason, zap.Int64("revision", k.last.revision), zap.Int("entries", k.last.entries),
		zap.Int("invalid", k.last.invalid), zap.Int("unknown", k.last.unknown), zap.Int("servers", k.last.servers))
}
