package balance

import (
	"maps"
	"sync/atomic"
	"time"

	"lavendermoor.example/gateway/catalog"
)

const (
	// usedColdFraction is the part of a cold server's rate that all gateways together use. A gateway that restarts
	// forgets what it has sent, and lists of gateways differ for a while when their number changes; the allowed rate is
	// 1.5 times the server's.
	usedColdFraction = 0.8
	// coldWindow is the time in which the requests to a cold server are counted.
	coldWindow = time.Second
)

// warmups holds the warm-up of the servers of each service, which the fleet and its backends share. It is safe for
// concurrent use.
type warmups struct {
	services atomic.Pointer[map[string]catalog.Warmup]
}

func newWarmups() *warmups {
	w := &warmups{}
	w.services.Store(&map[string]catalog.Warmup{})
	return w
}

func (w *warmups) of(service string) catalog.Warmup { return (*w.services.Load())[service] }

// SetWarmups sets the warm-up of the servers of each service. The servers of a service that is not in the map are never
// cold.
func (f *Fleet) SetWarmups(services map[string]catalog.Warmup) {
	copied := maps.Clone(services)
	f.warmups.services.Store(&copied)
}

// warmState is what a backend knows of its server's warm-up. It is guarded by the backend's lock.
type warmState struct {
	// entryColdUntil is the end of the warm-up according to the server's entry.
	entryColdUntil time.Time
	// startedAt is when the server was first listed or restarted, zero if that was before this gateway read its first
	// list.
	startedAt time.Time
}

// applyEntry records what a new entry says about the warm-up.
func (w *warmState) applyEntry(s catalog.Server, now time.Time) {
	w.entryColdUntil = now.Add(s.WarmupLeft)
}

// coldFor returns how much longer the server counts as cold, 0 if it is warm. The caller holds the lock.
func (b *Backend) coldFor(now time.Time) time.Duration {
	w := b.warmups.of(b.server.Service)
	if !w.Applies() {
		return 0
	}
	until := b.warm.entryColdUntil
	returnedAt := b.evacuations.current.Load().returnedAt[b.server.Domain]
	for _, start := range []time.Time{b.warm.startedAt, returnedAt} {
		if end := start.Add(w.Time); !start.IsZero() && end.After(until) {
			until = end
		}
	}
	return max(until.Sub(now), 0)
}

// coldShare returns this gateway's share of the requests to the server while it is cold. The caller holds the lock.
func (b *Backend) coldShare() *boundShare {
	used := int(usedColdFraction * b.warmups.of(b.server.Service).PerSecond)
	bound := rateBound{requests: max(used, 1), window: coldWindow}
	b.rate.cold.update(bound, b.server.ID, b.gateways.assumed.Load(), nil)
	return &b.rate.cold
}

// isColdShareUsed reports whether the server is cold and the given number of requests, with those sent before, uses up
// this gateway's share. The caller holds the lock.
func (b *Backend) isColdShareUsed(unsent int, now time.Time) bool {
	return b.coldFor(now) > 0 && b.rate.isUsed(b.coldShare(), unsent, now)
}

// coldWait returns the time until the server may get a request as far as its warm-up permits. The caller holds the lock.
func (b *Backend) coldWait(now time.Time) time.Duration {
	cold := b.coldFor(now)
	if cold == 0 {
		return 0
	}
	share := b.coldShare()
	if share.share == 0 {
		return cold
	}
	return min(b.rate.wait(share, now), cold)
}

// maxColdWeight is the factor by which the load of a server at the beginning of its warm-up counts.
const maxColdWeight = 4.0

// coldWeight returns the factor by which the server's load counts. It falls to 1 as the server warms up, so that its
// share of the requests grows. The caller holds the lock.
func (b *Backend) coldWeight(now time.Time) float64 {
	left := b.coldFor(now)
	if left == 0 {
		return 1
	}
	total := b.warmups.of(b.server.Service).Time
	return 1 + (maxColdWeight-1)*min(float64(left)/float64(total), 1)
}

// CountCold returns the number of servers that count as cold.
func (f *Fleet) CountCold(now time.Time) int64 {
	n := int64(0)
	for _, b := range f.All() {
		b.mu.Lock()
		if b.coldFor(now) > 0 {
			n++
		}
		b.mu.Unlock()
	}
	return n
}
