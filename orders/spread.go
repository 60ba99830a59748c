package orders

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LoadClass is the class of a load.
type LoadClass string

// The classes. Loads that callers wait for go before those that only rebalance.
const (
	CustomerFacing LoadClass = "customer"
	Rebalancing    LoadClass = "rebalance"
)

// LoadSpread shares the rate of the weight store among all loading groups without a central counter: each group
// hashes the start of its load into a slot of a window, which doubles after each refusal of the store (as in
// the binary exponential backoff of Metcalfe and Boggs, 1976). The first window is one load long: with a first
// window of two loads for each reader, four groups took 101 s in place of 40 s.
type LoadSpread struct {
	// LoadTime is the time that one load takes at the whole rate of the store.
	LoadTime time.Duration
	// MaxWindow is the longest window, in loads.
	MaxWindow int
	// Parallel is the number of loads that share the rate.
	Parallel int
	// RateBytes is the rate of the store in bytes/s.
	RateBytes int64
}

// maxWindow is the usual longest window. One load for each of 400 groups left the store idle for 44% of a mass
// restart, and 4 loads cost 81 attempts for each load; 16 cost 3% and 23 attempts.
const maxWindow = 16

// slotsPerLoad is the number of slots in the time of one load.
const slotsPerLoad = 32

// NewLoadSpread returns the spread for loads of a size, of which the store serves a number at once.
func NewLoadSpread(rateBytes, loadBytes int64, parallel int) LoadSpread {
	return LoadSpread{
		LoadTime:  time.Duration(float64(loadBytes) / float64(rateBytes) * float64(time.Second)),
		MaxWindow: maxWindow, Parallel: parallel, RateBytes: rateBytes,
	}
}

// RatePerLoad is the part of the rate that one load may take, in bytes/s.
func (s LoadSpread) RatePerLoad() int64 { return s.RateBytes / int64(max(s.Parallel, 1)) }

// Delay returns how long a group waits before an attempt, the first of which is 0. Rebalancing starts after the
// window in which customer-facing loads start.
func (s LoadSpread) Delay(group string, class LoadClass, attempt int) time.Duration {
	slots := s.window(attempt) * slotsPerLoad
	slot := int(xxhash.Sum64String(group+"\x00"+strconv.Itoa(attempt)) % uint64(slots))
	if class == Rebalancing {
		slot += slots
	}
	return time.Duration(slot) * s.LoadTime / slotsPerLoad
}

// window is the length of the window of an attempt in loads.
func (s LoadSpread) window(attempt int) int {
	window := 1
	for ; attempt > 0 && window < s.MaxWindow; attempt-- {
		window *= 2
	}
	return min(window, s.MaxWindow)
}
