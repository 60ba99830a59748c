package admission

import "time"

// PolicyName selects the order in which waiting requests start.
type PolicyName string

// The policies. FIFO and Priority are baselines.
const (
	Fair     PolicyName = "fair"
	FIFO     PolicyName = "fifo"
	Priority PolicyName = "priority"
)

// policy orders the waiting items. It is not safe for concurrent use.
type policy interface {
	// Push adds an item.
	Push(it *Item)
	// Pop removes and returns the next item, or nil if none may start. Items of kind Long may start only if
	// longAllowed is true.
	Pop(longAllowed bool) *Item
	// Remove removes a waiting item.
	Remove(it *Item)
	// WorkAhead returns the predicted total service time in seconds of the waiting items that would start before an
	// item that arrives now.
	WorkAhead(it *Item) float64
	// CanBypass reports whether an arriving item of the kind may start before all waiting items if a slot is available to
	// its kind.
	CanBypass(k Kind) bool
	// SetExcess records whether a customer exceeds its share of a saturated server.
	SetExcess(c *customer, excess bool)
	// Len returns the number of waiting items.
	Len() int
}

// orderedPolicy is a baseline: one queue in order of arrival or priority, without fair queueing, aging or kinds. If the
// first item is of kind Long and may not start, no item starts.
type orderedPolicy struct {
	heap indexedHeap[*Item]
	// work is the total service time in seconds of the waiting items, by priority.
	work [MaxPriority + 1]float64
	// byPriority puts higher priorities first; otherwise the order is that of arrival.
	byPriority bool
}

func newOrderedPolicy(byPriority bool) *orderedPolicy {
	o := &orderedPolicy{byPriority: byPriority}
	o.heap.pos = func(it *Item) *int32 { return &it.orderPos }
	o.heap.less = func(a, b *Item) bool {
		if byPriority && a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		return a.seq < b.seq
	}
	return o
}

func (o *orderedPolicy) Push(it *Item) {
	o.heap.push(it)
	o.work[it.Priority] += it.serviceSeconds
}

func (o *orderedPolicy) Pop(longAllowed bool) *Item {
	if o.heap.empty() || (o.heap.min().Kind == Long && !longAllowed) {
		return nil
	}
	it := o.heap.min()
	o.Remove(it)
	return it
}

func (o *orderedPolicy) Remove(it *Item) {
	o.heap.remove(it)
	o.work[it.Priority] -= it.serviceSeconds
}

func (o *orderedPolicy) WorkAhead(it *Item) float64 {
	from := 0
	if o.byPriority {
		from = it.Priority
	}
	sum := 0.0
	for p := from; p <= MaxPriority; p++ {
		sum += o.work[p]
	}
	return max(sum, 0)
}

func (o *orderedPolicy) CanBypass(Kind) bool { return o.heap.empty() }

// SetExcess has no effect, because the order does not depend on customers.
func (o *orderedPolicy) SetExcess(*customer, bool) {}

func (o *orderedPolicy) Len() int { return len(o.heap.list) }

// flow holds the waiting items of one customer and kind. It is in the regular lane of the kind, or in its excess lane
// while the customer exceeds its share.
type flow struct {
	heap indexedHeap[*Item]
	// startTag is the start tag of the first item while items wait, otherwise the finish tag of the last item that
	// ran. Tags are in seconds of service per unit of weight.
	startTag float64
	weight   float64
	// work is the total predicted service time of the waiting items in seconds.
	work float64
	pos  int32
	lane uint8
}

// laneQueue is the start-time fair queue of one lane.
type laneQueue struct {
	flows indexedHeap[*flow]
	// virtualTime is the start tag of the item that started last.
	virtualTime float64
	// weight is the total weight of the flows with waiting items.
	weight float64
	// work is the total predicted service time in seconds of the n waiting items.
	work float64
	n    int
}

// numLanes is the number of lanes of the fair policy: the regular lanes of all kinds, followed by their excess lanes
// for customers that exceed their share.
const numLanes = 2 * numKinds

func laneOf(k Kind, excess bool) uint8 {
	if excess {
		return uint8(k) + numKinds
	}
	return uint8(k)
}

// fairPolicy serves the lane whose first item has the highest effective priority. The first item of a lane is chosen by
// start-time fair queueing among customers, and by effective priority within a customer.
type fairPolicy struct {
	lanes [numLanes]laneQueue
	boost [numLanes]int
	// penalty is added to the keys of items in excess lanes when lanes are compared.
	penalty time.Duration
	n       int
}

func newFairPolicy(cfg Config) *fairPolicy {
	f := &fairPolicy{boost: cfg.laneBoost(), penalty: time.Duration(cfg.ExcessPenalty) * cfg.AgingStep}
	for k := range f.lanes {
		h := &f.lanes[k].flows
		h.pos = func(fl *flow) *int32 { return &fl.pos }
		h.less = func(a, b *flow) bool {
			if a.startTag != b.startTag {
				return a.startTag < b.startTag
			}
			return earlier(a.heap.min(), b.heap.min())
		}
	}
	return f
}

