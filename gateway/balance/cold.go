package balance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/gateway/catalog"
)

// warmups holds the properties of cold servers that the fleet and its backends share. It is safe for concurrent use.
type warmups struct {
	services atomic.Pointer[map[string]catalog.Warmup]
	view     atomic.Pointer[gatewayView]

	mu      sync.Mutex
	tracker gatewayTracker
}

func newWarmups() *warmups {
	w := &warmups{}
	w.services.Store(&map[string]catalog.Warmup{})
	w.view.Store(&gatewayView{unlisted: assumedGateways - 1})
	return w
}

func (w *warmups) of(service string) catalog.Warmup { return (*w.services.Load())[service] }

// SetWarmups sets the warm-up of the servers of each service. The servers of a service that is not in the map are never
// cold.
func (f *Fleet) SetWarmups(services map[string]catalog.Warmup) {
	copied := maps.Clone(services)
	f.warmups.services.Store(&copied)
}

// SetGateways sets the name of this gateway and the names of the gateways listed at the last read, empty before the
// first one. It must be called several times a second, as names that are no longer listed expire.
func (f *Fleet) SetGateways(self string, listed []string, now time.Time) {
	w := f.warmups
	w.mu.Lock()
	defer w.mu.Unlock()
	if v := w.tracker.observe(self, listed, now); !v.equal(w.view.Load()) {
		w.view.Store(v)
	}
}

// CountGateways returns the number of gateways for which the shares of cold servers are computed, this one included.
func (f *Fleet) CountGateways() int {
	v := f.warmups.view.Load()
	return 1 + len(v.others) + v.unlisted
}

// warmState is what a backend knows of its server's warm-up. It is guarded by the backend's lock.
type warmState struct {
	// entryColdUntil is the end of the warm-up according to the server's entry.
	entryColdUntil time.Time
	// startedAt is when the server was first listed or restarted, zero if that was before this gateway read its first
	// list.
	startedAt time.Time
	// unsent counts the requests that are assigned to the server and neither sent nor ended.
	unsent int
	sends  sendLog
	// share is the gateway's share of the server's requests that follows from shareView and sharePerSecond.
	share          int
	shareView      *gatewayView
	sharePerSecond float64
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

// coldShare returns how many requests this gateway may send to the server in any sliding second while it is cold. The
// caller holds the lock.
func (b *Backend) coldShare() int {
	v, perSecond := b.warmups.view.Load(), b.warmups.of(b.server.Service).PerSecond
	if w := &b.warm; w.shareView != v || w.sharePerSecond != perSecond {
		w.share, w.shareView, w.sharePerSecond = v.share(b.server.ID, perSecond), v, perSecond
	}
	return b.warm.share
}

// isColdShareUsed reports whether the server is cold and the given number of requests, with those sent in the last
// second, uses up this gateway's share. The caller holds the lock.
func (b *Backend) isColdShareUsed(unsent int, now time.Time) bool {
	return b.coldFor(now) > 0 && unsent+b.warm.sends.count(now) >= b.coldShare()
}

// TrySend reports whether a request for which the server was chosen may be written to it now, and counts the request if
// so. It must be called between Begin and End.
func (b *Backend) TrySend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accepts(now) {
		return false
	}
	b.warm.unsent--
	if b.warmups.of(b.server.Service).Applies() {
		b.warm.sends.add(now)
	}
	return true
}

// CancelSend records that a request that was begun has ended without a successful TrySend.
func (b *Backend) CancelSend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warm.unsent--
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

// coldWait returns the time until the server may get a request as far as its warm-up and a suspension permit, and
// whether it is in use.
func (b *Backend) coldWait(now time.Time) (wait time.Duration, inUse bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait = max(b.suspension.until.Sub(now), 0)
	if !b.isColdShareUsed(b.warm.unsent, now) {
		return wait, b.isUsable()
	}
	cold, share := b.coldFor(now), b.coldShare()
	free := b.warm.sends.untilFree(share, now)
	switch {
	case share == 0:
		free = cold
	case free == 0: // The share is used by requests that are not sent yet.
		free = sendWindow
	}
	return max(wait, min(free, cold)), b.isUsable()
}

// ColdFor returns the time until the first server of a service may get a request, 0 unless all of them are cold with
// their shares used up, or suspended.
func (f *Fleet) ColdFor(service string, now time.Time) time.Duration {
	return f.shortestWait(service, func(b *Backend) (time.Duration, bool) { return b.coldWait(now) })
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
