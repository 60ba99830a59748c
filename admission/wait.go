package admission

import (
	"math"
	"time"
)

// longSlots returns the number of slots that requests of kind Long may use, which is at least one.
func (q *Queue) longSlots() int {
	limit := q.limit.slots()
	reserved := int(math.Ceil(q.cfg.ReservedShare * float64(limit)))
	return max(limit-reserved, 1)
}

func (q *Queue) slotAvailable(k Kind) bool {
	if q.totalRunning() >= q.limit.slots() {
		return false
	}
	return k != Long || q.running[Long] < q.longSlots()
}

// predictWait predicts the wait in seconds of an item that arrives now, before the correction by waitBias: the work
// ahead of it plus one mean residual service time, divided by the number of slots available to its kind.
func (q *Queue) predictWait(now time.Duration, it *Item) float64 {
	slots, work, n := q.limit.slots(), 0.0, 0
	if it.Kind == Long {
		slots = min(q.longSlots(), slots-(q.totalRunning()-q.running[Long]))
		work, n = q.runningWork[Long], q.running[Long]
	} else {
		for k := Status; k < Long; k++ {
			work, n = work+q.runningWork[k], n+q.running[k]
		}
		slots -= q.running[Long]
	}
	if q.cfg.ReservedShare == 0 {
		slots, work, n = q.limit.slots(), 0, q.totalRunning()
		for _, w := range q.runningWork {
			work += w
		}
	}
	residual := max(work, 0) / float64(max(n, 1))
	free := max(float64(slots)-q.preferredSlots(now, it), minSlotShare*float64(max(slots, 1)))
	return (q.policy.WorkAhead(it) + residual) / free
}

// preferredSlots estimates the number of slots that later arrivals of preferred kinds take while the item waits, from
// their recent occupancy. Kind Long has its own slots.
func (q *Queue) preferredSlots(now time.Duration, it *Item) float64 {
	if q.cfg.Policy != Fair {
		return 0
	}
	sum := 0.0
	for k := range q.occupied {
		if q.cfg.KindBoost[k] > q.cfg.KindBoost[it.Kind] && it.Kind != Long {
			sum += q.occupied[k].mean(now)
		}
	}
	return sum
}

// observeWait updates the bias and error of predicted waits when an item leaves the queue.
func (q *Queue) observeWait(it *Item, now time.Duration) {
	if it.uncorrectedWait < minBiasWait {
		return
	}
	ratio := it.Wait(now).Seconds() / it.uncorrectedWait
	b := &q.waitBias[it.lane()]
	ratio = min(max(ratio, 1.0/maxBias), maxBias)
	e := &q.waitError[it.lane()]
	*e += biasGain * (math.Abs(ratio / *b - 1) - *e)
	*b += biasGain * (ratio - *b)
}
