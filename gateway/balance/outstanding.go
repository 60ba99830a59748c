package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavendermoor.example/gateway/workload"
)

// PickWork is the expected work of a request to a service with engines.
type PickWork struct {
	// Amount is the work of the request, Usual that of a request of mean size.
	Amount, Usual workload.Amount
}

// AddWork adds work that was sent to the server. It must be followed by calls of FinishWork for the same amount.
func (b *Backend) AddWork(a workload.Amount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left.Reading += a.Reading
	b.left.Generation += a.Generation
}

// FinishWork subtracts work that is done, or that the server will not do.
func (b *Backend) FinishWork(a workload.Amount) {
	b.AddWork(workload.Amount{Reading: -a.Reading, Generation: -a.Generation})
}

// ObserveEvent is ObserveActivity for an event that shows that the given work is done.
func (b *Backend) ObserveEvent(done workload.Amount, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastActivity, b.silent = now, false
	b.left.Reading -= done.Reading
	b.left.Generation -= done.Generation
}

// SetOrderStart sets where this process's own order of the servers of a service begins, as a fraction of their list.
// Processes with evenly spread starts fill different servers first, so that their sums are even without any message
// between them. Before the first call, the order is random for each choice: with starts at random, the processes'
// streams met on some servers more often than with random ties.
func (f *Fleet) SetOrderStart(fraction float64) { f.orderStart.Store(math.Float64bits(fraction)) }

// publish makes a snapshot the current one, and gives each server its position in the order of its service's servers. They
// are ordered by the hash of their IDs: in the same way in all processes, and with the servers of several groups mixed.
func (f *Fleet) publish(next *snapshot) {
	for _, backends := range next.byService {
		ordered := slices.SortedFunc(slices.Values(backends), func(a, b *Backend) int { return cmp.Compare(a.idHash, b.idHash) })
		for i, b := range ordered {
			b.setPosition(float64(i) / float64(len(ordered)))
		}
	}
	f.current.Store(next)
}

func (b *Backend) setPosition(position float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position = position
}

// workScore is the score of a server for a request with the given work, in an order of servers with the given start, or
// in a random one if the start is not a number.
func (s status) workScore(opts *PickOptions, orderStart float64) float64 {
	w, load := opts.Work, workload.Load{Streams: s.inFlight, Unread: s.unread, Pace: s.pace, Slots: s.slots}
	if math.IsNaN(orderStart) {
		load.Place = opts.Random()
	} else {
		load.Place = workload.Place(s.position, orderStart)
	}
	return load.Score(w.Amount.Reading, w.Usual.Reading) + s.penalties()
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }
