package trial

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"lavendermoor.example/routing"
)

// Shape of the conversations.
const (
	minSystem, maxSystem = 2, 12 // blocks that all prompts of a customer begin with
	minTurn, maxTurn     = 1, 4  // blocks that each turn of a conversation adds
	maxBlocks            = 40
	continuing           = 0.6 // share of requests that continue a conversation
	openSessions         = 50  // conversations of a customer that may be continued
)

// ask is a prompt: its bytes up to what routing hashes, and the identities of all its blocks.
type ask struct {
	prompt []byte
	blocks []uint64
}

type customer struct {
	system   []uint64
	sessions [][]uint64
}

type callers struct {
	rng       *rand.Rand
	customers []customer
	zipf      *rand.Zipf
	nextBlock uint64
}

func newCallers(o Options, rng *rand.Rand) *callers {
	c := &callers{rng: rng, customers: make([]customer, o.Customers)}
	// The exponent of rand.Zipf must exceed 1.
	c.zipf = rand.NewZipf(rng, 1.01, 1, uint64(o.Customers-1))
	for i := range c.customers {
		c.customers[i].system = c.fresh(minSystem + rng.IntN(maxSystem-minSystem+1))
	}
	return c
}

func (c *callers) fresh(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		c.nextBlock++
		out[i] = c.nextBlock
	}
	return out
}

// next returns the next prompt: a turn of a conversation that goes on, or the first of a new one.
func (c *callers) next() ask {
	who := &c.customers[c.zipf.Uint64()]
	turn := c.fresh(minTurn + c.rng.IntN(maxTurn-minTurn+1))
	if len(who.sessions) > 0 && c.rng.Float64() < continuing {
		i := c.rng.IntN(len(who.sessions))
		s := who.sessions[i]
		if len(s)+len(turn) <= maxBlocks {
			s = append(s[:len(s):len(s)], turn...)
			who.sessions[i] = s
			return askOf(s)
		}
	}
	s := append(who.system[:len(who.system):len(who.system)], turn...)
	if len(who.sessions) < openSessions {
		who.sessions = append(who.sessions, s)
	} else {
		who.sessions[c.rng.IntN(openSessions)] = s
	}
	return askOf(s)
}

func askOf(blocks []uint64) ask {
	n := min(len(blocks), routing.MaxBlocks)
	prompt := make([]byte, n*routing.PrefixBlock)
	for i, b := range blocks[:n] {
		binary.LittleEndian.PutUint64(prompt[i*routing.PrefixBlock:], b)
	}
	return ask{prompt: prompt, blocks: blocks}
}

// FixedPrefix returns a prefix function that hashes up to n leading blocks, for comparison with routing.Prefixes.
func FixedPrefix(n int) func(prompt []byte) uint64 {
	return func(prompt []byte) uint64 {
		return xxhash.Sum64(prompt[:min(len(prompt), n*routing.PrefixBlock)])
	}
}
