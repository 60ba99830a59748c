package admission

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the minimum Retry-After, so that refused callers do not retry in a tight loop.
	minRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is the Retry-After while draining; another replica can take the request immediately.
	drainRetryAfter = time.Second
	// biasGain is the weight of a new observation in the exponentially weighted means of wait and service time errors.
	biasGain = 0.05
	// maxBias is the maximum correction factor of predicted waits; its inverse is the minimum.
	maxBias = 4
	// minBiasWait is the minimum predicted wait in seconds that updates the correction. Shorter waits consist mostly of
	// one residual service time.
	minBiasWait = 0.01
	// serviceMargin is the margin for predicted service times, in mean errors. Without it, half of the requests that
	// start at the last moment are aborted at their deadline. Twice the mean error covers the whole range of a uniform
	// distribution and 1.6 standard deviations of a normal one.
	serviceMargin = 2
	// minSlotShare is the minimum fraction of the slots that a prediction assumes for the least preferred kind, since
	// aging prevents starvation.
	minSlotShare = 0.05
	// waitMargin is the margin for predicted waits, in mean errors. Without it, requests whose predicted wait only just
	// meets the deadline are accepted, and many of them expire later.
	waitMargin = 2
	// maxServiceError bounds a single observation of the relative service time error.
	maxServiceError = 1
	// maxCustomers is the number of customers above which idle ones are removed.
	maxCustomers = 4096
)

// noDeadline is the latest start of a request without a deadline.
const noDeadline = time.Duration(math.MaxInt64)

// Queue makes the admission decisions for one backend server. It is not safe for concurrent use. All times are
// durations since a fixed start and must not decrease from call to call.
type Queue struct {
	cfg       Config
	policy    policy
	limit     *limiter
	predict   *predictor
	shed      *shedder
	demand    demandTracker
	deadlines indexedHeap[*Item]
	customers map[string]*customer
	// sweepAt is the number of customers at which idle ones are removed.
	sweepAt  int
	outcomes []Outcome
	seq      uint64
	draining bool
	// referenceItem stands for a short request of a customer without waiting requests; Load predicts its wait.
	referenceItem Item

	running [numKinds]int
	// runningWork is the total predicted service time of running requests in seconds.
	runningWork [numKinds]float64
	// occupied is the recent mean slot occupancy of each kind.
	occupied [numKinds]occupancy
	// serviceError is the exponentially weighted mean relative error of predicted service times.
	serviceError [numKinds]float64
	// waitBias is the exponentially weighted mean ratio of actual to predicted waits.
	waitBias [numLanes]float64
	// waitError is the exponentially weighted mean relative error of the corrected predictions.
	waitError [numLanes]float64
}

// New returns an empty queue. It fails with a *ConfigError.
func New(cfg Config) (*Queue, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	q := &Queue{
		cfg:           cfg,
		policy:        newPolicy(cfg),
		limit:         newLimiter(cfg.Limit),
		predict:       newPredictor(),
		shed:          newShedder(cfg.KindWeight),
		customers:     map[string]*customer{},
		sweepAt:       maxCustomers,
		referenceItem: Item{Request: Request{Kind: Short}, cust: newCustomer(1)},
	}
	for k := range q.waitBias {
		q.waitBias[k] = 1
	}
	q.deadlines.pos = func(it *Item) *int32 { return &it.deadlinePos }
	q.deadlines.less = func(a, b *Item) bool { return a.latestStart < b.latestStart }
	return q, nil
}

func newPolicy(cfg Config) policy {
	if cfg.Policy == Fair {
		return newFairPolicy(cfg)
	}
	return newOrderedPolicy(cfg.Policy == Priority)
}

