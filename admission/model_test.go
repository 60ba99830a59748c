package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel applies random operations to a Queue and compares it with a reference model that searches all items
// linearly. It guards against items that are lost, duplicated, started in the wrong order, started too late or refused
// after their start.
type queueModel struct {
	q        *Queue
	cfg      Config
	now      time.Duration
	waiting  []*Item
	running  []*Item
	offered  int
	verdicts map[*Item]Verdict
	// virtualTime and tags are the state of the model's start-time fair queueing: virtual times by lane, start tags by
	// kind and customer.
	virtualTime [numLanes]float64
	tags        [numKinds]map[string]float64
	// excess is the set of customers whose items are in the excess lanes.
	excess map[string]bool
}

func newQueueModel(t *rapid.T) *queueModel {
	cfg := fixedConfig(rapid.IntRange(1, 6).Draw(t, "slots"))
	cfg.Policy = rapid.SampledFrom([]PolicyName{Fair, FIFO, Priority}).Draw(t, "policy")
	cfg.MaxWaiting = rapid.IntRange(1, 12).Draw(t, "bound")
	cfg.RefuseUnmeetable = rapid.Bool().Draw(t, "refuse")
	cfg.ShedByValue = rapid.Bool().Draw(t, "shed")
	q, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	// Without observed service times all predicted service times would be 0, and the tags would have no effect.
	for k := range numKinds {
		q.limit.serviceTimes[k].meanUnitTime = 0.1 * float64(k+1)
	}
	m := &queueModel{q: q, cfg: cfg, verdicts: map[*Item]Verdict{}, excess: map[string]bool{}}
	for k := range m.tags {
		m.tags[k] = map[string]float64{}
	}
	return m
}

func (m *queueModel) Offer(t *rapid.T) {
	it := &Item{Request: Request{
		ID: fmt.Sprint(m.offered), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Kind: Kind(rapid.IntRange(0, numKinds-1).Draw(t, "kind")), Priority: rapid.IntRange(-1, 10).Draw(t, "priority"),
	}}
	it.Weight = map[string]int{"a": 0, "b": 1, "c": 3}[it.Customer]
	if rapid.Bool().Draw(t, "deadline") {
		it.Deadline = m.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "left"))*time.Millisecond
	}
	m.offered++
	d := m.q.Offer(m.now, it)
	m.setExcess(it.Customer, it.cust.excess)
	switch d.Verdict {
	case Run:
		m.start(t, it)
	case Wait:
		m.waiting = append(m.waiting, it)
		m.activate(it)
	case Refuse:
		m.refuse(t, it, d)
	}
	m.advance(t)
}

func (m *queueModel) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "item")
	it := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.q.Done(m.now, it, rapid.IntRange(0, 50).Draw(t, "tokens"), time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond)
	m.advance(t)
}

func (m *queueModel) Cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "item")
	it := m.waiting[i]
	if !m.q.Cancel(it) || m.q.Cancel(it) {
		t.Fatal("Cancel must succeed exactly once for a waiting item")
	}
	m.verdicts[it] = Refuse
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	m.advance(t)
}

func (m *queueModel) PassTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	m.advance(t)
}

func (m *queueModel) advance(t *rapid.T) {
	for _, o := range m.q.Advance(m.now) {
		if o.Verdict == Refuse {
			m.refuse(t, o.Item, o.Decision)
			m.removeWaiting(t, o.Item)
			continue
		}
		if want := m.next(); want != o.Item {
			t.Fatalf("started %+v, model expects %+v", o.Item.Request, want.Request)
		}
		m.removeWaiting(t, o.Item)
		m.start(t, o.Item)
		tags := m.tags[o.Item.Kind]
		m.virtualTime[m.lane(o.Item)] = tags[o.Item.Customer]
		tags[o.Item.Customer] += o.Item.serviceSeconds / o.Item.cust.weight
	}
	if len(m.running) < m.q.limit.slots() && m.next() != nil {
		t.Fatal("a slot is free although a waiting item may start")
	}
}

