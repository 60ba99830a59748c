package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// assumedGateways is the number of gateways assumed while the actual number is unknown.
	assumedGateways = 16
	// gatewayTTL is how long a gateway counts after it was last listed, and how long after the first list the number of
	// gateways counts as unknown if it is below assumedGateways. Gateways that start together list only some of the
	// others; each reads the list again after at most 20 s, and a read may take some seconds.
	gatewayTTL = 25 * time.Second
)

// gatewayView is a gateway's knowledge of the gateways that share the servers. It is immutable.
type gatewayView struct {
	self string
	// others are the names of the other gateways, sorted.
	others []string
	// unlisted is the number of gateways that are assumed besides those listed.
	unlisted int
	// weights are the weights of the gateways by service, from their demand.
	weights map[string]gatewayWeights
}

// gatewayWeights are the relative sizes of the gateways' shares by name, nil for equal shares. A gateway without a weight
// has the mean of those that have one. Weights are not negative.
type gatewayWeights map[string]float64

// weightSmoothing is added to each demand, in requests a second. It keeps a part of the limits for the requests that may
// come to a gateway without demand, and the shares of gateways with little demand about equal, as it varies by chance.
const weightSmoothing = 2.0

// weightsOf returns the weights of gateways with the given demand.
func weightsOf(demand map[string]float64) gatewayWeights {
	out := make(gatewayWeights, len(demand))
	for name, rate := range demand {
		out[name] = rate + weightSmoothing
	}
	return out
}

// count returns the number of gateways, this one and those that are assumed included.
func (v *gatewayView) count() int { return 1 + len(v.others) + v.unlisted }

// share returns this gateway's part of a number of requests to a server by the weights of the gateways. The shares of all
// gateways with the same view add up to the number, and each differs by less than 1 from its exact part.
//
// It is a systematic sample: the gateways, in an order that depends on the server, divide the range from 0 to the
// number of requests by their weights. Each gateway may send one request for each of the points offset, offset+1 and so
// on in its part.
func (v *gatewayView) share(server string, requests int, weights gatewayWeights) int {
	if v.unlisted > 0 {
		requests = v.roundForUnlisted(requests)
	}
	before, own, total := v.weightsInOrder(server, weights)
	offset := hashFraction(server)
	pointsBelow := func(weight float64) int { return int(math.Floor(weight/total*float64(requests) + offset)) }
	return pointsBelow(before+own) - pointsBelow(before)
}

// roundForUnlisted returns the number of requests to share with gateways that are only assumed. Each gateway then has a
// place of its own among placeholder names, so that the sum of the shares varies: it is rounded down to equal shares,
// or halved if there are fewer requests than gateways.
func (v *gatewayView) roundForUnlisted(requests int) int {
	if gateways := v.count(); requests >= gateways {
		return requests / gateways * gateways
	}
	return min(max(requests/2, 1), requests)
}

// weightsInOrder returns the sum of the weights of the gateways before this one in the order for a server, the weight of
// this gateway, and the sum of all weights.
func (v *gatewayView) weightsInOrder(server string, weights gatewayWeights) (before, own, total float64) {
	mean := v.meanWeight(weights)
	for _, gateway := range v.order(server) {
		weight, known := weights[gateway]
		switch {
		case mean == 0:
			weight = 1
		case !known:
			weight = mean
		}
		if gateway == v.self {
			before, own = total, weight
		}
		total += weight
	}
	return before, own, total
}

// meanWeight returns the mean of the known weights of gateways, 0 if they have none.
func (v *gatewayView) meanWeight(weights gatewayWeights) float64 {
	sum, known := 0.0, 0
	for _, gateway := range slices.Sorted(slices.Values(append(slices.Clone(v.others), v.self))) {
		if weight, ok := weights[gateway]; ok {
			sum += weight
			known++
		}
	}
	return sum / float64(max(known, 1))
}

