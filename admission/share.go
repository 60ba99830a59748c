package admission

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant of the exponential decay of customers' offered work.
	shareWindow = 5 * time.Second
	// activeTimeout is the time after its last request for which a customer counts as active, so that it gets a share
	// of the capacity.
	activeTimeout = 10 * time.Second
	// shareSlack is the multiple of its share above which a customer exceeds it.
	shareSlack = 1.2
	// enforcedUtilization is the utilization above which shares are enforced. It is below 1 because the adaptive limit
	// may exceed the capacity by a quarter, so that a saturated server does not use all slots.
	enforcedUtilization = 0.75
)

// demand is the offered work of one customer.
type demand struct {
	// work is the offered service time in seconds, which decays over shareWindow.
	work   float64
	at     time.Duration
	active bool
	// countedWeight is the weight of the customer that demandTracker.weight includes.
	countedWeight float64
	prev          *customer
	next          *customer
}

// demandTracker finds customers whose offered work over all kinds exceeds their share of the capacity. Fair queueing
// within each kind cannot detect that: a flood of a preferred kind would starve the less preferred kinds of all other
// customers. It compares offered work, because completed work no longer shows the excess once shares are enforced.
type demandTracker struct {
	// work is the total offered service time in seconds of all customers, which decays over shareWindow.
	work float64
	at   time.Duration
	// weight is the total weight of the active customers, which are listed by their last request, oldest first.
	weight      float64
	first, last *customer
}

// decay returns the remainder of work after exponential decay between two times with the given time constant.
func decay(work float64, from, to, window time.Duration) float64 {
	return work * math.Exp(-float64(to-from)/float64(window))
}

// occupancyWindow is the time constant of an occupancy.
const occupancyWindow = time.Second

// occupancy is the exponentially weighted mean number of slots that a kind occupies.
type occupancy struct {
	running int
	value   float64
	at      time.Duration
}

func (o *occupancy) mean(now time.Duration) float64 {
	return float64(o.running) + decay(o.value-float64(o.running), o.at, now, occupancyWindow)
}

func (o *occupancy) add(now time.Duration, by int) {
	o.value = o.mean(now)
	o.at = now
	o.running += by
}

// record adds work in seconds to the demand of a customer and marks the customer as active.
func (t *demandTracker) record(c *customer, now time.Duration, work float64) {
	d := &c.demand
	if d.active {
		t.unlink(c)
	}
	for t.first != nil && t.first.demand.at+activeTimeout < now {
		t.unlink(t.first)
	}
	t.work = decay(t.work, t.at, now, shareWindow) + work
	t.at = now
	d.work = decay(d.work, d.at, now, shareWindow) + work
	d.at = now
	t.link(c)
}

func (t *demandTracker) link(c *customer) {
	d := &c.demand
	d.active, d.countedWeight = true, c.weight
	t.weight += c.weight
	d.prev, d.next = t.last, nil
	if t.last != nil {
		t.last.demand.next = c
	} else {
		t.first = c
	}
	t.last = c
}

func (t *demandTracker) unlink(c *customer) {
	d := &c.demand
	if d.prev != nil {
		d.prev.demand.next = d.next
	} else {
		t.first = d.next
	}
	if d.next != nil {
		d.next.demand.prev = d.prev
	} else {
		t.last = d.prev
	}
	t.weight -= d.countedWeight
	d.active, d.prev, d.next = false, nil, nil
}

// exceedsShare reports whether the offered work exceeds enforcedUtilization of the slots and the customer's demand
// exceeds shareSlack times its share of them. The customer's demand must have been recorded at the same time.
func (t *demandTracker) exceedsShare(c *customer, slots int) bool {
	capacity := float64(slots) * shareWindow.Seconds()
	return t.work > enforcedUtilization*capacity && c.demand.work*t.weight > shareSlack*capacity*c.weight
}
