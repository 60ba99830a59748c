package admission

import (
	"cmp"
	"math/bits"
	"slices"
)

// numValueClasses is the number of pairs of kind and priority. It must not exceed 64, the bits of classList.used.
const numValueClasses = numKinds * (MaxPriority + 1)

// queueShareSlack is the multiple of its share of a full queue above which a customer's requests are shed before less
// valuable requests of other customers. Without slack, a customer with one request above its share would always be
// shed first, and values would never matter.
const queueShareSlack = 1.25

// customer is the queue's state of one customer.
type customer struct {
	weight  float64
	waiting int
	pos     int32
	flows   [numKinds]flow
	demand  demand
	excess  bool
	byValue classList
}

func newCustomer(weight float64) *customer {
	c := &customer{weight: weight}
	for k := range c.flows {
		c.flows[k].lane = laneOf(Kind(k), false)
	}
	return c
}

// links are the links of an item in a classList.
type links struct{ prev, next *Item }

// classList holds items by value class and finds the newest item of the lowest class in constant time.
type classList struct {
	// last holds the newest item of each value class. Bit i of used is set if class i has items.
	last [numValueClasses]*Item
	used uint64
}

func (l *classList) lowest() *Item {
	if l.used == 0 {
		return nil
	}
	return l.last[bits.TrailingZeros64(l.used)]
}

func (l *classList) add(it *Item, of func(*Item) *links) {
	before := l.last[it.valueClass]
	*of(it) = links{prev: before}
	if before != nil {
		of(before).next = it
	}
	l.last[it.valueClass] = it
	l.used |= 1 << it.valueClass
}

func (l *classList) remove(it *Item, of func(*Item) *links) {
	n := *of(it)
	if n.prev != nil {
		of(n.prev).next = n.next
	}
	if n.next != nil {
		of(n.next).prev = n.prev
	} else {
		l.last[it.valueClass] = n.prev
		if n.prev == nil {
			l.used &^= 1 << it.valueClass
		}
	}
	*of(it) = links{}
}

func inCustomer(it *Item) *links { return &it.inCustomer }
func inAll(it *Item) *links      { return &it.inAll }

// shedder selects the request to shed when the queue is full.
type shedder struct {
	// valueClass ranks pairs of kind and priority by value; 0 is the lowest.
	valueClass [numKinds][MaxPriority + 1]uint8
	all        classList
	// byBacklog orders customers by waiting requests per unit of weight, highest first.
	byBacklog indexedHeap[*customer]
	weight    float64
	n         int
}

func newShedder(kindWeight [numKinds]float64) *shedder {
	s := &shedder{}
	s.byBacklog.pos = func(c *customer) *int32 { return &c.pos }
	s.byBacklog.less = func(a, b *customer) bool { return a.backlog() > b.backlog() }
	type pair struct {
		kind, priority int
		value          float64
	}
	var pairs []pair
	for k := range numKinds {
		for p := range MaxPriority + 1 {
			pairs = append(pairs, pair{k, p, kindWeight[k] * float64(p+1)})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(a.value, b.value) })
	for i, p := range pairs {
		s.valueClass[p.kind][p.priority] = uint8(i)
	}
	return s
}

// backlog returns the number of waiting requests per unit of weight.
func (c *customer) backlog() float64 { return float64(c.waiting) / c.weight }

func (s *shedder) push(it *Item) {
	c := it.cust
	it.valueClass = s.valueClass[it.Kind][it.Priority]
	s.all.add(it, inAll)
	c.byValue.add(it, inCustomer)
	s.n++
	c.waiting++
	if c.waiting == 1 {
		s.weight += c.weight
		s.byBacklog.push(c)
		return
	}
	s.byBacklog.fix(c)
}

func (s *shedder) remove(it *Item) {
	c := it.cust
	s.all.remove(it, inAll)
	c.byValue.remove(it, inCustomer)
	s.n--
	c.waiting--
	if c.waiting == 0 {
		s.weight -= c.weight
		s.byBacklog.remove(c)
		return
	}
	s.byBacklog.fix(c)
}

func (s *shedder) setWeight(c *customer, weight float64) {
	if c.waiting == 0 {
		c.weight = weight
		return
	}
	s.weight += weight - c.weight
	c.weight = weight
	s.byBacklog.fix(c)
}

// victim returns the item to shed when a newcomer arrives at a full queue, and the reason. If the customer with the
// largest backlog exceeds its share of the queue, that is its least valuable item, otherwise the least valuable item of
// all. The newcomer is shed instead if it is not more valuable than that item, unless another customer exceeds its
// share.
func (s *shedder) victim(newcomer *Item) (*Item, Reason) {
	c := newcomer.cust
	newcomer.valueClass = s.valueClass[newcomer.Kind][newcomer.Priority]
	weight, backlog := s.weight, float64(c.waiting+1)/c.weight
	if c.waiting == 0 {
		weight += c.weight
	}
	bound := queueShareSlack * float64(s.n+1) / weight
	busiest := s.byBacklog.min()
	if backlog >= busiest.backlog() {
		busiest = c
	} else {
		backlog = busiest.backlog()
	}
	list, reason := &s.all, ShedValue
	if backlog > bound {
		list, reason = &busiest.byValue, ShedShare
	}
	low := list.lowest()
	if reason == ShedShare && busiest != c {
		return low, reason
	}
	if low == nil || newcomer.valueClass <= low.valueClass {
		return newcomer, reason
	}
	return low, reason
}