func (m *queueModel) start(t *rapid.T, it *Item) {
	if _, ended := m.verdicts[it]; ended || it.latestStart < m.now && it.arrived < m.now {
		t.Fatalf("started %+v, which has a verdict already or cannot meet its deadline", it.Request)
	}
	m.verdicts[it] = Run
	m.running = append(m.running, it)
}

func (m *queueModel) refuse(t *rapid.T, it *Item, d Decision) {
	if _, ended := m.verdicts[it]; ended || it.Started() || d.RetryAfter < minRetryAfter {
		t.Fatalf("refused %+v: %+v", it.Request, d)
	}
	m.verdicts[it] = Refuse
}

func (m *queueModel) removeWaiting(t *rapid.T, it *Item) {
	for i, w := range m.waiting {
		if w == it {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	t.Fatalf("outcome of %+v, which is not waiting", it.Request)
}

// activate raises the tag of a customer without other waiting items of the kind to the virtual time.
func (m *queueModel) activate(it *Item) {
	for _, w := range m.waiting {
		if w != it && w.Kind == it.Kind && w.Customer == it.Customer {
			return
		}
	}
	m.tags[it.Kind][it.Customer] = max(m.tags[it.Kind][it.Customer], m.virtualTime[m.lane(it)])
}

// setExcess changes the lanes of a customer's items; its tags keep their distance from the virtual time.
func (m *queueModel) setExcess(customer string, excess bool) {
	if m.excess[customer] == excess {
		return
	}
	m.excess[customer] = excess
	for k := range m.tags {
		from, to := k, k+numKinds
		if !excess {
			from, to = to, from
		}
		if tag, ok := m.tags[k][customer]; ok {
			m.tags[k][customer] = m.virtualTime[to] + max(tag-m.virtualTime[from], 0)
		}
	}
}

func (m *queueModel) lane(it *Item) int {
	if m.excess[it.Customer] {
		return int(it.Kind) + numKinds
	}
	return int(it.Kind)
}

func (m *queueModel) tag(it *Item) float64 { return m.tags[it.Kind][it.Customer] }

func (m *queueModel) laneKey(it *Item) time.Duration {
	if m.excess[it.Customer] {
		return it.key + time.Duration(m.cfg.ExcessPenalty)*m.cfg.AgingStep
	}
	return it.key
}

// next returns the item that must start next, or nil if none may start.
func (m *queueModel) next() *Item {
	long := 0
	for _, r := range m.running {
		if r.Kind == Long {
			long++
		}
	}
	longFree := long < m.q.longSlots()
	if m.cfg.Policy != Fair {
		var best *Item
		for _, it := range m.waiting {
			if best == nil || m.cfg.Policy == Priority && it.Priority > best.Priority {
				best = it
			}
		}
		if best != nil && best.Kind == Long && !longFree {
			return nil
		}
		return best
	}
	var best *Item
	for k := range m.virtualTime {
		var head *Item
		for _, it := range m.waiting {
			if m.lane(it) != k || it.Kind == Long && !longFree {
				continue
			}
			if head == nil || m.tag(it) < m.tag(head) || m.tag(it) == m.tag(head) && earlier(it, head) {
				head = it
			}
		}
		if head != nil && (best == nil || m.laneKey(head) < m.laneKey(best) || m.laneKey(head) == m.laneKey(best) && head.seq < best.seq) {
			best = head
		}
	}
	return best
}

// Check compares the counts of the queue and the model.
func (m *queueModel) Check(t *rapid.T) {
	if n := m.q.Load(m.now); n.Waiting != len(m.waiting) || n.Running != len(m.running) {
		t.Fatalf("queue has %d waiting, %d running; model %d, %d", n.Waiting, n.Running, len(m.waiting), len(m.running))
	}
	if len(m.waiting) > m.cfg.MaxWaiting || len(m.running) > m.q.limit.slots() {
		t.Fatal("more items wait or run than allowed")
	}
	if m.offered != len(m.verdicts)+len(m.waiting) {
		t.Fatal("an item is lost")
	}
}

// Guards against the faults listed at queueModel, with random operations.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newQueueModel(t)))
	})
}
