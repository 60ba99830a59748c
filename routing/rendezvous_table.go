package routing

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// hashSlotsPerReplica is the minimum number of slots per replica, up to maxHashSlots in all. It limits the traffic
	// of one slot, and with it the traffic that moves when the first replica of a slot changes.
	hashSlotsPerReplica = 16
	minHashSlots        = 64
	// maxLeadRatio limits the number of slots that a replica leads, as a multiple of the mean. A replica leads a slot
	// if it is the first in the ranking of the slot. Without the limit, one of 104 replicas leads 1.6 times the mean.
	// This applies the bounded loads of Mirrokni, Thorup and Zadimoghaddam to the slots when the table is built.
	maxLeadRatio = 1.05
	maxHashSlots = 1 << 14
	// rankingDepth is the number of replicas in the ranking of a slot. The first two usable ones are the candidates for
	// a prompt. With six, a slot still has a usable replica when two of seven failure domains are down.
	rankingDepth = 6
)

// noReplica fills the rest of the rankings in a pool with fewer replicas than rankingDepth.
const noReplica = int32(-1)

// rendezvousTable holds the rendezvous ranking (Thaler and Ravishankar, 1998) of the replicas for each of a fixed
// number of hash slots. A decision looks up the slot of its prompt; ranking the replicas for each prompt would take one
// hash per replica. The table is built when the configuration changes and does not depend on which replicas are usable.
type rendezvousTable struct {
	rankings [][rankingDepth]int32
}

func newRendezvousTable(replicas []*Replica) *rendezvousTable {
	n := 1 << bits.Len(uint(max(hashSlotsPerReplica*len(replicas)-1, 0)))
	n = min(max(n, minHashSlots), maxHashSlots)
	t := &rendezvousTable{rankings: make([][rankingDepth]int32, n)}
	slotsLed := make([]int, len(replicas))
	maxLed := int(math.Ceil(maxLeadRatio * float64(n) / float64(max(len(replicas), 1))))
	for i := range t.rankings {
		t.rankings[i] = rankReplicas(mix(uint64(i)+1), replicas)
		limitLeadership(&t.rankings[i], slotsLed, maxLed)
	}
	return t
}

// limitLeadership moves the first replica that leads fewer than maxLed slots to the front of a slot's ranking and keeps
// the order of the others. slotsLed holds the number of slots that each replica leads so far.
func limitLeadership(ranking *[rankingDepth]int32, slotsLed []int, maxLed int) {
	for j, i := range ranking {
		if i == noReplica {
			return
		}
		if slotsLed[i] < maxLed {
			copy(ranking[1:j+1], ranking[:j])
			ranking[0] = i
			slotsLed[i]++
			return
		}
	}
}

// rankReplicas returns the indices of the replicas with the highest hashes for the seed of a slot, in descending order
// of the hashes.
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

func (t *rendezvousTable) ranking(hash uint64) *[rankingDepth]int32 {
	return &t.rankings[hash&uint64(len(t.rankings)-1)]
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
