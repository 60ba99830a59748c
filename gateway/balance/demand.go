package balance

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandSeconds is the number of seconds over which the demand is averaged.
	demandSeconds = 8
	// A demand is published again when it has changed by more than demandTolerance, as a fraction of the larger value, and
	// demandSlack, in requests a second. Each change moves the shares of other gateways too.
	demandTolerance = 0.3
	demandSlack     = 2.0
)

// demandTable counts the requests of callers by service. It is safe for concurrent use.
type demandTable struct {
	mu       sync.Mutex
	services map[string]*demandCounter
}

// demandCounter counts requests in the current second and in each of the demandSeconds seconds before.
type demandCounter struct {
	started time.Time
	// second is the current second since started.
	second int
	counts [demandSeconds + 1]int
	// published is the demand as last published, in requests a second.
	published float64
}

// current returns the count of the current second. It empties those of the seconds that have begun since the last call.
func (c *demandCounter) current(now time.Time) *int {
	second := int(now.Sub(c.started) / time.Second)
	for range min(max(second-c.second, 0), len(c.counts)) {
		c.second++
		c.counts[c.second%len(c.counts)] = 0
	}
	c.second = max(c.second, second)
	return &c.counts[c.second%len(c.counts)]
}

// perSecond returns the mean rate in the seconds before the current one.
func (c *demandCounter) perSecond(now time.Time) float64 {
	total := -*c.current(now)
	for _, n := range c.counts {
		total += n
	}
	return float64(total) / demandSeconds
}

// publish returns the demand to be published.
func (c *demandCounter) publish(now time.Time) float64 {
	demand := c.perSecond(now)
	if math.Abs(demand-c.published) > demandTolerance*max(demand, c.published)+demandSlack {
		c.published = demand
	}
	return c.published
}

// CountRequest counts a request of a caller for a service as demand, also one that is refused.
func (f *Fleet) CountRequest(service string, now time.Time) {
	t := &f.demand
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.services[service]
	if !ok {
		if t.services == nil {
			t.services = map[string]*demandCounter{}
		}
		c = &demandCounter{started: now}
		t.services[service] = c
	}
	*c.current(now)++
}

// LimitedDemand returns the demand at this gateway that is to be published, in requests a second, by service, for the
// services with a server that names a rate limit. It is nil if there are none.
func (f *Fleet) LimitedDemand(now time.Time) map[string]float64 {
	t := &f.demand
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]float64
	for service, c := range t.services {
		if !slices.ContainsFunc(f.Backends(service), (*Backend).namesLimit) {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[service] = c.publish(now)
	}
	return out
}
