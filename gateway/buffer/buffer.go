// Package buffer bounds the memory that all responses of a process hold while they are relayed. A faulty server may send
// an event or a body without end, on many connections at once.
package buffer

import "sync/atomic"

// Free is the number of bytes that each response may hold beside the budget. Most events and short bodies fit.
const Free = 16 << 10

// Budget is the number of bytes that responses may still hold in all, beyond Free each. It is safe for concurrent use.
type Budget struct{ remaining atomic.Int64 }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.remaining.Store(bytes)
	return b
}

// Take takes n bytes, and reports whether there were as many. It takes none otherwise.
func (b *Budget) Take(n int) bool {
	for {
		remaining := b.remaining.Load()
		if remaining < int64(n) {
			return false
		}
		if b.remaining.CompareAndSwap(remaining, remaining-int64(n)) {
			return true
		}
	}
}

// Give returns n bytes that were taken.
func (b *Budget) Give(n int) { b.remaining.Add(int64(n)) }

// Remaining returns the number of bytes that can be taken.
func (b *Budget) Remaining() int64 { return b.remaining.Load() }
