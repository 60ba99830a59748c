package trial

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
	t       *trial
	running int
	queue   []*request
	cache   *cache
	// history holds the loads of the last samples, the newest last.
	history []load
}

type load struct {
	at               time.Duration
	running, waiting int
}

// historyKept samples reach back further than the longest lag of a report.
const historyKept = 64

func (e *engine) remember() {
	e.history = append(e.history, load{e.t.now, e.running, len(e.queue)})
	if len(e.history) > historyKept {
		e.history = e.history[1:]
	}
}

// past returns the load at an earlier time; the present one for a lag of less than a sample.
func (e *engine) past(at time.Duration) (running, waiting int) {
	if e.t.now-at < sample {
		return e.running, len(e.queue)
	}
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= at {
			return e.history[i].running, e.history[i].waiting
		}
	}
	return 0, 0
}

func (e *engine) take(r *request) {
	e.queue = append(e.queue, r)
	e.start()
}

// start begins waiting requests while slots are free.
func (e *engine) start() {
	for e.running < e.t.o.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		cached := e.cache.use(r.blocks)
		prefill := time.Duration(len(r.blocks)-cached) * blockTime
		if e.t.measured() {
			e.t.blocks += len(r.blocks)
			e.t.hits += cached
			e.t.firsts = append(e.t.firsts, e.t.now-r.arrived+prefill+tokenTime)
		}
		e.t.at(prefill+r.decode, func() {
			e.running--
			r.done()
			e.start()
		})
	}
}

// cache keeps the blocks used last.
type cache struct {
	capacity int
	order    *list.List
	byBlock  map[uint64]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), byBlock: map[uint64]*list.Element{}}
}

// use returns how many leading blocks are cached, and caches all.
func (c *cache) use(blocks []uint64) (hits int) {
	leading := true
	for _, b := range blocks {
		if el, ok := c.byBlock[b]; ok {
			c.order.MoveToFront(el)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		c.byBlock[b] = c.order.PushFront(b)
		if c.order.Len() > c.capacity {
			last := c.order.Back()
			c.order.Remove(last)
			delete(c.byBlock, last.Value.(uint64))
		}
	}
	return hits
}
