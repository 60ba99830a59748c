package balance

import (
	"slices"
	"time"
)

// rateBound is how many requests all gateways together may send to a server in any sliding window.
type rateBound struct {
	requests int
	window   time.Duration
}

// boundShare is this gateway's share of the requests of a bound. The zero value is a share of nothing.
type boundShare struct {
	rateBound
	// view is the view from which the share follows.
	view  *gatewayView
	share int
	// grown replaces the share at growsAt, unless that is zero.
	grown   int
	growsAt time.Time
}

// update makes it the share of a bound on the requests to a server, by weights that belong to the view. It computes the
// share only after a change.
func (s *boundShare) update(bound rateBound, server string, view *gatewayView, weights gatewayWeights) {
	if s.view != view || s.rateBound != bound {
		*s = boundShare{rateBound: bound, view: view, share: view.share(server, bound.requests, weights)}
	}
}

// updateSlowly is update with an upper bound of the share. When the share grows because those of other gateways shrink, the
// new one counts only after a window: until then, what the others have sent counts too.
func (s *boundShare) updateSlowly(bound rateBound, most int, server string, view *gatewayView, weights gatewayWeights, now time.Time) {
	if s.view != view || s.rateBound != bound {
		share := min(view.share(server, bound.requests, weights), most)
		if s.view == nil || s.rateBound != bound || share <= s.share {
			*s = boundShare{rateBound: bound, view: view, share: share}
			return
		}
		s.view, s.grown = view, share
		if s.growsAt.IsZero() {
			s.growsAt = now.Add(bound.window)
		}
	}
	if !s.growsAt.IsZero() && !now.Before(s.growsAt) {
		s.share, s.growsAt = s.grown, time.Time{}
	}
}

// rateState is what a backend knows of the requests that count in its bounds. It is guarded by the backend's lock.
type rateState struct {
	// unsent counts the requests that are assigned to the server and neither sent nor ended.
	unsent int
	sends  sendLog
	// cold is the share of the bound that applies while the server is cold.
	cold boundShare
	// limit is the rate limit that the server names, limited the share of its bound.
	limit   rateLimit
	limited boundShare
}

// clone returns a copy for the time after which no request that is assigned now can still be sent.
func (r *rateState) clone() rateState {
	copied := *r
	copied.unsent, copied.sends = 0, sendLog{slices.Clone(r.sends.sent)}
	return copied
}

// isUsed reports whether a number of requests, with those sent within the window, uses up a share.
func (r *rateState) isUsed(s *boundShare, unsent int, now time.Time) bool {
	return unsent+r.sends.count(s.window, now) >= s.share
}

// wait returns the time until a share that is not 0 permits another request, 0 if it does now.
func (r *rateState) wait(s *boundShare, now time.Time) time.Duration {
	if !r.isUsed(s, r.unsent, now) {
		return 0
	}
	if free := r.sends.untilFree(s.share, s.window, now); free > 0 {
		return free
	}
	return s.window // The share is used by requests that are not sent yet.
}

// isShareUsed reports whether the given number of requests, with those sent before, uses up this gateway's share of a
// bound on the requests to the server. The caller holds the lock.
func (b *Backend) isShareUsed(unsent int, now time.Time) bool {
	return b.isColdShareUsed(unsent, now) || b.isLimitShareUsed(unsent, now)
}

// loggedWindow returns how long the times of the requests that are sent must be kept, 0 if no bound can apply to them. The
// caller holds the lock.
func (b *Backend) loggedWindow() time.Duration {
	window := time.Duration(0)
	if b.warmups.of(b.server.Service).Applies() {
		window = coldWindow
	}
	if b.rate.limit.named {
		window = max(window, b.rate.limit.bound().window)
	}
	return window
}

// TrySend reports whether a request for which the server was chosen may be written to it now, and counts the request if
// so. It must be called between Begin and End.
func (b *Backend) TrySend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accepts(now) {
		return false
	}
	b.rate.unsent--
	if window := b.loggedWindow(); window > 0 {
		b.rate.sends.add(window, now)
	}
	return true
}

// CancelSend records that a request that was begun has ended without a successful TrySend.
func (b *Backend) CancelSend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate.unsent--
}

// boundWait returns the time until the server may get a request as far as its bounds and a suspension permit, and
// whether it is in use.
func (b *Backend) boundWait(now time.Time) (wait time.Duration, inUse bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	suspended := max(b.suspension.until.Sub(now), 0)
	return max(suspended, b.coldWait(now), b.limitWait(now)), b.isUsable()
}

// BoundFor returns the time until the first server of a service in the regions may get a request, 0 unless all of them are
// at a bound or suspended.
func (f *Fleet) BoundFor(service string, regions Regions, now time.Time) time.Duration {
	return f.shortestWait(service, func(b *Backend) (time.Duration, bool) {
		wait, inUse := b.boundWait(now)
		return wait, inUse && b.IsIn(regions)
	})
}

// sendLog holds the times of the latest requests that were sent to a server, in order.
type sendLog struct{ sent []time.Time }

// add records a request, and forgets those that were sent before the window.
func (l *sendLog) add(window time.Duration, now time.Time) {
	l.sent = slices.Delete(l.sent, 0, len(l.sent)-l.count(window, now))
	if n := len(l.sent); n > 0 && now.Before(l.sent[n-1]) {
		now = l.sent[n-1]
	}
	l.sent = append(l.sent, now)
}

// count returns the number of requests within a window that ends now.
func (l *sendLog) count(window time.Duration, now time.Time) int {
	first, _ := slices.BinarySearchFunc(l.sent, now.Add(-window), time.Time.Compare)
	return len(l.sent) - first
}

// untilFree returns the time until fewer than share requests are within the window.
func (l *sendLog) untilFree(share int, window time.Duration, now time.Time) time.Duration {
	if share < 1 || l.count(window, now) < share {
		return 0
	}
	return l.sent[len(l.sent)-share].Add(window).Sub(now) + 1
}