// Offer decides about a new request. After the verdict Wait, the queue owns the item until Advance returns its Outcome
// or Cancel removes it. Offer may shed another waiting item, which the next Advance returns.
func (q *Queue) Offer(now time.Duration, it *Item) Decision {
	q.prepare(now, it)
	if q.draining {
		return q.refuse(it, Draining, 0, drainRetryAfter)
	}
	if q.policy.CanBypass(it.Kind) && q.slotAvailable(it.Kind) {
		if it.Deadline != 0 && now >= it.Deadline {
			return q.refuse(it, Unmeetable, 0, minRetryAfter)
		}
		q.start(now, it)
		return Decision{Verdict: Run, Reason: FreeSlot}
	}
	it.uncorrectedWait = q.predictWait(now, it)
	wait := seconds(it.uncorrectedWait * q.waitBias[it.lane()])
	pessimisticWait := seconds(wait.Seconds() * (1 + waitMargin*q.waitError[it.lane()]))
	if left := it.latestStart - now; q.cfg.RefuseUnmeetable && pessimisticWait > left {
		// After that time, the same request would meet its deadline.
		return q.refuse(it, Unmeetable, wait, pessimisticWait-left)
	}
	if q.policy.Len() >= q.cfg.MaxWaiting {
		if d, refused := q.makeRoom(now, it, wait); refused {
			return d
		}
	}
	q.push(it)
	reason := NoSlot
	if it.Kind == Long && q.totalRunning() < q.limit.slots() {
		reason = LongSlotsBusy
	}
	return Decision{Verdict: Wait, Reason: reason, PredictedWait: wait}
}

func (q *Queue) prepare(now time.Duration, it *Item) {
	it.normalize()
	it.arrived = now
	it.seq = q.seq
	q.seq++
	if it.Kind.Generation() {
		it.tokens = q.predict.predict(it.Customer, it.Model, it.MaxTokens)
		it.Kind = q.predict.classify(it.tokens, it.Kind)
	}
	it.serviceSeconds = q.limit.serviceTimes[it.Kind].meanUnitTime * max(it.tokens, 1)
	it.latestStart = noDeadline
	if it.Deadline != 0 {
		it.latestStart = it.Deadline - seconds(it.serviceSeconds*(1+serviceMargin*q.serviceError[it.Kind]))
	}
	it.cust = q.customer(it)
	q.demand.record(it.cust, now, it.serviceSeconds)
	q.updateExcess(it.cust)
	it.key = levelKey(now, it.Priority+q.cfg.KindBoost[it.Kind], q.cfg.AgingStep)
}

// updateExcess checks whether a customer exceeds its share and reports a change to the policy.
func (q *Queue) updateExcess(c *customer) {
	excess := q.cfg.ExcessPenalty > 0 && q.demand.exceedsShare(c, q.limit.slots())
	if excess != c.excess {
		c.excess = excess
		q.policy.SetExcess(c, excess)
	}
}

func (q *Queue) customer(it *Item) *customer {
	c, ok := q.customers[it.Customer]
	if !ok {
		if len(q.customers) >= q.sweepAt {
			q.removeIdleCustomers()
		}
		c = newCustomer(float64(it.Weight))
		q.customers[it.Customer] = c
	}
	if c.weight != float64(it.Weight) {
		q.shed.setWeight(c, float64(it.Weight))
	}
	return c
}

func (q *Queue) removeIdleCustomers() {
	for name, c := range q.customers {
		if c.waiting == 0 && !c.demand.active {
			delete(q.customers, name)
		}
	}
	q.sweepAt = max(maxCustomers, 2*len(q.customers))
}

func (q *Queue) push(it *Item) {
	it.state = stateWaiting
	q.policy.Push(it)
	q.shed.push(it)
	if it.latestStart != noDeadline {
		q.deadlines.push(it)
	}
}

// unlink removes an item from the shedder and the deadlines, but not from the policy.
func (q *Queue) unlink(it *Item) {
	q.shed.remove(it)
	if q.deadlines.contains(it) {
		q.deadlines.remove(it)
	}
}

// makeRoom sheds one request of a full queue. If that is the new one, it returns its refusal and true.
func (q *Queue) makeRoom(now time.Duration, it *Item, wait time.Duration) (Decision, bool) {
	if !q.cfg.ShedByValue {
		return q.refuse(it, QueueFull, wait, wait), true
	}
	victim, reason := q.shed.victim(it)
	if victim == it {
		return q.refuse(it, reason, wait, wait), true
	}
	q.refuseWaiting(now, victim, reason)
	return Decision{}, false
}

// refuseWaiting removes a waiting item and adds its refusal to the outcomes.
func (q *Queue) refuseWaiting(now time.Duration, it *Item, reason Reason) {
	q.policy.Remove(it)
	q.unlink(it)
	wait := seconds(q.predictWait(now, it) * q.waitBias[it.lane()])
	q.outcomes = append(q.outcomes, Outcome{Item: it, Decision: q.refuse(it, reason, wait, wait)})
}

