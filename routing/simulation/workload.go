package simulation

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"lavendermoor.example/routing"
)

// Parameters of the conversations; lengths are in blocks.
const (
	minSystemBlocks, maxSystemBlocks = 2, 12 // system prompt shared by all prompts of a customer
	minTurnBlocks, maxTurnBlocks     = 1, 4  // added by each turn of a conversation
	maxConversationBlocks            = 40
	continuedShare                   = 0.6 // share of requests that continue a conversation
	maxOpenConversations             = 50  // conversations per customer that may be continued
)

// promptBlocks is a prompt: the part of its bytes that routing hashes, and the IDs of all its blocks.
type promptBlocks struct {
	text   []byte
	blocks []uint64
}

type customer struct {
	systemBlocks  []uint64
	conversations [][]uint64
}

type workload struct {
	rng       *rand.Rand
	customers []customer
	zipf      *rand.Zipf
	nextBlock uint64
}

func newWorkload(opts Options, rng *rand.Rand) *workload {
	w := &workload{rng: rng, customers: make([]customer, opts.Customers)}
	// The exponent of rand.Zipf must exceed 1.
	w.zipf = rand.NewZipf(rng, 1.01, 1, uint64(opts.Customers-1))
	for i := range w.customers {
		w.customers[i].systemBlocks = w.newBlocks(minSystemBlocks + rng.IntN(maxSystemBlocks-minSystemBlocks+1))
	}
	return w
}

func (w *workload) newBlocks(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		w.nextBlock++
		out[i] = w.nextBlock
	}
	return out
}

// nextPrompt returns the next prompt: a further turn of a conversation, or the first turn of a new one.
func (w *workload) nextPrompt() promptBlocks {
	cust := &w.customers[w.zipf.Uint64()]
	turn := w.newBlocks(minTurnBlocks + w.rng.IntN(maxTurnBlocks-minTurnBlocks+1))
	if len(cust.conversations) > 0 && w.rng.Float64() < continuedShare {
		i := w.rng.IntN(len(cust.conversations))
		conversation := cust.conversations[i]
		if len(conversation)+len(turn) <= maxConversationBlocks {
			conversation = append(conversation[:len(conversation):len(conversation)], turn...)
			cust.conversations[i] = conversation
			return promptOf(conversation)
		}
	}
	conversation := append(cust.systemBlocks[:len(cust.systemBlocks):len(cust.systemBlocks)], turn...)
	if len(cust.conversations) < maxOpenConversations {
		cust.conversations = append(cust.conversations, conversation)
	} else {
		cust.conversations[w.rng.IntN(maxOpenConversations)] = conversation
	}
	return promptOf(conversation)
}

func promptOf(blocks []uint64) promptBlocks {
	n := min(len(blocks), routing.MaxPrefixBlocks)
	text := make([]byte, n*routing.PrefixBlockBytes)
	for i, b := range blocks[:n] {
		binary.LittleEndian.PutUint64(text[i*routing.PrefixBlockBytes:], b)
	}
	return promptBlocks{text: text, blocks: blocks}
}

// FixedPrefixHash returns a function that hashes up to n leading blocks of a prompt, for comparison with
// routing.PrefixCounter.
func FixedPrefixHash(n int) func(prompt []byte) uint64 {
	return func(prompt []byte) uint64 {
		return xxhash.Sum64(prompt[:min(len(prompt), n*routing.PrefixBlockBytes)])
	}
}
