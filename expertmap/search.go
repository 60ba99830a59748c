package expertmap

import "slices"

// layerState is one layer of a map during the local search. It is changed in place.
type layerState struct {
	shape Shape
	work  []float64
	speed []float64
	slots []uint16
	// hosts lists the ranks of each expert's replicas.
	hosts    [][]int
	rankTime []float64
	// shares is the share of one replica of each expert, held says whether a rank holds an expert (in order of
	// rank); both follow from slots and hosts, and are kept because the search reads them for each candidate.
	shares []float64
	placed []bool
	// initial says which experts each rank held at the start, newCount counts those that it holds now and did not hold then,
	// and maxNew bounds them; 0 is no bound.
	initial  []bool
	newCount []int
	maxNew   int
	// budget is the number of experts that each rank may still load for all layers, which share it; nil is no bound.
	budget []int
}

func newLayer(m *Map, l int, work, speed []float64, maxNew int) *layerState {
	from := l * m.Shape.Ranks * m.Shape.Slots
	ls := &layerState{
		shape: m.Shape, work: work, speed: speed, maxNew: maxNew, newCount: make([]int, m.Shape.Ranks),
		slots: slices.Clone(m.assignment[from : from+m.Shape.Ranks*m.Shape.Slots]),
		hosts: make([][]int, m.Shape.Experts), rankTime: make([]float64, m.Shape.Ranks),
		shares: make([]float64, m.Shape.Experts), placed: make([]bool, m.Shape.Ranks*m.Shape.Experts),
	}
	for i, e := range ls.slots {
		if e != EmptySlot {
			ls.hosts[e] = append(ls.hosts[e], i/ls.shape.Slots)
		}
	}
	ls.recompute()
	ls.initial = slices.Clone(ls.placed)
	return ls
}

func (ls *layerState) recompute() {
	clear(ls.rankTime)
	clear(ls.placed)
	for e, hosts := range ls.hosts {
		ls.shares[e] = ls.work[e] / float64(len(hosts))
	}
	for i, e := range ls.slots {
		if e != EmptySlot {
			r := i / ls.shape.Slots
			ls.rankTime[r] += ls.shares[e] / ls.speed[r]
			ls.placed[r*ls.shape.Experts+int(e)] = true
		}
	}
}

func (ls *layerState) share(e uint16) float64 {
	if e == EmptySlot {
		return 0
	}
	return ls.shares[e]
}

func (ls *layerState) holds(r int, e uint16) bool {
	return e != EmptySlot && ls.placed[r*ls.shape.Experts+int(e)]
}

// isNew says whether an expert would be new to a rank.
func (ls *layerState) isNew(r int, e uint16) bool {
	return e != EmptySlot && !ls.initial[r*ls.shape.Experts+int(e)]
}

// allows says whether a rank may take an expert into a slot.
func (ls *layerState) allows(slot int, e uint16) bool {
	r := slot / ls.shape.Slots
	if !ls.isNew(r, e) || ls.isNew(r, ls.slots[slot]) {
		return true
	}
	return (ls.maxNew == 0 || ls.newCount[r] < ls.maxNew) && (ls.budget == nil || ls.budget[r] > 0)
}

// allowsChange says whether the ranks may load what a change needs.
func (ls *layerState) allowsChange(c change) bool {
	return ls.allows(c.to, ls.slots[c.from]) && (c.replicate || ls.allows(c.from, ls.slots[c.to]))
}

// setSlot puts an expert into a slot and counts what is new to the rank.
func (ls *layerState) setSlot(slot int, e uint16) {
	r := slot / ls.shape.Slots
	if ls.isNew(r, ls.slots[slot]) {
		ls.addNew(r, -1)
	}
	if ls.isNew(r, e) {
		ls.addNew(r, 1)
	}
	ls.slots[slot] = e
}

// addNew counts experts that a rank has to load.
func (ls *layerState) addNew(r, n int) {
	ls.newCount[r] += n
	if ls.budget != nil {
		ls.budget[r] -= n
	}
}

func (ls *layerState) slowest() int {
	slow := 0
	for r, t := range ls.rankTime {
		if t > ls.rankTime[slow] {
			slow = r
		}
	}
	return slow
}

// change is one change of a layer: either the experts of slots A and B are swapped, or slot B gets another
// replica of the expert in slot A.
type change struct {
	from, to  int
	replicate bool
}

// transfers is the number of experts that a rank has to load for the change.
func (ls *layerState) transfers(c change) int {
	if c.replicate || ls.slots[c.to] == EmptySlot {
		return 1
	}
	return 2
}

