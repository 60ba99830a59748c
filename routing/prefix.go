package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Blocks of a prompt whose hashes make the affinity. An engine shares cached prefixes in blocks of tokens.
const (
	PrefixBlock = 256
	MaxBlocks   = 16
)

// hintSlots bounds the memory of the hints at 8 bytes each.
const hintSlots = 1 << 16

// Hints remembers which prefixes this process has seen. Affinity follows the longest prefix that has been seen
// before: a fixed length either splits prompts that share less, or joins those that share more. Entries agree
// on popular prefixes without a message. It may be used by any goroutine.
type Hints struct {
	seen [hintSlots]atomic.Uint64
}

// Prefix returns the hash of the longest prefix of whole blocks that was seen before, and notes all prefixes of
// the prompt. Without one it returns the hash of the first block, so that the second prompt with the same
// beginning meets the first one's cache. A prompt shorter than a block hashes as a whole.
func (h *Hints) Prefix(prompt []byte) uint64 {
	blocks := min(len(prompt)/PrefixBlock, MaxBlocks)
	if blocks == 0 {
		return xxhash.Sum64(prompt)
	}
	var chain, best uint64
	for i := range blocks {
		chain = mix(chain) ^ xxhash.Sum64(prompt[i*PrefixBlock:(i+1)*PrefixBlock])
		cell := &h.seen[mix(chain)%hintSlots]
		if cell.Load() == chain || i == 0 {
			best = chain
		} else {
			cell.Store(chain)
		}
	}
	return best
}

// FixedPrefix returns the hash of up to the given number of leading blocks.
func FixedPrefix(prompt []byte, blocks int) uint64 {
	n := min(len(prompt)/PrefixBlock, blocks)
	if n == 0 {
		return xxhash.Sum64(prompt)
	}
	return xxhash.Sum64(prompt[:n*PrefixBlock])
}
