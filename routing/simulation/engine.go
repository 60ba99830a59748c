package simulation

import (
	"container/list"
	"time"
)

type request struct {
	blocks  []uint64
	arrived time.Duration
	decode  time.Duration
	done    func()
}

// engine is a replica: slots, a queue in order of arrival, and a prefix cache.
type engine struct {
	sim     *simulation
	running int
	queue   []*request
	cache   *prefixCache
	// history holds the loads of the last samples, the newest last.
	history []loadSample
}

type loadSample struct {
	at               time.Duration
	running, waiting int
}

// historyKept samples reach back further than the longest lag of a report.
const maxHistory = 64

func (e *engine) recordLoad() {
	e.history = append(e.history, loadSample{e.sim.now, e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = e.history[1:]
	}
}

// past returns the load at an earlier time; the present one for a lag of less than a sample.
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

// start begins waiting requests while slots are free.
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
			e.sim.firstTokens = append(e.sim.firstTokens, e.sim.now-r.arrived+prefill+tokenDecodeTime)
		}
		e.sim.schedule(prefill+r.decode, func() {
			e.running--
			r.done()
			e.start()
		})
	}
}

// cache keeps the blocks used last.
type prefixCache struct {
	capacity int
	recency  *list.List
	byBlock  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), byBlock: map[uint64]*list.Element{}}
}

// use returns how many leading blocks are cached, and caches all.
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
