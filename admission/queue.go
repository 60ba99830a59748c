package admission

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After, so that refused callers do not come back in a tight loop.
	minRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is given while draining: another replica can take the request at once.
	drainRetryAfter = time.Second
	// biasGain is the weight of a new observation in the correction of predicted waits.
	biasGain = 0.05
	// maxBias bounds the correction of predicted waits upwards, and its inverse downwards.
	maxBias = 4
	// minBiasWait is the predicted wait in seconds from which the correction learns. Shorter ones are mostly
	// the rest of one service time.
	minBiasWait = 0.01
	// serviceMargin is the number of mean errors by which a run may take longer than predicted and still be in
	// time. Without a margin, half of the runs that start last are cut off at their deadline. Twice the mean
	// error is the whole range of a uniform distribution and 1.6 standard deviations of a normal one.
	serviceMargin = 2
	// minSlotShare is the part of the slots that the least preferred kind is expected to get, since aging does
	// not let it starve.
	minSlotShare = 0.05
	// waitMargin is the number of mean errors by which a wait may exceed the prediction and the request still be
	// accepted in time. Without a margin, requests are accepted up to the very limit, and many of those are
	// refused late.
	waitMargin = 2
	// maxServiceError bounds one observation of the relative error.
	maxServiceError = 1
	// maxCustomers is the number of known customers at which idle ones are forgotten.
	maxCustomers = 4096
)

// noDeadline is the latest start of a request without deadline.
const noDeadline = time.Duration(math.MaxInt64)

// Queue decides about the requests of one backend server. It is not safe for concurrent use. All times are
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
	sweepAt   int
	outcomes  []Outcome
	seq       uint64
	draining  bool
	// probe is a short request of a customer without waiting work, for Load.
	probe Item

	running [numKinds]int
	// runningWork is the predicted service time of running work in seconds.
	runningWork [numKinds]float64
	// occupied are the slots that each kind kept busy lately.
	occupied [numKinds]occupancy
	// serviceError is the running mean of the relative error of predicted service times.
	serviceError [numKinds]float64
	// waitBias is the running mean of actual over predicted waits.
	waitBias [numLanes]float64
	// waitError is the running mean of the relative error of the corrected predictions.
	waitError [numLanes]float64
}

// New returns an empty queue. It fails with a *ConfigError.
func New(cfg Config) (*Queue, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	q := &Queue{
		cfg:       cfg,
		policy:    newPolicy(cfg),
		limit:     newLimiter(cfg.Limit),
		predict:   newPredictor(),
		shed:      newShedder(cfg.KindWeight),
		customers: map[string]*customer{},
		sweepAt:   maxCustomers,
		probe:     Item{Request: Request{Kind: Short}, cust: newCustomer(1)},
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

// Offer decides about a new request. After Wait, the item belongs to the queue until an Outcome of Advance
// or Cancel gives it back. Offer may give up another waiting item, which Advance then returns.
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
	it.predictedWait = q.predictWait(now, it)
	wait := seconds(it.predictedWait * q.waitBias[it.lane()])
	worstWait := seconds(wait.Seconds() * (1 + waitMargin*q.waitError[it.lane()]))
	if left := it.latestStart - now; q.cfg.RefuseUnmeetable && worstWait > left {
		// Once the excess has drained, the same request would be in time.
		return q.refuse(it, Unmeetable, wait, worstWait-left)
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
	it.normalise()
	it.arrived = now
	it.seq = q.seq
	q.seq++
	if it.Kind.Generation() {
		it.tokens = q.predict.predict(it.Customer, it.Model, it.MaxTokens)
		it.Kind = q.predict.classify(it.tokens, it.Kind)
	}
	it.service = q.limit.kinds[it.Kind].meanUnitTime * max(it.tokens, 1)
	it.latestStart = noDeadline
	if it.Deadline != 0 {
		it.latestStart = it.Deadline - seconds(it.service*(1+serviceMargin*q.serviceError[it.Kind]))
	}
	it.cust = q.customer(it)
	q.demand.record(it.cust, now, it.service)
	q.updateExcess(it.cust)
	it.key = levelKey(now, it.Priority+q.cfg.KindBoost[it.Kind], q.cfg.AgingStep)
}

// updateExcess decides whether a customer offers more than its share.
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

func (q *Queue) unlink(it *Item) {
	q.shed.remove(it)
	if q.deadlines.contains(it) {
		q.deadlines.remove(it)
	}
}

// makeRoom gives up one request of a full queue. It reports whether that is the newcomer.
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

// refuseWaiting refuses a waiting item.
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

// Advance gives up what can no longer meet its deadline and starts what may start. The returned slice is
// valid until the next call of any method.
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
			Verdict: Run, Reason: NextInOrder, PredictedWait: seconds(it.predictedWait * q.waitBias[it.lane()]),
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

// NextDeadline returns the time from which Advance will give up a waiting request.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if q.deadlines.empty() || !q.cfg.DropExpired {
		return 0, false
	}
	return q.deadlines.min().latestStart + 1, true
}

// Cancel takes a waiting item out of the queue. It reports false when the item is not waiting.
func (q *Queue) Cancel(it *Item) bool {
	if it.state != stateWaiting {
		return false
	}
	q.policy.Remove(it)
	q.unlink(it)
	it.state = stateRefused
	return true
}

// Done gives back the slot of a request that ran to its end. Tokens is the number of generated tokens.
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
	if it.service > 0 {
		relative := min(math.Abs(service.Seconds()-it.service)/it.service, maxServiceError)
		q.serviceError[it.Kind] += biasGain * (relative - q.serviceError[it.Kind])
	}
}

// Release gives back the slot of a request that failed or did not run. Nothing is learned from it.
func (q *Queue) Release(now time.Duration, it *Item) {
	if it.state != stateRunning {
		return
	}
	q.occupied[it.Kind].add(now, -1)
	it.state = stateDone
	q.running[it.Kind]--
	q.runningWork[it.Kind] -= it.service
}

func (q *Queue) start(now time.Duration, it *Item) {
	q.occupied[it.Kind].add(now, 1)
	it.state = stateRunning
	it.started = true
	q.running[it.Kind]++
	q.runningWork[it.Kind] += it.service
}

// Drain makes the queue refuse new work. Waiting and running work is finished.
func (q *Queue) Drain() { q.draining = true }

// Idle says that nothing waits or runs.
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
	// Wait is the predicted wait of a new short request of a customer without waiting work.
	Wait     time.Duration
	Draining bool
}

// Load returns a snapshot.
func (q *Queue) Load(now time.Duration) Load {
	l := Load{
		Running: q.totalRunning(), Waiting: q.policy.Len(), Limit: q.limit.slots(), Draining: q.draining,
	}
	if l.Waiting > 0 || l.Running >= l.Limit {
		l.Wait = seconds(q.predictWait(now, &q.probe) * q.waitBias[Short])
	}
	return l
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
