package routing

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotsPerReplica bounds what one slot, and thus one change of a leader, weighs.
	hashSlotsPerReplica = 16
	minHashSlots        = 64
	// slotSlack is how far the number of slots that a replica leads may pass the mean. Without the limit, the highest
	// of 104 replicas leads 1.6 times the mean. It is bounded load of Mirrokni, Thorup and Zadimoghaddam, applied to
	// slots when the table is made.
	leadSlack    = 1.05
	maxHashSlots = 1 << 14
	// rankDepth is the number of replicas kept for a slot. The first two usable ones are candidates; with six,
	// a slot keeps one also while two of seven failure domains are out.
	rankingDepth = 6
)

// noReplica fills the rank list of a slot in a pool of fewer replicas than rankDepth.
const noReplica = int32(-1)

// table holds the rendezvous ranking (Thaler and Ravishankar, 1998) of the replicas for each of a fixed number
// of slots. A prompt hashes to a slot, so a decision looks up one slot where a ranking of its own would take a
// hash for every replica. It is made when the configuration changes and does not depend on who is usable.
type rendezvousTable struct {
	rankings [][rankingDepth]int32
}

func newRendezvousTable(replicas []*Replica) *rendezvousTable {
	n := 1 << bits.Len(uint(max(hashSlotsPerReplica*len(replicas)-1, 0)))
	n = min(max(n, minHashSlots), maxHashSlots)
	t := &rendezvousTable{rankings: make([][rankingDepth]int32, n)}
	slotsLed := make([]int, len(replicas))
	maxLed := int(math.Ceil(leadSlack * float64(n) / float64(max(len(replicas), 1))))
	for i := range t.rankings {
		t.rankings[i] = rankReplicas(mix(uint64(i)+1), replicas)
		limitLeadership(&t.rankings[i], slotsLed, maxLed)
	}
	return t
}

// limitLead moves to the front of a slot's ranking the first replica that leads fewer than most slots; the order of
// the others stays. led holds the number of slots that each replica leads so far.
func limitLeadership(rankings *[rankingDepth]int32, slotsLed []int, maxLed int) {
	for j, i := range rankings {
		if i == noReplica {
			return
		}
		if slotsLed[i] < maxLed {
			copy(rankings[1:j+1], rankings[:j])
			rankings[0] = i
			slotsLed[i]++
			return
		}
	}
}

// rank returns the replicas with the highest hashes for a slot.
func rankReplicas(seed uint64, replicas []*Replica) [rankingDepth]int32 {
	var top [rankingDepth]uint64
	var out [rankingDepth]int32
	for i := range out {
		out[i] = noReplica
	}
	for i, r := range replicas {
		h := mix(seed ^ r.hash)
		if h <= top[rankingDepth-1] {
			continue
		}
		j := rankingDepth - 1
		for ; j > 0 && h > top[j-1]; j-- {
			top[j], out[j] = top[j-1], out[j-1]
		}
		top[j], out[j] = h, int32(i)
	}
	return out
}

func (t *rendezvousTable) ranking(prefix uint64) *[rankingDepth]int32 {
	return &t.rankings[prefix&uint64(len(t.rankings)-1)]
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