// earlier reports whether item a precedes item b by key, then by arrival.
func earlier(a, b *Item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (f *fairPolicy) Push(it *Item) {
	lane, fl := f.flowOf(it)
	f.n++
	lane.n++
	lane.work += it.serviceSeconds
	fl.work += it.serviceSeconds
	if !fl.heap.empty() {
		lane.weight += it.cust.weight - fl.weight
		fl.weight = it.cust.weight
		fl.heap.push(it)
		lane.flows.fix(fl)
		return
	}
	if fl.heap.less == nil {
		fl.heap.less = earlier
		fl.heap.pos = func(it *Item) *int32 { return &it.orderPos }
	}
	fl.heap.push(it)
	fl.startTag = max(fl.startTag, lane.virtualTime)
	fl.weight = it.cust.weight
	lane.weight += fl.weight
	lane.flows.push(fl)
}

func (f *fairPolicy) Pop(longAllowed bool) *Item {
	best := -1
	for k := range f.lanes {
		if f.lanes[k].flows.empty() || (k%numKinds == int(Long) && !longAllowed) {
			continue
		}
		if best < 0 || f.before(k, best) {
			best = k
		}
	}
	if best < 0 {
		return nil
	}
	it := f.head(best)
	lane, fl := f.flowOf(it)
	lane.virtualTime = fl.startTag
	fl.startTag += it.serviceSeconds / fl.weight
	f.Remove(it)
	return it
}

// before reports whether the first item of lane a precedes that of lane b.
func (f *fairPolicy) before(a, b int) bool {
	x, y := f.head(a), f.head(b)
	xKey, yKey := x.key, y.key
	if a >= numKinds {
		xKey += f.penalty
	}
	if b >= numKinds {
		yKey += f.penalty
	}
	if xKey != yKey {
		return xKey < yKey
	}
	return x.seq < y.seq
}

func (f *fairPolicy) flowOf(it *Item) (*laneQueue, *flow) {
	fl := &it.cust.flows[it.Kind]
	return &f.lanes[fl.lane], fl
}

func (f *fairPolicy) head(k int) *Item { return f.lanes[k].flows.min().heap.min() }

func (f *fairPolicy) Remove(it *Item) {
	lane, fl := f.flowOf(it)
	f.n--
	lane.n--
	lane.work -= it.serviceSeconds
	fl.work -= it.serviceSeconds
	fl.heap.remove(it)
	if !fl.heap.empty() {
		lane.flows.fix(fl)
		return
	}
	fl.work = 0
	lane.weight -= fl.weight
	lane.flows.remove(fl)
}

// WorkAhead counts all work in preferred lanes, and in the item's own lane the work that start-time fair queueing
// serves before the item. Kind Long and the other kinds have separate slots, so neither counts for the other.
func (f *fairPolicy) WorkAhead(it *Item) float64 {
	sum := 0.0
	for k := range f.lanes {
		if f.boost[k] > f.boost[it.lane()] && (k%numKinds == int(Long)) == (it.Kind == Long) {
			sum += f.lanes[k].work
		}
	}
	lane, fl := f.flowOf(it)
	if lane.n == 0 {
		return max(sum, 0)
	}
	ownFlow := max(fl.work, 0)
	distance := max(fl.startTag-lane.virtualTime, 0) + ownFlow/it.cust.weight
	otherWeight := lane.weight - it.cust.weight
	otherFlows := float64(len(lane.flows.list) - 1)
	if fl.heap.empty() {
		otherWeight, otherFlows = lane.weight, otherFlows+1
	}
	// Every other flow may have one item, of mean size, that precedes this item's tag.
	ownLane := ownFlow + distance*max(otherWeight, 0) + otherFlows*lane.work/float64(lane.n)
	return max(sum+min(lane.work, ownLane), 0)
}

// SetExcess moves the flows of a customer to the excess lanes or back. A flow keeps its distance from the virtual time
// of its lane.
func (f *fairPolicy) SetExcess(c *customer, excess bool) {
	for kind := range c.flows {
		fl := &c.flows[kind]
		to := laneOf(Kind(kind), excess)
		if fl.heap.less == nil { // No item was ever pushed to the flow, so it has no tag.
			fl.lane = to
			continue
		}
		if fl.lane != to {
			f.move(fl, to)
		}
	}
}

func (f *fairPolicy) move(fl *flow, to uint8) {
	old, dst := &f.lanes[fl.lane], &f.lanes[to]
	active, n := !fl.heap.empty(), len(fl.heap.list)
	if active {
		old.flows.remove(fl)
		old.n, old.work, old.weight = old.n-n, old.work-fl.work, old.weight-fl.weight
	}
	fl.startTag = dst.virtualTime + max(fl.startTag-old.virtualTime, 0)
	fl.lane = to
	if active {
		dst.flows.push(fl)
		dst.n, dst.work, dst.weight = dst.n+n, dst.work+fl.work, dst.weight+fl.weight
	}
}

// CanBypass lets other kinds bypass items of kind Long that wait for their own slots.
func (f *fairPolicy) CanBypass(k Kind) bool {
	return f.n == 0 || (k != Long && f.n == f.lanes[Long].n+f.lanes[numKinds+Long].n)
}

func (f *fairPolicy) Len() int { return f.n }

// levelKey returns the sort key for the effective priority, which is the level plus one for each aging step waited.
func levelKey(arrived time.Duration, level int, step time.Duration) time.Duration {
	return arrived - time.Duration(level)*step
}
