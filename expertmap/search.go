package expertmap

import "slices"

// layer is one layer of a map during the local search. It is changed in place.
type layer struct {
	s     Shape
	work  []float64
	speed []float64
	slots []uint16
	// hosts lists the ranks of each expert's replicas.
	hosts [][]int
	time  []float64
	// shares is the share of one replica of each expert, held says whether a rank holds an expert (in order of
	// rank); both follow from slots and hosts, and are kept because the search reads them for each candidate.
	shares []float64
	held   []bool
	// had says which experts each rank held at the start, fresh counts those that it holds now and did not hold then,
	// and maxFresh bounds them; 0 is no bound.
	had      []bool
	fresh    []int
	maxFresh int
	// budget is the number of experts that each rank may still load for all layers, which share it; nil is no bound.
	budget []int
}

func newLayer(m *Map, l int, work, speed []float64, maxFresh int) *layer {
	from := l * m.Shape.Ranks * m.Shape.Slots
	y := &layer{
		s: m.Shape, work: work, speed: speed, maxFresh: maxFresh, fresh: make([]int, m.Shape.Ranks),
		slots: slices.Clone(m.assign[from : from+m.Shape.Ranks*m.Shape.Slots]),
		hosts: make([][]int, m.Shape.Experts), time: make([]float64, m.Shape.Ranks),
		shares: make([]float64, m.Shape.Experts), held: make([]bool, m.Shape.Ranks*m.Shape.Experts),
	}
	for i, e := range y.slots {
		if e != EmptySlot {
			y.hosts[e] = append(y.hosts[e], i/y.s.Slots)
		}
	}
	y.recompute()
	y.had = slices.Clone(y.held)
	return y
}

func (y *layer) recompute() {
	clear(y.time)
	clear(y.held)
	for e, hosts := range y.hosts {
		y.shares[e] = y.work[e] / float64(len(hosts))
	}
	for i, e := range y.slots {
		if e != EmptySlot {
			r := i / y.s.Slots
			y.time[r] += y.shares[e] / y.speed[r]
			y.held[r*y.s.Experts+int(e)] = true
		}
	}
}

func (y *layer) share(e uint16) float64 {
	if e == EmptySlot {
		return 0
	}
	return y.shares[e]
}

func (y *layer) holds(r int, e uint16) bool {
	return e != EmptySlot && y.held[r*y.s.Experts+int(e)]
}

// isFresh says whether an expert would be new to a rank.
func (y *layer) isFresh(r int, e uint16) bool {
	return e != EmptySlot && !y.had[r*y.s.Experts+int(e)]
}

// allows says whether a rank may take an expert into a slot.
func (y *layer) allows(slot int, e uint16) bool {
	r := slot / y.s.Slots
	if !y.isFresh(r, e) || y.isFresh(r, y.slots[slot]) {
		return true
	}
	return (y.maxFresh == 0 || y.fresh[r] < y.maxFresh) && (y.budget == nil || y.budget[r] > 0)
}

// allowsStep says whether the ranks may load what a step needs.
func (y *layer) allowsStep(c step) bool {
	return y.allows(c.b, y.slots[c.a]) && (c.replicate || y.allows(c.a, y.slots[c.b]))
}

// exchange puts an expert into a slot and counts what is new to the rank.
func (y *layer) exchange(slot int, e uint16) {
	r := slot / y.s.Slots
	if y.isFresh(r, y.slots[slot]) {
		y.count(r, -1)
	}
	if y.isFresh(r, e) {
		y.count(r, 1)
	}
	y.slots[slot] = e
}

// count counts experts that a rank has to load.
func (y *layer) count(r, n int) {
	y.fresh[r] += n
	if y.budget != nil {
		y.budget[r] -= n
	}
}

func (y *layer) slowest() int {
	slow := 0
	for r, t := range y.time {
		if t > y.time[slow] {
			slow = r
		}
	}
	return slow
}

// step is one change of a layer: either the experts of slots A and B are swapped, or slot B gets another
// replica of the expert in slot A.
type step struct {
	a, b      int
	replicate bool
}

// loads is the number of experts that a rank has to load for the step.
func (y *layer) loads(c step) int {
	if c.replicate || y.slots[c.b] == EmptySlot {
		return 1
	}
	return 2
}

