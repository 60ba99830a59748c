package routing

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotsPerReplica bounds what one slot, and thus one change of a leader, weighs.
	slotsPerReplica = 16
	minSlots        = 64
	// slotSlack is how far the number of slots that a replica leads may pass the mean. Without the limit, the highest
	// of 104 replicas leads 1.6 times the mean. It is bounded load of Mirrokni, Thorup and Zadimoghaddam, applied to
	// slots when the table is made.
	slotSlack = 1.05
	maxSlots  = 1 << 14
	// rankDepth is the number of replicas kept for a slot. The first two usable ones are candidates; with six,
	// a slot keeps one also while two of seven failure domains are out.
	rankDepth = 6
)

// noReplica fills the rank list of a slot in a pool of fewer replicas than rankDepth.
const noReplica = int32(-1)

// table holds the rendezvous ranking (Thaler and Ravishankar, 1998) of the replicas for each of a fixed number
// of slots. A prompt hashes to a slot, so a decision looks up one slot where a ranking of its own would take a
// hash for every replica. It is made when the configuration changes and does not depend on who is usable.
type table struct {
	ranks [][rankDepth]int32
}

func newTable(replicas []*Replica) *table {
	n := 1 << bits.Len(uint(max(slotsPerReplica*len(replicas)-1, 0)))
	n = min(max(n, minSlots), maxSlots)
	t := &table{ranks: make([][rankDepth]int32, n)}
	led := make([]int, len(replicas))
	most := int(math.Ceil(slotSlack * float64(n) / float64(max(len(replicas), 1))))
	for i := range t.ranks {
		t.ranks[i] = rank(mix(uint64(i)+1), replicas)
		limitLead(&t.ranks[i], led, most)
	}
	return t
}

// limitLead moves to the front of a slot's ranking the first replica that leads fewer than most slots; the order of
// the others stays. led holds the number of slots that each replica leads so far.
func limitLead(ranks *[rankDepth]int32, led []int, most int) {
	for j, i := range ranks {
		if i == noReplica {
			return
		}
		if led[i] < most {
			copy(ranks[1:j+1], ranks[:j])
			ranks[0] = i
			led[i]++
			return
		}
	}
}

// rank returns the replicas with the highest hashes for a slot.
func rank(seed uint64, replicas []*Replica) [rankDepth]int32 {
	var top [rankDepth]uint64
	var out [rankDepth]int32
	for i := range out {
		out[i] = noReplica
	}
	for i, r := range replicas {
		h := mix(seed ^ r.hash)
		if h <= top[rankDepth-1] {
			continue
		}
		j := rankDepth - 1
		for ; j > 0 && h > top[j-1]; j-- {
			top[j], out[j] = top[j-1], out[j-1]
		}
		top[j], out[j] = h, int32(i)
	}
	return out
}

func (t *table) slot(prefix uint64) *[rankDepth]int32 { return &t.ranks[prefix&uint64(len(t.ranks)-1)] }

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
