package expertmap

import (
	"container/heap"
	"slices"
	"sort"
)

// Balanced places all experts from scratch. Spare slots go to replicas of the experts with the largest load per
// replica. The replicas are then placed in order of decreasing load (LPT rule, Graham, 1969, on ranks weighted by speed
// as in Horowitz and Sahni, 1976). Balanced ignores the current placement, so it moves nearly all experts.
func Balanced(version int64, load *ExpertLoad, speed []float64) (*Map, error) {
	return placeAll(version, load, speed, true)
}

// longestFirst is Balanced without replication: spare slots stay empty.
func longestFirst(version int64, load *ExpertLoad, speed []float64) (*Map, error) {
	return placeAll(version, load, speed, false)
}

func placeAll(version int64, load *ExpertLoad, speed []float64, replicate bool) (*Map, error) {
	s := load.Shape
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if len(speed) != s.Ranks {
		return nil, &SizeError{Argument: "speeds", Expected: s.Ranks, Got: len(speed)}
	}
	assign := make([]uint16, 0, s.Layers*s.Ranks*s.Slots)
	for l := range s.Layers {
		work := load.Layer(l)
		counts := ones(s.Experts)
		if replicate {
			addReplicas(counts, work, s)
		}
		assign = append(assign, placeLayer(s, work, counts, speed)...)
	}
	return NewMap(version, s, assign)
}

func ones(n int) []int {
	counts := make([]int, n)
	for i := range counts {
		counts[i] = 1
	}
	return counts
}

// shareHeap is a heap of experts ordered by load per replica, largest first.
type shareHeap struct {
	expert []int
	counts []int
	work   []float64
}

func (h *shareHeap) share(i int) float64 {
	return h.work[h.expert[i]] / float64(h.counts[h.expert[i]])
}
func (h *shareHeap) Len() int           { return len(h.expert) }
func (h *shareHeap) Less(i, j int) bool { return h.share(i) > h.share(j) }
func (h *shareHeap) Swap(i, j int)      { h.expert[i], h.expert[j] = h.expert[j], h.expert[i] }
func (h *shareHeap) Push(x any)         { h.expert = append(h.expert, x.(int)) }

func (h *shareHeap) Pop() any {
	last := h.expert[len(h.expert)-1]
	h.expert = h.expert[:len(h.expert)-1]
	return last
}

// addReplicas gives each spare slot to the expert with the largest load per replica that has fewer replicas than there
// are ranks.
func addReplicas(counts []int, work []float64, s Shape) {
	h := &shareHeap{expert: make([]int, s.Experts), counts: counts, work: work}
	for e := range h.expert {
		h.expert[e] = e
	}
	heap.Init(h)
	for spare := s.Ranks*s.Slots - s.Experts; spare > 0 && h.Len() > 0; {
		e := h.expert[0]
		if counts[e] == s.Ranks {
			heap.Pop(h)
			continue
		}
		counts[e]++
		spare--
		heap.Fix(h, 0)
	}
}

// placeLayer places the replicas of one layer in order of decreasing load, each on the rank that would finish first.
func placeLayer(s Shape, work []float64, counts []int, speed []float64) []uint16 {
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	share := func(e int) float64 { return work[e] / float64(counts[e]) }
	sort.SliceStable(order, func(i, j int) bool { return share(order[i]) > share(order[j]) })
	b := newBins(s, speed)
	for _, e := range order {
		for range counts[e] {
			b.place(uint16(e), share(e))
		}
	}
	return b.slots
}

// bins is the state of one layer during placement. It has a bin for each rank: used counts its occupied slots, rankTime
// is its compute time in seconds.
type bins struct {
	shape    Shape
	speed    []float64
	slots    []uint16
	used     []int
	rankTime []float64
}

func newBins(s Shape, speed []float64) *bins {
	b := &bins{
		shape: s, speed: speed, slots: make([]uint16, s.Ranks*s.Slots),
		used: make([]int, s.Ranks), rankTime: make([]float64, s.Ranks),
	}
	for i := range b.slots {
		b.slots[i] = EmptySlot
	}
	return b
}

func (b *bins) rankSlots(r int) []uint16 { return b.slots[r*b.shape.Slots : (r+1)*b.shape.Slots] }

// place puts a replica on the rank with a free slot that would finish first. It drops the replica if every rank with a
// free slot already holds the expert. The first replica of an expert always gets a slot because there are at least as
// many slots as replicas.
func (b *bins) place(e uint16, share float64) {
	best := -1
	for r := range b.shape.Ranks {
		if b.used[r] == b.shape.Slots || slices.Contains(b.rankSlots(r)[:b.used[r]], e) {
			continue
		}
		if best < 0 || b.rankTime[r]+share/b.speed[r] < b.rankTime[best]+share/b.speed[best] {
			best = r
		}
	}
	if best < 0 {
		return
	}
	b.rankSlots(best)[b.used[best]] = e
	b.used[best]++
	b.rankTime[best] += share / b.speed[best]
}
