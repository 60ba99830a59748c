package orders

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Class is the class of a load.
type Class string

// The classes. Loads that callers wait for go before those that only rebalance.
const (
	CustomerFacing Class = "customer"
	Rebalancing    Class = "rebalance"
)

// Spread shares the rate of the weight store among all loading groups without a central counter: each group
// hashes the start of its load into a slot of a window, which doubles after each refusal of the store (as in
// the binary exponential backoff of Metcalfe and Boggs, 1976).
type Spread struct {
	// Slot is the time that one load takes at the whole rate of the store.
	Slot time.Duration
	// Window is the number of slots of a first attempt, MaxWindow the largest number.
	Window, MaxWindow int
	// Parallel is the number of loads that share the rate.
	Parallel int
	// RateBytes is the rate of the store in bytes/s.
	RateBytes int64
}

// NewSpread returns the spread for loads of a size by up to a number of groups. Few groups load at once on most
// days, so the first window is short; a mass restart widens it to one slot for each group.
func NewSpread(rateBytes, loadBytes int64, groups, parallel int) Spread {
	return Spread{
		Slot:   time.Duration(float64(loadBytes) / float64(rateBytes) * float64(time.Second)),
		Window: 2 * parallel, MaxWindow: max(groups, 2*parallel), Parallel: parallel, RateBytes: rateBytes,
	}
}

// Share is the part of the rate that one load may take, in bytes/s.
func (s Spread) Share() int64 { return s.RateBytes / int64(max(s.Parallel, 1)) }

// Delay returns how long a group waits before an attempt, the first of which is 0. Rebalancing starts after the
// window in which customer-facing loads start.
func (s Spread) Delay(group string, class Class, attempt int) time.Duration {
	window := s.window(attempt)
	slot := int(xxhash.Sum64String(group+"\x00"+strconv.Itoa(attempt)) % uint64(window))
	if class == Rebalancing {
		slot += window
	}
	return time.Duration(slot) * s.Slot
}

func (s Spread) window(attempt int) int {
	window := max(s.Window, 1)
	for ; attempt > 0 && window < s.MaxWindow; attempt-- {
		window *= 2
	}
	return min(window, max(s.MaxWindow, 1))
}
