package balance

import (
	"math"
	"time"

	"lavendermoor.example/gateway/exchange"
)

const (
	// limitWindow is the time in which the requests to a server that names a rate limit are counted. A limit whose
	// requests in this time are no whole number has a longer window, in which one more request fits.
	limitWindow = 4 * time.Second
	// maxLimitWindow is the window of a limit of less than one request in this time.
	maxLimitWindow = time.Minute
	// maxLimitPerSecond is the highest limit that has an effect, in requests a second.
	maxLimitPerSecond = 1e5
)

// rateLimit is the rate limit that a server names in its responses: how many requests it accepts from all gateways
// together. It is guarded by the backend's lock.
type rateLimit struct {
	named     bool
	perSecond float64
	// probesFrom is when the first turn of this gateway to probe begins if it has no share of the limit.
	probesFrom time.Time
}

// bound returns the bound on the requests of all gateways.
func (l *rateLimit) bound() rateBound {
	if l.perSecond == 0 {
		return rateBound{window: limitWindow}
	}
	perSecond := min(l.perSecond, maxLimitPerSecond)
	requests := math.Ceil(perSecond * limitWindow.Seconds())
	window := min(requests/perSecond, maxLimitWindow.Seconds())
	return rateBound{requests: int(requests), window: time.Duration(window * float64(time.Second))}
}

// delayProbes starts the turns to probe anew, one window from now and at another time at each gateway: place is that of the
// gateway in the order for the server. Requests that count in the window may have been sent just before.
func (l *rateLimit) delayProbes(place int, now time.Time) {
	window := l.bound().window
	l.probesFrom = now.Add(window + time.Duration(place)*window)
}

// turn returns the time since the latest turn to probe began, negative before the first one, and the time until the next
// one. The turns of one gateway begin once in an interval.
func (l *rateLimit) turn(interval time.Duration, now time.Time) (since, untilNext time.Duration) {
	since = now.Sub(l.probesFrom)
	if since < 0 {
		return since, -since
	}
	since %= interval
	return since, interval - since
}

// LimitChangeKind says how a response changed what is known of a server's rate limit.
type LimitChangeKind uint8

// The kinds.
const (
	LimitUnchanged LimitChangeKind = iota
	// LimitNamed: the server names a limit and did not before.
	LimitNamed
	// LimitChanged: the server names another limit.
	LimitChanged
	// LimitWithdrawn: the server does not name a limit any more.
	LimitWithdrawn
)

var limitChangeNames = [...]string{"unchanged", "named", "changed", "withdrawn"}

// String returns the name of the kind.
func (k LimitChangeKind) String() string { return limitChangeNames[k] }

// LimitChange is the effect of a response on what is known of a server's rate limit.
type LimitChange struct {
	Kind LimitChangeKind
	// Old and New are the limits in requests a second, 0 without one.
	Old, New float64
	// Share is how many requests this gateway may send in a window, of as many Gateways.
	Share, Gateways int
}

// ObserveLimit records what a response of the server says of its rate limit. A limit that is not valid changes nothing.
func (b *Backend) ObserveLimit(stated exchange.RateLimit, now time.Time) LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := &b.rate.limit
	change := LimitChange{Old: limit.perSecond, New: limit.perSecond}
	switch {
	case !stated.Stated && limit.named:
		change.Kind, change.New = LimitWithdrawn, 0
		*limit = rateLimit{}
	case !stated.Stated, !stated.Valid:
	case !limit.named:
		change.Kind, change.New = LimitNamed, stated.PerSecond
		*limit = rateLimit{named: true, perSecond: stated.PerSecond}
		limit.delayProbes(b.limitView().place(b.server.ID), now)
	case stated.PerSecond != limit.perSecond:
		change.Kind, change.New = LimitChanged, stated.PerSecond
		limit.perSecond = stated.PerSecond
		limit.delayProbes(b.limitView().place(b.server.ID), now)
	}
	if limit.named {
		change.Share, change.Gateways = b.limitShare(now).share, b.limitView().count()
	}
	return change
}

// limitView returns the view of the gateways that share a rate limit.
func (b *Backend) limitView() *gatewayView { return b.gateways.listed.Load() }

// probeInterval returns the time between two turns of a gateway to probe: all gateways together have one turn in a window.
// The caller holds the lock.
func (b *Backend) probeInterval() time.Duration {
	return time.Duration(b.limitView().count()) * b.rate.limit.bound().window
}

// limitShare returns this gateway's share of the requests that the server accepts. While there are fewer requests than
// gateways, one is left for the probes of those without a share. The share is at most half of the requests: a gateway
// whose list is old may not know the others. The server names a limit. The caller holds the lock.
func (b *Backend) limitShare(now time.Time) *boundShare {
	bound, view := b.rate.limit.bound(), b.limitView()
	half := (bound.requests + 1) / 2
	if bound.requests > 0 && bound.requests < view.count() {
		bound.requests--
	}
	b.rate.limited.updateSlowly(bound, half, b.server.ID, view, view.weights[b.server.Service], now)
	return &b.rate.limited
}

// isLimitShareUsed reports whether the server names a rate limit and the given number of requests, with those sent
// before, uses up this gateway's share. A gateway without a share may send one request in each of its turns to probe, so
// that it learns of a change. A turn without a request lapses: otherwise all gateways would probe together after a time
// without requests. The caller holds the lock.
func (b *Backend) isLimitShareUsed(unsent int, now time.Time) bool {
	if !b.rate.limit.named {
		return false
	}
	share := b.limitShare(now)
	if share.share > 0 {
		return b.rate.isUsed(share, unsent, now)
	}
	since, _ := b.rate.limit.turn(b.probeInterval(), now)
	isOpen := since >= 0 && since < share.window
	return !isOpen || unsent > 0 || b.rate.sends.count(since, now) > 0
}

// limitWait returns the time until the server may get a request as far as its rate limit permits. The caller holds the
// lock.
func (b *Backend) limitWait(now time.Time) time.Duration {
	switch {
	case !b.isLimitShareUsed(b.rate.unsent, now):
		return 0
	case b.rate.limited.share > 0:
		return b.rate.wait(&b.rate.limited, now)
	}
	// Another gateway, which the caller may reach with its next attempt, can send a request within a window.
	_, untilTurn := b.rate.limit.turn(b.probeInterval(), now)
	return min(untilTurn, b.rate.limited.window)
}

// HasLimitedServer reports whether this gateway has used its share of the rate limit of a server of a service in the
// regions that is in use.
func (f *Fleet) HasLimitedServer(service string, regions Regions, now time.Time) bool {
	for _, b := range f.Backends(service) {
		b.mu.Lock()
		limited := b.isUsable() && b.isLimitShareUsed(b.rate.unsent, now)
		b.mu.Unlock()
		if limited && b.IsIn(regions) {
			return true
		}
	}
	return false
}

// namesLimit reports whether the server names a rate limit.
func (b *Backend) namesLimit() bool {
	_, named := b.namedLimit()
	return named
}

// namedLimit returns the rate limit that the server names in requests a second, and whether it names one.
func (b *Backend) namedLimit() (perSecond float64, named bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate.limit.perSecond, b.rate.limit.named
}

// CountLimited returns the number of servers that name a rate limit.
func (f *Fleet) CountLimited() int64 {
	n := int64(0)
	for _, b := range f.All() {
		if b.namesLimit() {
			n++
		}
	}
	return n
}
