package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of precedence by priority.
const (
	// numPriorities is the number of priorities; 0 is the most urgent.
	numPriorities = 10
	// classMemory is how long a priority counts as present after its last arrival.
	classMemory = 10 * time.Second
	// arrivalTime is the time constant of the moving averages of arrival rates. It is short because the bursts to be
	// seen last 4 to 6 s.
	arrivalTime = time.Second
	// guaranteedFraction is the rate of service that each waiting class is guaranteed, relative to that of all requests.
	// It is more than the required minimum of a quarter because a class that is refused on arrival does not wait, and
	// because a class at the minimum would be served, but mostly late.
	guaranteedFraction = 0.65
	// retryFraction is the part of the permits that is guaranteed to waiting retries. Larger parts serve more callers,
	// but fewer of them on time (docs/design/precedence.md).
	retryFraction = 0.2
	// maxCredit bounds the permits that a class can be owed.
	maxCredit = 3
)

// precedence decides in which order waiting requests of different priorities get permits, and which of them cannot be
// served in time. It has no clock and does no I/O. It is not safe for concurrent use.
type precedence struct {
	classes [numPriorities]priorityClass
	// retryCredit is the number of permits that waiting retries are owed.
	retryCredit float64
}

// priorityClass is the state of one priority.
type priorityClass struct {
	lastArrival time.Time
	// rate is the moving average of the arrivals per second at lastArrival.
	rate float64
	// credit is the number of permits that the waiting requests are owed.
	credit float64
}

// clampPriority returns the nearest valid priority.
func clampPriority(p int) int { return min(max(p, 0), numPriorities-1) }

// observeArrival records a request that arrives.
func (p *precedence) observeArrival(priority int, now time.Time) {
	c := &p.classes[clampPriority(priority)]
	c.rate = c.arrivalRate(now) + 1/arrivalTime.Seconds()
	c.lastArrival = now
}

// arrivalRate returns the moving average of the arrivals per second.
func (c *priorityClass) arrivalRate(now time.Time) float64 {
	if c.rate == 0 {
		return 0
	}
	return c.rate * math.Exp(-now.Sub(c.lastArrival).Seconds()/arrivalTime.Seconds())
}

// applies reports whether requests of more than one priority have arrived lately. Otherwise the order without
// priorities applies.
func (p *precedence) applies(now time.Time) bool {
	present := 0
	for i := range p.classes {
		if c := &p.classes[i]; c.rate > 0 && now.Sub(c.lastArrival) < classMemory {
			present++
		}
	}
	return present > 1
}

// guaranteedParts returns the part of the permits that each class is guaranteed while it waits.
func (p *precedence) guaranteedParts(now time.Time) [numPriorities]float64 {
	var parts [numPriorities]float64
	total := 0.0
	for i := range p.classes {
		parts[i] = p.classes[i].arrivalRate(now)
		total += parts[i]
	}
	for i := range parts {
		parts[i] *= guaranteedFraction / max(total, math.SmallestNonzeroFloat64)
	}
	return parts
}

// Tiers of waiting requests, in the order in which they get permits.
const (
	tierMove = iota
	// tierUrgent contains retries, whose callers do not return, and requests that can be on time.
	tierUrgent
	tierLate
)

func (w *waiter) tier(now time.Time) int {
	switch {
	case w.isMove:
		return tierMove
	case w.isRetry || !w.isLate(now):
		return tierUrgent
	}
	return tierLate
}

// compareByPriority orders waiting requests of different priorities. Within a class, retries go before new requests,
// because their callers do not return.
func compareByPriority(a, b *waiter, now time.Time) int {
	return compareWaiters(a, b, true, now)
}

// compareOwed orders the waiting requests of a class for the permits that it is guaranteed: new requests that can be on
// time go before retries, most of which are late. If a class gets only these permits, its requests would otherwise all
// wait until they are late.
func compareOwed(a, b *waiter, now time.Time) int {
	return compareWaiters(a, b, false, now)
}

func compareWaiters(a, b *waiter, retriesFirst bool, now time.Time) int {
	if c := cmp.Or(cmp.Compare(a.tier(now), b.tier(now)), cmp.Compare(a.priority, b.priority)); c != 0 {
		return c
	}
	switch {
	case a.tier(now) != tierUrgent:
		return a.arrived.Compare(b.arrived)
	case a.isRetry != b.isRetry && a.isRetry == retriesFirst:
		return -1
	case a.isRetry != b.isRetry:
		return 1
	case a.isRetry:
		return a.waitsUntil.Compare(b.waitsUntil)
	}
	return a.onTimeUntil.Compare(b.onTimeUntil)
}

