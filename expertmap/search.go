package expertmap

import (
	"cmp"
	"slices"
)

// layerState is the state of one layer of a map during the local search. It is modified in place.
type layerState struct {
	shape Shape
	work  []float64
	speed []float64
	slots []uint16
	// hosts lists the ranks that hold each expert. rankTime is the compute time of each rank in seconds.
	hosts    [][]int
	rankTime []float64
	// shares is the load of one replica of each expert. placed is true if a rank holds an expert, indexed by
	// rank*Experts + expert. Both derive from slots and hosts and are cached because the search reads them for each
	// candidate.
	shares []float64
	placed []bool
	// slotShares is the load of the replica in each slot, maxShare the largest one of each rank.
	slotShares []float64
	maxShare   []float64
	// byTime lists the ranks in order of rankTime. Changes with ranks that have little work gain most, and found early they
	// exclude others.
	byTime []int
	// initial is the value of placed at the start of the search. newCount is the number of experts that each rank holds
	// now but not in initial; maxNew limits it, 0 means no limit.
	initial  []bool
	newCount []int
	maxNew   int
	// budget is the number of experts that each rank may still transfer. All layers share it; nil means no limit.
	budget []int
}

func newLayerState(m *Map, l int, work, speed []float64, maxNew int) *layerState {
	from := l * m.Shape.Ranks * m.Shape.Slots
	ls := &layerState{
		shape: m.Shape, work: work, speed: speed, maxNew: maxNew, newCount: make([]int, m.Shape.Ranks),
		slots: slices.Clone(m.assignment[from : from+m.Shape.Ranks*m.Shape.Slots]),
		hosts: make([][]int, m.Shape.Experts), rankTime: make([]float64, m.Shape.Ranks),
		shares: make([]float64, m.Shape.Experts), placed: make([]bool, m.Shape.Ranks*m.Shape.Experts),
		slotShares: make([]float64, m.Shape.Ranks*m.Shape.Slots), maxShare: make([]float64, m.Shape.Ranks),
		byTime: make([]int, m.Shape.Ranks),
	}
	for r := range ls.byTime {
		ls.byTime[r] = r
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
	clear(ls.slotShares)
	clear(ls.maxShare)
	for e, hosts := range ls.hosts {
		ls.shares[e] = ls.work[e] / float64(len(hosts))
	}
	for i, e := range ls.slots {
		if e != EmptySlot {
			r := i / ls.shape.Slots
			ls.slotShares[i] = ls.shares[e]
			ls.maxShare[r] = max(ls.maxShare[r], ls.shares[e])
			ls.rankTime[r] += ls.shares[e] / ls.speed[r]
			ls.placed[r*ls.shape.Experts+int(e)] = true
		}
	}
	slices.SortStableFunc(ls.byTime, func(a, b int) int { return cmp.Compare(ls.rankTime[a], ls.rankTime[b]) })
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

// isNew reports whether a rank did not hold an expert at the start of the search.
func (ls *layerState) isNew(r int, e uint16) bool {
	return e != EmptySlot && !ls.initial[r*ls.shape.Experts+int(e)]
}

// allows reports whether the transfer limits permit putting an expert into a slot.
func (ls *layerState) allows(slot int, e uint16) bool {
	r := slot / ls.shape.Slots
	if !ls.isNew(r, e) || ls.isNew(r, ls.slots[slot]) {
		return true
	}
	return (ls.maxNew == 0 || ls.newCount[r] < ls.maxNew) && (ls.budget == nil || ls.budget[r] > 0)
}

// mayTake reports whether the transfer limits may permit a rank to hold an expert that it does not hold. A rank at its
// limit can only replace another new expert of this layer.
func (ls *layerState) mayTake(r int, e uint16) bool {
	atLimit := (ls.maxNew != 0 && ls.newCount[r] >= ls.maxNew) || (ls.budget != nil && ls.budget[r] <= 0)
	return !atLimit || ls.newCount[r] > 0 || !ls.isNew(r, e)
}

// allowsChange reports whether the transfer limits permit a change.
func (ls *layerState) allowsChange(c change) bool {
	return ls.allows(c.to, ls.slots[c.from]) && (c.replicate || ls.allows(c.from, ls.slots[c.to]))
}

// setSlot puts an expert into a slot and updates the rank's number of new experts.
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

// addNew adds n to the number of experts that a rank has to transfer.
func (ls *layerState) addNew(r, n int) {
	ls.newCount[r] += n
	if ls.budget != nil {
		ls.budget[r] -= n
	}
}

func (ls *layerState) slowest() int {
	slowest := 0
	for r, t := range ls.rankTime {
		if t > ls.rankTime[slowest] {
			slowest = r
		}
	}
	return slowest
}

// change is one modification of a layer. It swaps the experts of the slots from and to or, if replicate is set,
// overwrites the slot to with another replica of the expert in the slot from.
type change struct {
	from, to  int
	replicate bool
}

// transfers returns the number of experts that ranks have to transfer for the change.
func (ls *layerState) transfers(c change) int {
	if c.replicate || ls.slots[c.to] == EmptySlot {
		return 1
	}
	return 2
}

// minTransfersOfSwap returns the smallest number of transfers of a swap with a rank: 1 if it has an empty slot.
func (ls *layerState) minTransfersOfSwap(r int) int {
	if slices.Contains(ls.slots[r*ls.shape.Slots:(r+1)*ls.shape.Slots], EmptySlot) {
		return 1
	}
	return 2
}

// bestChange returns the change with the largest gain per transfer, and this gain per transfer in seconds. The gain is
// the time of the slowest rank minus the largest time, after the change, of the ranks that the change affects. found is
// false if no change gains at least minGain seconds.
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

// considerExpert evaluates the changes that replicate or swap the expert e, which is in the given slot of the slowest
// rank.
func (cs *changeSearch) considerExpert(slot int, e uint16) {
	ls := cs.ls
	m := move{slot: slot, share: ls.shares[e], replicaShare: ls.work[e] / float64(len(ls.hosts[e])+1)}
	m.reduction = (m.share - m.replicaShare) / ls.speed[cs.slowest]
	for _, r := range ls.byTime {
		if r != cs.slowest && !ls.holds(r, e) && ls.mayTake(r, e) {
			cs.considerRank(m, r)
		}
	}
}

// move is an expert that a rank is to take over from the slowest one, at least in part.
type move struct {
	// slot is the slot of the expert at the slowest rank, share the load of its replica there, replicaShare the load of
	// each replica after a replication, and reduction the time in seconds that the slowest rank then saves.
	slot                           int
	share, replicaShare, reduction float64
}

// considerRank evaluates the changes with which a rank takes an expert over. Upper bounds of the gain exclude most ranks
// and slots: the slowest rank loses at most the share that moves, and the other rank gains that share less the one that
// it gives up.
func (cs *changeSearch) considerRank(m move, r int) {
	ls := cs.ls
	speed, slowSpeed := ls.speed[r], ls.speed[cs.slowest]
	headroom := ls.rankTime[cs.slowest] - ls.rankTime[r]
	replicate := cs.mayGain(min(m.reduction, headroom+(ls.maxShare[r]-m.replicaShare)/speed), 1)
	// The gain min(d/slowSpeed, headroom-d/speed) of a swap that moves the work d is largest when both are equal.
	swap := cs.mayGain(headroom*speed/(speed+slowSpeed), ls.minTransfersOfSwap(r))
	if !replicate && !swap {
		return
	}
	for s := r * ls.shape.Slots; s < (r+1)*ls.shape.Slots; s++ {
		evicted := ls.slotShares[s]
		if replicate && cs.mayGain(min(m.reduction, headroom+(evicted-m.replicaShare)/speed), 1) {
			cs.consider(change{from: m.slot, to: s, replicate: true})
		}
		diff := m.share - evicted
		c := change{from: m.slot, to: s}
		if swap && cs.mayGain(min(diff/slowSpeed, headroom-diff/speed), ls.transfers(c)) {
			cs.consider(c)
		}
	}
}

// mayGain reports whether a change with the given upper bound of its gain may be better than the best one so far. The
// bound may be lower than the gain by a rounding error.
func (cs *changeSearch) mayGain(bound float64, transfers int) bool {
	bound *= 1 + roundingError
	return bound >= cs.minGain && bound > cs.rate*float64(transfers)
}

// roundingError is above the relative rounding error of a gain.
const roundingError = 1e-9

// consider keeps a change if it is allowed and better than the best one so far.
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

// maxTimeAfter returns the largest time, after a change, of the ranks that the change affects. If the change is
// invalid, it returns the current time of the rank with the slot from, so that the gain is 0.
func (ls *layerState) maxTimeAfter(c change) float64 {
	if c.replicate {
		return ls.maxTimeAfterReplicate(c)
	}
	fromRank, toRank := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	fromExpert, toExpert := ls.slots[c.from], ls.slots[c.to]
	if ls.holds(fromRank, toExpert) {
		return ls.rankTime[fromRank]
	}
	diff := ls.share(fromExpert) - ls.share(toExpert)
	return max(ls.rankTime[fromRank]-diff/ls.speed[fromRank], ls.rankTime[toRank]+diff/ls.speed[toRank])
}

// maxTimeAfterReplicate is maxTimeAfter for a new replica. The other replicas of the expert get less work, those of the
// overwritten expert more.
func (ls *layerState) maxTimeAfterReplicate(c change) float64 {
	fromRank, toRank := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	fromExpert, toExpert := ls.slots[c.from], ls.slots[c.to]
	if toExpert != EmptySlot && len(ls.hosts[toExpert]) < 2 {
		return ls.rankTime[fromRank]
	}
	share := ls.work[fromExpert] / float64(len(ls.hosts[fromExpert])+1)
	reduction := ls.share(fromExpert) - share
	longest := ls.rankTime[toRank] + (share-ls.share(toExpert))/ls.speed[toRank]
	longest = max(longest, ls.rankTime[fromRank]-reduction/ls.speed[fromRank])
	if toExpert == EmptySlot {
		return longest
	}
	increase := ls.work[toExpert]/float64(len(ls.hosts[toExpert])-1) - ls.share(toExpert)
	for _, r := range ls.hosts[toExpert] {
		if r == toRank {
			continue
		}
		t := ls.rankTime[r] + increase/ls.speed[r]
		if ls.holds(r, fromExpert) {
			t -= reduction / ls.speed[r]
		}
		longest = max(longest, t)
	}
	return longest
}

func (ls *layerState) apply(c change) {
	fromRank, toRank := c.from/ls.shape.Slots, c.to/ls.shape.Slots
	fromExpert, toExpert := ls.slots[c.from], ls.slots[c.to]
	if c.replicate {
		ls.removeReplica(toExpert, toRank)
		ls.hosts[fromExpert] = append(ls.hosts[fromExpert], toRank)
		ls.setSlot(c.to, fromExpert)
	} else {
		ls.moveReplica(fromExpert, fromRank, toRank)
		ls.moveReplica(toExpert, toRank, fromRank)
		ls.setSlot(c.from, toExpert)
		ls.setSlot(c.to, fromExpert)
	}
	// The times are computed from scratch so that rounding errors do not accumulate over many changes.
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