// best returns the change that takes the most time off the slowest rank for each expert loaded, without making
// another rank as slow, and the time taken off for each of them. It returns false when there is none that takes off at least
// minGain seconds.
func (ls *layerState) bestChange(minGain float64) (c change, rate float64, found bool) {
	cs := changeSearch{ls: ls, slowest: ls.slowest(), minGain: minGain}
	for slot := cs.slowest * ls.shape.Slots; slot < (cs.slowest+1)*ls.shape.Slots; slot++ {
		if e := ls.slots[slot]; e != EmptySlot {
			cs.considerExpert(slot, e)
		}
	}
	return cs.change, cs.rate, cs.found
}

// changeSearch is the state of a search for the best change.
type changeSearch struct {
	ls      *layerState
	slowest int
	minGain float64
	change  change
	rate    float64
	found   bool
}

// from considers the changes that take work off the expert e in slot a. Bounds of the gain, which are cheap,
// leave out most candidates.
func (cs *changeSearch) considerExpert(slot int, e uint16) {
	ls := cs.ls
	reduction := ls.share(e) - ls.work[e]/float64(len(ls.hosts[e])+1)
	for r := range ls.shape.Ranks {
		if r == cs.slowest || ls.holds(r, e) {
			continue
		}
		for s := r * ls.shape.Slots; s < (r+1)*ls.shape.Slots; s++ {
			if reduction/ls.speed[cs.slowest] > cs.rate {
				cs.consider(change{from: slot, to: s, replicate: true})
			}
			diff := ls.share(e) - ls.share(ls.slots[s])
			gain := min(diff/ls.speed[cs.slowest], ls.rankTime[cs.slowest]-ls.rankTime[r]-diff/ls.speed[r])
			if gain >= cs.minGain && gain > cs.rate {
				cs.consider(change{from: slot, to: s})
			}
		}
	}
}

func (cs *changeSearch) consider(c change) {
	ls := cs.ls
	if !ls.allowsChange(c) {
		return
	}
	gain := ls.rankTime[cs.slowest] - ls.maxTimeAfter(c)
	if rate := gain / float64(ls.transfers(c)); gain >= cs.minGain && rate > cs.rate {
		cs.change, cs.rate, cs.found = c, rate, true
	}
}

// maxTimeAfter returns the time of the slowest of the ranks that a change changes, or the present slowest time if the
// change is not allowed.
func (ls *layerState) maxTimeAfter(c change) float64 {
	if c.replicate {
		return ls.maxTimeAfterReplicate(c)
	}
	ra, rb := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	ea, eb := ls.slots[c.from], ls.slots[c.to]
	if ls.holds(ra, eb) {
		return ls.rankTime[ra]
	}
	diff := ls.share(ea) - ls.share(eb)
	return max(ls.rankTime[ra]-diff/ls.speed[ra], ls.rankTime[rb]+diff/ls.speed[rb])
}

// maxTimeAfterReplicate is after for a new replica, which lowers the share of the expert's other replicas and raises
// that of the replicas of the expert that loses one.
func (ls *layerState) maxTimeAfterReplicate(c change) float64 {
	ra, rb := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	ea, eb := ls.slots[c.from], ls.slots[c.to]
	if eb != EmptySlot && len(ls.hosts[eb]) < 2 {
		return ls.rankTime[ra]
	}
	share := ls.work[ea] / float64(len(ls.hosts[ea])+1)
	reduction := ls.share(ea) - share
	slow := ls.rankTime[rb] + (share-ls.share(eb))/ls.speed[rb]
	slow = max(slow, ls.rankTime[ra]-reduction/ls.speed[ra])
	if eb == EmptySlot {
		return slow
	}
	increase := ls.work[eb]/float64(len(ls.hosts[eb])-1) - ls.share(eb)
	for _, r := range ls.hosts[eb] {
		if r == rb {
			continue
		}
		t := ls.rankTime[r] + increase/ls.speed[r]
		if ls.holds(r, ea) {
			t -= reduction / ls.speed[r]
		}
		slow = max(slow, t)
	}
	return slow
}

func (ls *layerState) apply(c change) {
	ra, rb := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	ea, eb := ls.slots[c.from], ls.slots[c.to]
	if c.replicate {
		ls.removeReplica(eb, rb)
		ls.hosts[ea] = append(ls.hosts[ea], rb)
		ls.setSlot(c.to, ea)
	} else {
		ls.moveReplica(ea, ra, rb)
		ls.moveReplica(eb, rb, ra)
		ls.setSlot(c.from, eb)
		ls.setSlot(c.to, ea)
	}
	// Computed anew so that rounding errors do not add up over many changes.
	ls.recompute()
}

func (ls *layerState) removeReplica(e uint16, rank int) {
	if e == EmptySlot {
		return
	}
	kept := ls.hosts[e][:0]
	for _, r := range ls.hosts[e] {
		if r != rank {
			kept = append(kept, r)
		}
	}
	ls.hosts[e] = kept
}

func (ls *layerState) moveReplica(e uint16, from, to int) {
	if e == EmptySlot {
		return
	}
	for i, r := range ls.hosts[e] {
		if r == from {
			ls.hosts[e][i] = to
		}
	}
}
