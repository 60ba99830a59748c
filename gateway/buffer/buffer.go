// Package buffer bounds the memory that all responses of a process hold while they are relayed. A faulty server may send
// an event or a body without end, on many connections at once.
package buffer

import "golang.org/x/sync/semaphore"

// Free is the number of bytes that each response may hold beside the budget. Most events and short bodies fit.
const Free = 16 << 10

// Budget is the number of bytes that responses may still hold in all, beyond Free each.
type Budget = semaphore.Weighted

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget { return semaphore.NewWeighted(bytes) }
