package balance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usedColdFraction is the part of a cold server's rate that all gateways together use. A gateway that restarts
	// forgets what it has sent, and lists of gateways differ for a while when their number changes; the allowed rate is
	// 1.5 times the server's.
	usedColdFraction = 0.8
	// assumedGateways is the number of gateways assumed while the actual number is unknown.
	assumedGateways = 16
	// gatewayTTL is how long a gateway counts after it was last listed, and how long after the first list the number of
	// gateways counts as unknown if it is below assumedGateways. Gateways that start together list only some of the
	// others; each reads the list again after at most 20 s, and a read may take some seconds.
	gatewayTTL = 25 * time.Second
	// sendWindow is the time in which a cold server's share of requests is counted.
	sendWindow = time.Second
)

// gatewayView is a gateway's knowledge of the gateways that share the servers. It is immutable.
type gatewayView struct {
	self string
	// others are the names of the other gateways, sorted.
	others []string
	// unlisted is the number of gateways that are assumed besides those listed.
	unlisted int
}

// share returns how many requests this gateway may send to a cold server in any sliding second. perSecond is the rate
// of requests that the server can handle from all gateways.
func (v *gatewayView) share(server string, perSecond float64) int {
	total := max(int(usedColdFraction*perSecond), 1)
	gateways := 1 + len(v.others) + v.unlisted
	if total >= gateways {
		return total / gateways
	}
	if v.unlisted > 0 {
		// Each gateway compares itself with placeholder names, so that the number of those that are chosen varies.
		total = max(total/2, 1)
	}
	if v.rank(server) < total {
		return 1
	}
	return 0
}

// rank returns the place of this gateway in the order of all gateways by the rendezvous hash for a server.
func (v *gatewayView) rank(server string) int {
	weight := func(gateway string) uint64 { return xxhash.Sum64String(server + "\x00" + gateway) }
	own, rank := weight(v.self), 0
	for _, other := range v.others {
		if weight(other) > own {
			rank++
		}
	}
	for i := range v.unlisted {
		if weight(fmt.Sprint("\x00", i)) > own {
			rank++
		}
	}
	return rank
}

func (v *gatewayView) equal(other *gatewayView) bool {
	return v.self == other.self && v.unlisted == other.unlisted && slices.Equal(v.others, other.others)
}

// gatewayTracker derives a gatewayView from the lists of gateways that a gateway reads. It is not safe for concurrent
// use.
type gatewayTracker struct {
	lastListed map[string]time.Time
	// firstListed is the time of the first list with a gateway, zero before it.
	firstListed time.Time
}

// observe records the latest list, empty if there is none yet, and returns the view.
func (t *gatewayTracker) observe(self string, listed []string, now time.Time) *gatewayView {
	if t.lastListed == nil {
		t.lastListed = map[string]time.Time{}
	}
	if len(listed) > 0 && t.firstListed.IsZero() {
		t.firstListed = now
	}
	for _, name := range listed {
		t.lastListed[name] = now
	}
	maps.DeleteFunc(t.lastListed, func(name string, at time.Time) bool {
		return name == self || now.Sub(at) >= gatewayTTL
	})
	v := &gatewayView{self: self, others: slices.Sorted(maps.Keys(t.lastListed))}
	if t.firstListed.IsZero() || now.Sub(t.firstListed) < gatewayTTL {
		v.unlisted = max(assumedGateways-1-len(v.others), 0)
	}
	return v
}

// sendLog holds the times of the requests that were sent to a server within the last sendWindow, in order.
type sendLog struct{ sent []time.Time }

// add records a request.
func (l *sendLog) add(now time.Time) {
	l.prune(now)
	if n := len(l.sent); n > 0 && now.Before(l.sent[n-1]) {
		now = l.sent[n-1]
	}
	l.sent = append(l.sent, now)
}

// count returns the number of requests within the last sendWindow.
func (l *sendLog) count(now time.Time) int {
	l.prune(now)
	return len(l.sent)
}

// untilFree returns the time until fewer than share requests are within the last sendWindow.
func (l *sendLog) untilFree(share int, now time.Time) time.Duration {
	if share < 1 || l.count(now) < share {
		return 0
	}
	return l.sent[len(l.sent)-share].Add(sendWindow).Sub(now) + 1
}

// prune removes the requests that were sent more than sendWindow ago.
func (l *sendLog) prune(now time.Time) {
	old := 0
	for old < len(l.sent) && now.Sub(l.sent[old]) > sendWindow {
		old++
	}
	l.sent = slices.Delete(l.sent, 0, old)
}
