package orders

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LoadClass is the class of a load.
type LoadClass string

// The classes of loads. Loads that callers wait for start before those that only rebalance.
const (
	CustomerFacing LoadClass = "customer"
	Rebalancing    LoadClass = "rebalance"
)

// LoadSpread spreads loads over time to share the read rate of the weight store without central coordination. Each
// group starts its load in a slot of a window; a hash of the group and the attempt selects the slot, and the window
// doubles after each rejection by the store (binary exponential backoff, Metcalfe and Boggs, 1976). The first window
// has the length of one load: with a first window of two loads per reader, four groups took 101 s instead of 40 s.
type LoadSpread struct {
	// LoadTime is the duration of one load at the full rate of the store.
	LoadTime time.Duration
	// MaxWindow is the length of the longest window in units of LoadTime.
	MaxWindow int
	// Parallel is the number of concurrent loads that share the rate.
	Parallel int
	// RateBytes is the read rate of the store in bytes/s.
	RateBytes int64
}

// maxWindow is the default MaxWindow. When 400 groups restarted at the same time, a longest window of 400 loads left
// the store idle for 44% of the time, and one of 4 loads took 81 attempts per load. With 16 loads, the store was idle
// for 3% of the time, and a load took 23 attempts.
const maxWindow = 16

// slotsPerLoad is the number of slots per LoadTime.
const slotsPerLoad = 32

// NewLoadSpread returns the spread for loads of loadBytes from a store that serves parallel loads at a total of
// rateBytes per second.
func NewLoadSpread(rateBytes, loadBytes int64, parallel int) LoadSpread {
	return LoadSpread{
		LoadTime:  time.Duration(float64(loadBytes) / float64(rateBytes) * float64(time.Second)),
		MaxWindow: maxWindow, Parallel: parallel, RateBytes: rateBytes,
	}
}

// RatePerLoad returns the share of the rate for one load in bytes/s.
func (s LoadSpread) RatePerLoad() int64 { return s.RateBytes / int64(max(s.Parallel, 1)) }

// Delay returns how long a group waits before an attempt; attempts count from 0. Rebalancing loads start after the
// window in which customer-facing loads start.
func (s LoadSpread) Delay(group string, class LoadClass, attempt int) time.Duration {
	slots := s.window(attempt) * slotsPerLoad
	slot := int(xxhash.Sum64String(group+"\x00"+strconv.Itoa(attempt)) % uint64(slots))
	if class == Rebalancing {
		slot += slots
	}
	return time.Duration(slot) * s.LoadTime / slotsPerLoad
}

// window returns the length of the window of an attempt in units of LoadTime.
func (s LoadSpread) window(attempt int) int {
	window := 1
	for ; attempt > 0 && window < s.MaxWindow; attempt-- {
		window *= 2
	}
	return min(window, s.MaxWindow)
}
