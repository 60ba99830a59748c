package simulation

import (
	"container/list"
	"time"
)

type request struct {
	blocks     []uint64
	arrivedAt  time.Duration
	decodeTime time.Duration
	done       func()
}

// engine simulates a replica with slots, a FIFO queue and a prefix cache.
type engine struct {
	sim     *simulation
	running int
	queue   []*request
	cache   *prefixCache
	// history holds the most recent load samples, the newest last.
	history []loadSample
}

type loadSample struct {
	at               time.Duration
	running, waiting int
}

// maxHistory is the number of samples kept. They must cover more time than Options.ReportLag.
const maxHistory = 64

func (e *engine) recordLoad() {
	e.history = append(e.history, loadSample{e.sim.now, e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = e.history[1:]
	}
}

// loadAt returns the load at an earlier time, or the current load if that time is less than sampleInterval ago. The
// load is 0 if no sample is that old.
func (e *engine) loadAt(at time.Duration) (running, waiting int) {
	if e.sim.now-at < sampleInterval {
		return e.running, len(e.queue)
	}
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= at {
			return e.history[i].running, e.history[i].waiting
		}
	}
	return 0, 0
}

func (e *engine) enqueue(r *request) {
	e.queue = append(e.queue, r)
	e.start()
}

// start starts queued requests while slots are free.
func (e *engine) start() {
	for e.running < e.sim.opts.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		cached := e.cache.lookup(r.blocks)
		prefill := time.Duration(len(r.blocks)-cached) * blockPrefillTime
		if e.sim.afterWarmUp() {
			e.sim.blocks += len(r.blocks)
			e.sim.hits += cached
			e.sim.firstTokenTimes = append(e.sim.firstTokenTimes, e.sim.now-r.arrivedAt+prefill+tokenDecodeTime)
		}
		e.sim.schedule(prefill+r.decodeTime, func() {
			e.running--
			r.done()
			e.start()
		})
	}
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	capacity int
	recency  *list.List
	byBlock  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), byBlock: map[uint64]*list.Element{}}
}

// lookup returns the number of leading blocks that are cached, and then caches all blocks.
func (c *prefixCache) lookup(blocks []uint64) (hits int) {
	leading := true
	for _, b := range blocks {
		if elem, ok := c.byBlock[b]; ok {
			c.recency.MoveToFront(elem)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		c.byBlock[b] = c.recency.PushFront(b)
		if c.recency.Len() > c.capacity {
			last := c.recency.Back()
			c.recency.Remove(last)
			delete(c.byBlock, last.Value.(uint64))
		}
	}
	return hits
}