// order returns the names of all gateways in the order of their hash with a server. All gateways add up the weights in
// this order, so that their sums are rounded alike.
func (v *gatewayView) order(server string) []string {
	names := make([]string, 0, v.count())
	names = append(append(names, v.self), v.others...)
	for i := range v.unlisted {
		names = append(names, fmt.Sprint("\x00", i))
	}
	type hashedName struct {
		hash uint64
		name string
	}
	hashed := make([]hashedName, len(names))
	for i, name := range names {
		hashed[i] = hashedName{xxhash.Sum64String(server + "\x00" + name), name}
	}
	slices.SortFunc(hashed, func(a, b hashedName) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	for i, h := range hashed {
		names[i] = h.name
	}
	return names
}

// place returns the number of gateways before this one in the order for a server.
func (v *gatewayView) place(server string) int { return slices.Index(v.order(server), v.self) }

// hashFraction returns a number in [0, 1) that is determined by a text. It has 32 bits, so that its sum with a number of
// requests is exact.
func hashFraction(text string) float64 {
	const bits = 32
	return float64(xxhash.Sum64String(text)>>bits) / (1 << bits)
}

func (v *gatewayView) equal(other *gatewayView) bool {
	return v.self == other.self && v.unlisted == other.unlisted && slices.Equal(v.others, other.others) &&
		maps.EqualFunc(v.weights, other.weights, func(a, b gatewayWeights) bool { return maps.Equal(a, b) })
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

// hasList reports whether a list with a gateway was read.
func (t *gatewayTracker) hasList() bool { return !t.firstListed.IsZero() }

// gatewayTable holds the views of the gateways that the fleet and its backends share. It is safe for concurrent use.
type gatewayTable struct {
	// assumed is the view for bounds that must hold while gateways may not be listed yet.
	assumed atomic.Pointer[gatewayView]
	// listed is the view without gateways that are only assumed, once there is a list.
	listed atomic.Pointer[gatewayView]

	mu      sync.Mutex
	tracker gatewayTracker
	weights map[string]gatewayWeights
}

func newGatewayTable() *gatewayTable {
	t := &gatewayTable{}
	v := &gatewayView{unlisted: assumedGateways - 1}
	t.assumed.Store(v)
	t.listed.Store(v)
	return t
}

// observe records the latest list of gateways.
func (t *gatewayTable) observe(self string, listed []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	assumed := t.tracker.observe(self, listed, now)
	replaceView(&t.assumed, assumed)
	if t.tracker.hasList() {
		listedOnly := *assumed
		listedOnly.unlisted, listedOnly.weights = 0, t.weights
		replaceView(&t.listed, &listedOnly)
		return
	}
	replaceView(&t.listed, assumed)
}

// replaceView replaces a view by another one unless they are equal, so that the shares are computed again only after a
// change.
func replaceView(current *atomic.Pointer[gatewayView], v *gatewayView) {
	if !v.equal(current.Load()) {
		current.Store(v)
	}
}

// SetGateways sets the name of this gateway and the names of the gateways listed at the last read, empty before the
// first one. It must be called several times a second, as names that are no longer listed expire.
func (f *Fleet) SetGateways(self string, listed []string, now time.Time) {
	f.gateways.observe(self, listed, now)
}

// CountGateways returns the number of gateways for which the shares of cold servers are computed, this one included.
func (f *Fleet) CountGateways() int { return f.gateways.assumed.Load().count() }

// SetDemand sets the demand of the gateways in requests a second, by service and name, as they have published it. This
// gateway counts with what it has published itself, so that the gateways agree on their shares. It takes effect with the next
// call of SetGateways.
func (f *Fleet) SetDemand(byService map[string]map[string]float64) {
	weights := make(map[string]gatewayWeights, len(byService))
	for service, demand := range byService {
		weights[service] = weightsOf(demand)
	}
	t := f.gateways
	t.mu.Lock()
	defer t.mu.Unlock()
	t.weights = weights
}