func (q *Queue) refuse(it *Item, reason Reason, wait, retry time.Duration) Decision {
	it.state = stateRefused
	return Decision{Verdict: Refuse, Reason: reason, PredictedWait: wait, RetryAfter: max(retry, minRetryAfter)}
}

// Advance drops items that can no longer meet their deadline, starts those that may start and returns the outcomes. The
// returned slice is valid until the next call of any method.
func (q *Queue) Advance(now time.Duration) []Outcome {
	q.expire(now)
	for q.totalRunning() < q.limit.slots() {
		it := q.policy.Pop(q.slotAvailable(Long))
		if it == nil {
			break
		}
		q.unlink(it)
		q.observeWait(it, now)
		q.start(now, it)
		q.outcomes = append(q.outcomes, Outcome{Item: it, Decision: Decision{
			Verdict: Run, Reason: NextInOrder, PredictedWait: seconds(it.uncorrectedWait * q.waitBias[it.lane()]),
		}})
	}
	if q.totalRunning() >= q.limit.slots() {
		q.limit.saturated = true
	}
	out := q.outcomes
	q.outcomes = q.outcomes[:0]
	return out
}

func (q *Queue) expire(now time.Duration) {
	if !q.cfg.DropExpired {
		return
	}
	for !q.deadlines.empty() && q.deadlines.min().latestStart < now {
		it := q.deadlines.min()
		q.observeWait(it, now)
		q.refuseWaiting(now, it, Expired)
	}
}

// NextDeadline returns the earliest time at which Advance will drop a waiting request, if there is one.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if q.deadlines.empty() || !q.cfg.DropExpired {
		return 0, false
	}
	return q.deadlines.min().latestStart + 1, true
}

// Cancel removes a waiting item from the queue. It returns false if the item is not waiting.
func (q *Queue) Cancel(it *Item) bool {
	if it.state != stateWaiting {
		return false
	}
	q.policy.Remove(it)
	q.unlink(it)
	it.state = stateRefused
	return true
}

// Done releases the slot of a request that completed and updates the predictions. Tokens is the number of generated
// tokens, and service the time that the request ran.
func (q *Queue) Done(now time.Duration, it *Item, tokens int, service time.Duration) {
	if it.state != stateRunning {
		return
	}
	q.Release(now, it)
	units := 1.0
	if it.Kind.Generation() {
		units = float64(tokens)
		q.predict.observe(it.Customer, it.Model, it.MaxTokens, tokens)
	}
	q.limit.observe(now, it.Kind, service.Seconds(), units)
	if it.serviceSeconds > 0 {
		relative := min(math.Abs(service.Seconds()-it.serviceSeconds)/it.serviceSeconds, maxServiceError)
		q.serviceError[it.Kind] += biasGain * (relative - q.serviceError[it.Kind])
	}
}

// Release releases the slot of a request that failed or did not run. It does not update the predictions.
func (q *Queue) Release(now time.Duration, it *Item) {
	if it.state != stateRunning {
		return
	}
	q.occupied[it.Kind].add(now, -1)
	it.state = stateDone
	q.running[it.Kind]--
	q.runningWork[it.Kind] -= it.serviceSeconds
}

func (q *Queue) start(now time.Duration, it *Item) {
	q.occupied[it.Kind].add(now, 1)
	it.state = stateRunning
	it.started = true
	q.running[it.Kind]++
	q.runningWork[it.Kind] += it.serviceSeconds
}

// Drain makes the queue refuse new requests. Waiting and running requests complete.
func (q *Queue) Drain() { q.draining = true }

// Idle reports whether no request waits or runs.
func (q *Queue) Idle() bool { return q.policy.Len() == 0 && q.totalRunning() == 0 }

func (q *Queue) totalRunning() int {
	n := 0
	for _, r := range q.running {
		n += r
	}
	return n
}

// Load is a snapshot of the queue.
type Load struct {
	Running, Waiting, Limit int
	// Wait is the predicted wait of a new short request of a customer without waiting requests.
	Wait     time.Duration
	Draining bool
}

// Load returns a snapshot at the given time.
func (q *Queue) Load(now time.Duration) Load {
	l := Load{
		Running: q.totalRunning(), Waiting: q.policy.Len(), Limit: q.limit.slots(), Draining: q.draining,
	}
	if l.Waiting > 0 || l.Running >= l.Limit {
		l.Wait = seconds(q.predictWait(now, &q.referenceItem) * q.waitBias[Short])
	}
	return l
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