// best returns the step that takes the most time off the slowest rank for each expert loaded, without making
// another rank as slow, and the time taken off for each of them. It returns false when there is none that takes off at least
// minGain seconds.
func (y *layer) best(minGain float64) (c step, rate float64, found bool) {
	b := bestStep{y: y, slow: y.slowest(), minGain: minGain}
	for a := b.slow * y.s.Slots; a < (b.slow+1)*y.s.Slots; a++ {
		if e := y.slots[a]; e != EmptySlot {
			b.from(a, e)
		}
	}
	return b.step, b.rate, b.found
}

// bestStep is the state of a search for the best step.
type bestStep struct {
	y       *layer
	slow    int
	minGain float64
	step    step
	rate    float64
	found   bool
}

// from considers the steps that take work off the expert e in slot a. Bounds of the gain, which are cheap,
// leave out most candidates.
func (b *bestStep) from(a int, e uint16) {
	y := b.y
	less := y.share(e) - y.work[e]/float64(len(y.hosts[e])+1)
	for r := range y.s.Ranks {
		if r == b.slow || y.holds(r, e) {
			continue
		}
		for s := r * y.s.Slots; s < (r+1)*y.s.Slots; s++ {
			if less/y.speed[b.slow] > b.rate {
				b.consider(step{a: a, b: s, replicate: true})
			}
			diff := y.share(e) - y.share(y.slots[s])
			gain := min(diff/y.speed[b.slow], y.time[b.slow]-y.time[r]-diff/y.speed[r])
			if gain >= b.minGain && gain > b.rate {
				b.consider(step{a: a, b: s})
			}
		}
	}
}

func (b *bestStep) consider(c step) {
	y := b.y
	if !y.allowsStep(c) {
		return
	}
	gain := y.time[b.slow] - y.after(c)
	if rate := gain / float64(y.loads(c)); gain >= b.minGain && rate > b.rate {
		b.step, b.rate, b.found = c, rate, true
	}
}

// after returns the time of the slowest of the ranks that a step changes, or the present slowest time if the
// step is not allowed.
func (y *layer) after(c step) float64 {
	if c.replicate {
		return y.afterReplicate(c)
	}
	ra, rb := c.a/y.s.Slots, c.b/y.s.Slots
	ea, eb := y.slots[c.a], y.slots[c.b]
	if y.holds(ra, eb) {
		return y.time[ra]
	}
	diff := y.share(ea) - y.share(eb)
	return max(y.time[ra]-diff/y.speed[ra], y.time[rb]+diff/y.speed[rb])
}

// afterReplicate is after for a new replica, which lowers the share of the expert's other replicas and raises
// that of the replicas of the expert that loses one.
func (y *layer) afterReplicate(c step) float64 {
	ra, rb := c.a/y.s.Slots, c.b/y.s.Slots
	ea, eb := y.slots[c.a], y.slots[c.b]
	if eb != EmptySlot && len(y.hosts[eb]) < 2 {
		return y.time[ra]
	}
	share := y.work[ea] / float64(len(y.hosts[ea])+1)
	less := y.share(ea) - share
	slow := y.time[rb] + (share-y.share(eb))/y.speed[rb]
	slow = max(slow, y.time[ra]-less/y.speed[ra])
	if eb == EmptySlot {
		return slow
	}
	more := y.work[eb]/float64(len(y.hosts[eb])-1) - y.share(eb)
	for _, r := range y.hosts[eb] {
		if r == rb {
			continue
		}
		t := y.time[r] + more/y.speed[r]
		if y.holds(r, ea) {
			t -= less / y.speed[r]
		}
		slow = max(slow, t)
	}
	return slow
}

func (y *layer) apply(c step) {
	ra, rb := c.a/y.s.Slots, c.b/y.s.Slots
	ea, eb := y.slots[c.a], y.slots[c.b]
	if c.replicate {
		y.drop(eb, rb)
		y.hosts[ea] = append(y.hosts[ea], rb)
		y.exchange(c.b, ea)
	} else {
		y.move(ea, ra, rb)
		y.move(eb, rb, ra)
		y.exchange(c.a, eb)
		y.exchange(c.b, ea)
	}
	// Computed anew so that rounding errors do not add up over many steps.
	y.recompute()
}

func (y *layer) drop(e uint16, rank int) {
	if e == EmptySlot {
		return
	}
	kept := y.hosts[e][:0]
	for _, r := range y.hosts[e] {
		if r != rank {
			kept = append(kept, r)
		}
	}
	y.hosts[e] = kept
}

func (y *layer) move(e uint16, from, to int) {
	if e == EmptySlot {
		return
	}
	for i, r := range y.hosts[e] {
		if r == from {
			y.hosts[e][i] = to
		}
	}
}
