package admission

import "time"

// PolicyName selects the order of waiting work.
type PolicyName string

// The policies. FIFO and Priority are baselines.
const (
	Fair     PolicyName = "fair"
	FIFO     PolicyName = "fifo"
	Priority PolicyName = "priority"
)

// policy keeps the waiting items in order. It is used by one goroutine at a time.
type policy interface {
	// Push adds an item.
	Push(it *Item)
	// Pop removes and returns the next item, or nil if none may start. Items of kind Long may start only if
	// long is true.
	Pop(long bool) *Item
	// Remove takes out an item that is waiting.
	Remove(it *Item)
	// WorkAhead returns the predicted service time, in seconds, of the waiting work that would start before an
	// item that arrives now.
	WorkAhead(it *Item) float64
	// CanBypass says that an item of the kind which arrives now and has a slot may start before all waiting ones.
	CanBypass(k Kind) bool
	// SetExcess says whether a customer offers more than its share of a full server.
	SetExcess(c *customer, excess bool)
	// Len returns the number of waiting items.
	Len() int
}

// orderedPolicy is a baseline: one heap with a fixed order, without fair share, aging or kinds. When the first item
// is long and long work may not start, nothing starts.
type orderedPolicy struct {
	heap indexedHeap[*Item]
	// work is the waiting service time by priority.
	work [MaxPriority + 1]float64
	// byPriority says that higher priorities go first.
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
	o.work[it.Priority] += it.service
}

func (o *orderedPolicy) Pop(long bool) *Item {
	if o.heap.empty() || (o.heap.min().Kind == Long && !long) {
		return nil
	}
	it := o.heap.min()
	o.Remove(it)
	return it
}

func (o *orderedPolicy) Remove(it *Item) {
	o.heap.remove(it)
	o.work[it.Priority] -= it.service
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

// SetExcess has no effect on a fixed order.
func (o *orderedPolicy) SetExcess(*customer, bool) {}

func (o *orderedPolicy) Len() int { return len(o.heap.list) }

// flow is the waiting work of one customer and kind. It is in the lane for work within the share or in the one
// for excess.
type flow struct {
	heap indexedHeap[*Item]
	// startTag is the startTag tag of the first item while the flow has work, else the finish tag of the last one
	// that ran. Tags are in seconds of service per unit of weight.
	startTag float64
	weight   float64
	work     float64
	pos      int32
	lane     uint8
}

// laneQueue is the start-time fair queue of one lane.
type laneQueue struct {
	flows indexedHeap[*flow]
	// virtualTime is the start tag of the item that ran last.
	virtualTime float64
	// weight is the sum over flows that have work.
	weight float64
	work   float64
	n      int
}

// numLanes is the number of queues of the fair policy: for each kind one for work within the customer's share,
// then one for its excess.
const numLanes = 2 * numKinds

func laneOf(k Kind, excess bool) uint8 {
	if excess {
		return uint8(k) + numKinds
	}
	return uint8(k)
}

// fairPolicy serves the lane whose next item has the highest effective priority, and picks that item by start-time
// fairPolicy queueing among customers. Within a customer and lane, items go by effective priority.
type fairPolicy struct {
	lanes [numLanes]laneQueue
	boost [numLanes]int
	// penalty delays the keys of excess work when lanes are compared.
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
	lane.work += it.service
	fl.work += it.service
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

func (f *fairPolicy) Pop(long bool) *Item {
	best := -1
	for k := range f.lanes {
		if f.lanes[k].flows.empty() || (k%numKinds == int(Long) && !long) {
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
	fl.startTag += it.service / fl.weight
	f.Remove(it)
	return it
}

// before says whether the first item of lane a goes before that of lane b.
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
	lane.work -= it.service
	fl.work -= it.service
	fl.heap.remove(it)
	if !fl.heap.empty() {
		lane.flows.fix(fl)
		return
	}
	fl.work = 0
	lane.weight -= fl.weight
	lane.flows.remove(fl)
}

// WorkAhead counts all work of preferred lanes, and of the item's own lane what start-time fair queueing lets
// through before the customer's share reaches the item. Long and other work have slots of their own, so
// neither counts for the other.
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
	own := max(fl.work, 0)
	distance := max(fl.startTag-lane.virtualTime, 0) + own/it.cust.weight
	others := lane.weight - it.cust.weight
	count := float64(len(lane.flows.list) - 1)
	if fl.heap.empty() {
		others, count = lane.weight, count+1
	}
	// Every other customer may have begun its turn, which is one mean item each.
	share := own + distance*max(others, 0) + count*lane.work/float64(lane.n)
	return max(sum+min(lane.work, share), 0)
}

// SetExcess moves the flows of a customer to the lanes for excess or back. A flow keeps its distance from the
// virtual time of its lane.
func (f *fairPolicy) SetExcess(c *customer, excess bool) {
	for kind := range c.flows {
		fl := &c.flows[kind]
		to := laneOf(Kind(kind), excess)
		if fl.heap.less == nil {
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

// CanBypass lets other kinds pass long work that waits for its own slots.
func (f *fairPolicy) CanBypass(k Kind) bool {
	return f.n == 0 || (k != Long && f.n == f.lanes[Long].n+f.lanes[numKinds+Long].n)
}

func (f *fairPolicy) Len() int { return f.n }

// levelKey returns the key that orders by effective priority: the level plus one for each aging step waited.
func levelKey(arrived time.Duration, level int, step time.Duration) time.Duration {
	return arrived - time.Duration(level)*step
}
