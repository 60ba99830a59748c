package admission

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant over which the use of customers is compared.
	shareWindow = 5 * time.Second
	// activeTimeout is the time since its last request for which a customer counts in the division of capacity.
	activeTimeout = 10 * time.Second
	// shareSlack is the multiple of its share from which on a customer's work counts as excess.
	shareSlack = 1.2
	// enforcedUtilization is the part of the slots from which on shares are enforced. The learned limit may lie a quarter
	// above the capacity, so that a full server need not use all slots over the window.
	enforcedUtilization = 0.75
)

// demand is the work that one customer offers.
type demand struct {
	// work is in seconds of service and decays over shareWindow.
	work          float64
	at            time.Duration
	active        bool
	countedWeight float64
	prev          *customer
	next          *customer
}

// demandTracker tells which customers offer more than their share of the capacity over all kinds. Fair queueing within
// each kind does not see that: a flood of a preferred kind would starve the less preferred kinds of everyone
// else. Offered work is compared, not work that ran, because the latter is even as soon as sharing works.
type demandTracker struct {
	work float64
	at   time.Duration
	// weight is the sum over active customers, which are listed by their last request, oldest first.
	weight      float64
	first, last *customer
}

// decay returns what is left of an amount after some time with the given time constant.
func decay(work float64, from, to, window time.Duration) float64 {
	return work * math.Exp(-float64(to-from)/float64(window))
}

// occupancyWindow is the time constant of an occupancy.
const occupancyWindow = time.Second

// occupancy is the running mean of the slots that a kind keeps busy.
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

// record counts work that a customer asks for.
func (s *demandTracker) record(c *customer, now time.Duration, work float64) {
	d := &c.demand
	if d.active {
		s.unlink(c)
	}
	for s.first != nil && s.first.demand.at+activeTimeout < now {
		s.unlink(s.first)
	}
	s.work = decay(s.work, s.at, now, shareWindow) + work
	s.at = now
	d.work = decay(d.work, d.at, now, shareWindow) + work
	d.at = now
	s.link(c)
}

func (s *demandTracker) link(c *customer) {
	d := &c.demand
	d.active, d.countedWeight = true, c.weight
	s.weight += c.weight
	d.prev, d.next = s.last, nil
	if s.last != nil {
		s.last.demand.next = c
	} else {
		s.first = c
	}
	s.last = c
}

func (s *demandTracker) unlink(c *customer) {
	d := &c.demand
	if d.prev != nil {
		d.prev.demand.next = d.next
	} else {
		s.first = d.next
	}
	if d.next != nil {
		d.next.demand.prev = d.prev
	} else {
		s.last = d.prev
	}
	s.weight -= d.countedWeight
	d.active, d.prev, d.next = false, nil, nil
}

// exceedsShare says whether the offered work fills the given number of slots, and the customer, which has just
// offered some, asks for more than shareSlack times its share of them.
func (s *demandTracker) exceedsShare(c *customer, slots int) bool {
	capacity := float64(slots) * shareWindow.Seconds()
	return s.work > enforcedUtilization*capacity && c.demand.work*s.weight > shareSlack*capacity*c.weight
}
