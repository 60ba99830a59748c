package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Blocks of a prompt whose hashes make the affinity. An engine shares cached prefixes in blocks of tokens.
const (
	PrefixBlockBytes = 256
	MaxPrefixBlocks  = 16
)

const (
	// prefixCells bounds the memory of the counts of one model at 256 KiB. With at most MaxBlocks x prefixWindow
	// counts in them, another prefix adds a half to a count on average.
	prefixTableSize = 1 << 16
	// prefixWindow is the number of requests after which all counts are halved.
	prefixHalvingInterval = 2048
	// prefixWarmUp is the number of requests from which on counts tell popular prefixes from others.
	prefixWarmUpRequests = 256
	// prefixMinimum is the count up to which a prefix is not held to be popular, however few requests there were.
	// With 2, the loads of 104 replicas behind 1,100 entries differed by half as much again.
	prefixRareCount = 1
)

// Prefixes counts the prefixes of one model's prompts that this process has seen lately. The platform's balancer
// spreads requests over the entries at random, so the share of a prefix here is its share everywhere, and
// entries agree without a message. It may be used by any goroutine.
type PrefixCounter struct {
	counts   [prefixTableSize]atomic.Uint32
	requests atomic.Uint32
	halving  atomic.Bool
	warm     atomic.Bool
}

// AffinityHash returns the hash of the shortest prefix of whole blocks whose share of the requests is at most the given
// one, and counts the prompt. A popular beginning, such as a customer's instructions, would overload the replica
// that it leads to, and is cached on all of them anyway; the first block after it tells conversations apart and
// stays the same as they grow. A prompt without such a prefix has no affinity, and ok is false. Before the counts
// mean anything, the longest prefix is taken, because it is the least popular.
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

// countRequest counts a request and returns their number, of which the older ones weigh less.
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
