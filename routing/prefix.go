package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Prompts are hashed in blocks for prefix affinity, as engines cache and share prefixes in blocks of tokens.
const (
	// PrefixBlockBytes is the size of a block.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks is the number of leading blocks that are hashed.
	MaxPrefixBlocks = 16
)

const (
	// prefixTableSize limits the counters of one model to 256 KiB. They hold at most MaxPrefixBlocks x
	// prefixHalvingInterval counts, so hash collisions add 0.5 to a counter on average.
	prefixTableSize = 1 << 16
	// prefixHalvingInterval is the number of requests after which all counters are halved.
	prefixHalvingInterval = 2048
	// prefixWarmUpRequests is the number of requests needed before the counters can identify popular prefixes.
	prefixWarmUpRequests = 256
	// prefixRareCount is the count up to which a prefix is never considered popular, however few requests were counted.
	// With 2, the differences between the loads of 104 replicas behind 1,100 entry processes were 1.5 times as large.
	prefixRareCount = 1
)

// PrefixCounter counts the prefixes of the prompts that this process has recently received for one model. The
// platform's load balancer distributes requests over the entry processes at random. The share of a prefix is therefore
// about the same in all of them, and they consider the same prefixes popular without communication. It is safe for
// concurrent use.
type PrefixCounter struct {
	counts   [prefixTableSize]atomic.Uint32
	requests atomic.Uint32
	halving  atomic.Bool
	warm     atomic.Bool
}

// AffinityHash counts the prompt and returns the hash of its shortest prefix of whole blocks whose share of the
// requests is at most maxShare. A popular prefix, such as a customer's system prompt, would overload the replica that
// it maps to, and all replicas have it cached anyway. The first block after it distinguishes conversations and does not
// change as they grow. A prompt without such a prefix has no affinity, and ok is false. During warm-up, it returns the
// hash of the longest prefix, because that is the least popular.
func (p *PrefixCounter) AffinityHash(prompt []byte, maxShare float64) (hash uint64, ok bool) {
	maxCount := max(maxShare*float64(p.countRequest()), prefixRareCount)
	warm := p.warm.Load()
	if len(prompt) < PrefixBlockBytes {
		hash = xxhash.Sum64(prompt)
		return hash, p.increment(hash) <= maxCount || !warm
	}
	var chain uint64
	for i := range min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks) {
		chain = mix(chain) ^ xxhash.Sum64(prompt[i*PrefixBlockBytes:(i+1)*PrefixBlockBytes])
		rare := p.increment(chain) <= maxCount
		if !ok {
			hash, ok = chain, rare && warm
		}
	}
	return hash, ok || !warm
}

func (p *PrefixCounter) increment(hash uint64) float64 {
	return float64(p.counts[mix(hash)%prefixTableSize].Add(1))
}

// countRequest counts a request and returns the number of requests. That number is halved together with the counters.
func (p *PrefixCounter) countRequest() uint32 {
	n := p.requests.Add(1)
	if n >= prefixHalvingInterval && p.halving.CompareAndSwap(false, true) {
		for i := range p.counts {
			p.counts[i].Store(p.counts[i].Load() / 2)
		}
		p.requests.Store(n / 2)
		p.halving.Store(false)
	}
	if n == prefixWarmUpRequests {
		p.warm.Store(true)
	}
	return n
}