// next returns the index of the request that gets the next permit in a group, -1 if there is none. Retries or a class
// that are owed a permit go before the others, but not before streams that have started.
func (p *precedence) next(waiting []*waiter, group string, now time.Time) int {
	eligible := func(w *waiter) bool { return w.filter.permits(group) }
	best := first(waiting, eligible, compareByPriority, now)
	if best < 0 || waiting[best].isMove {
		return best
	}
	owed, credit := 0, 0.0
	retries := false
	for _, w := range waiting {
		if c := p.classes[w.priority].credit; eligible(w) && c > credit {
			owed, credit, retries = w.priority, c, false
		}
		if w.isRetry && eligible(w) && p.retryCredit > credit {
			credit, retries = p.retryCredit, true
		}
	}
	switch {
	case credit < 1:
		return best
	case retries:
		return first(waiting, func(w *waiter) bool { return w.isRetry && eligible(w) }, compareByPriority, now)
	}
	return first(waiting, func(w *waiter) bool { return w.priority == owed && eligible(w) }, compareOwed, now)
}

// observeAdmission updates the credits after a permit was given to a request that waited among the others.
func (p *precedence) observeAdmission(admitted *waiter, others []*waiter, now time.Time) {
	var isWaiting [numPriorities]bool
	retriesWait := admitted.isRetry
	isWaiting[admitted.priority] = true
	for _, w := range others {
		isWaiting[w.priority] = true
		retriesWait = retriesWait || w.isRetry
	}
	parts := p.guaranteedParts(now)
	for i := range p.classes {
		p.classes[i].credit = nextCredit(p.classes[i].credit, parts[i], isWaiting[i], admitted.priority == i)
	}
	p.retryCredit = nextCredit(p.retryCredit, retryFraction, retriesWait, admitted.isRetry)
}

// nextCredit returns the credit after one permit. A class that does not wait is owed nothing.
func nextCredit(credit, guaranteed float64, isWaiting, served bool) float64 {
	if !isWaiting {
		return 0
	}
	credit += guaranteed
	if served {
		credit--
	}
	return min(max(credit, 0), maxCredit)
}

// permitSupply describes the permits that become free.
type permitSupply struct {
	// rate is in permits per second. excess is the number of streams that have to end before a permit is free.
	rate   float64
	excess int
}

// expectedWait returns the expected wait of a request behind the given numbers of other requests in all and of its own
// class, which is guaranteed a part of the permits.
func (s permitSupply) expectedWait(before, beforeInClass int, guaranteed float64) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	inOrder := float64(before+s.excess+1) / s.rate
	if guaranteed > 0 {
		inOrder = min(inOrder, float64(beforeInClass+1)/(guaranteed*s.rate)+float64(s.excess)/s.rate)
	}
	return time.Duration(inOrder * float64(time.Second))
}

// wait returns the expected wait of a request that is not in the queue yet, and the number of requests before it.
func (p *precedence) wait(w *waiter, waiting []*waiter, s permitSupply, now time.Time) (time.Duration, int) {
	before, inClass := 0, 0
	for _, other := range waiting {
		if compareByPriority(other, w, now) > 0 {
			continue
		}
		before++
		if other.priority == w.priority {
			inClass++
		}
	}
	return s.expectedWait(before, inClass, p.guaranteedParts(now)[w.priority]), before
}

// shortestRetryWait returns the wait of a retry if only retries got permits. It bounds the number of retries that wait.
func shortestRetryWait(w *waiter, waiting []*waiter, s permitSupply, now time.Time) time.Duration {
	before := 0
	for _, other := range waiting {
		if other.isRetry && compareByPriority(other, w, now) <= 0 {
			before++
		}
	}
	return s.expectedWait(before, before, 0)
}

// unservableRequest is a waiting request that is not expected to get a permit in time.
type unservableRequest struct {
	waiter *waiter
	// wait is its expected wait, ahead the number of requests before it.
	wait  time.Duration
	ahead int
}

// unservable returns the waiting requests whose expected wait is longer than they may wait. Retries are never among
// them, because their callers would not return.
func (p *precedence) unservable(waiting []*waiter, s permitSupply, now time.Time) []unservableRequest {
	ordered := slices.Clone(waiting)
	slices.SortStableFunc(ordered, func(a, b *waiter) int { return compareByPriority(a, b, now) })
	var out []unservableRequest
	var inClass [numPriorities]int
	parts := p.guaranteedParts(now)
	kept := 0
	for _, w := range ordered {
		wait := s.expectedWait(kept, inClass[w.priority], parts[w.priority])
		if !w.isMove && !w.isRetry && now.Add(wait).After(w.waitsUntil) {
			out = append(out, unservableRequest{waiter: w, wait: wait, ahead: kept})
			continue
		}
		kept++
		inClass[w.priority]++
	}
	return out
}
