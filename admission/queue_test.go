package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests and fails when a goroutine is left behind.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	goleak.VerifyTestMain(m)
}

// fixedConfig returns the default configuration with a fixed concurrency limit.
func fixedConfig(slots int) Config {
	cfg := DefaultConfig()
	cfg.Limit = LimitConfig{Initial: slots, Min: 1, Max: slots, Tolerance: 1.5, Fixed: true}
	return cfg
}

func newQueue(t testing.TB, cfg Config) *Queue {
	t.Helper()
	q, err := New(cfg)
	require.NoError(t, err)
	return q
}

// observeServiceTimes makes the queue predict the given service time for a kind.
func observeServiceTimes(q *Queue, k Kind, service time.Duration) {
	for range 3 {
		it := &Item{Request: Request{Customer: "teacher", Kind: k, MaxTokens: 1}}
		q.Offer(0, it)
		q.Done(0, it, 1, service)
	}
}

func offer(q *Queue, now time.Duration, r Request) (*Item, Decision) {
	it := &Item{Request: r}
	return it, q.Offer(now, it)
}

// serve runs a queue with one slot and a fixed service time until end and calls arrive before each start. It returns
// the started items in order.
func serve(q *Queue, service, end time.Duration, arrive func(now time.Duration)) []*Item {
	running, _ := offer(q, 0, Request{Customer: "first", Kind: Status})
	var order []*Item
	for now := time.Duration(0); now < end; now += service {
		arrive(now)
		q.Done(now, running, 1, service)
		for _, o := range q.Advance(now) {
			if o.Verdict == Run {
				running = o.Item
				order = append(order, o.Item)
			}
		}
	}
	return order
}

// Guards against starvation of a low-priority request by a stream of high-priority ones.
func TestAgingPreventsStarvation(t *testing.T) {
	served := func(step time.Duration) bool {
		cfg := fixedConfig(1)
		cfg.AgingStep = step
		q := newQueue(t, cfg)
		var low *Item
		serve(q, 100*time.Millisecond, time.Minute, func(now time.Duration) {
			if now == 0 {
				low, _ = offer(q, now, Request{Customer: "b", Kind: Long})
			}
			offer(q, now, Request{Customer: "a", Kind: Status, Priority: MaxPriority})
		})
		return low.Started()
	}
	require.True(t, served(AgingStep), "15 levels of 2 s take less than a minute")
	require.False(t, served(24*time.Hour), "without aging the request must starve")
}

// Guards against accepting a request whose deadline cannot be met, and against a wrong Retry-After: after that time the
// same request must be accepted and meet its deadline.
func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	const service = time.Second
	fill := func(cfg Config) (*Queue, *Item) {
		q := newQueue(t, cfg)
		observeServiceTimes(q, Command, service)
		first, _ := offer(q, 0, Request{Customer: "a", Kind: Command})
		for range 10 {
			offer(q, 0, Request{Customer: "a", Kind: Command})
		}
		return q, first
	}
	request := func(now time.Duration) Request {
		return Request{Customer: "a", Kind: Command, Deadline: now + 5*service}
	}
	q, running := fill(fixedConfig(1))
	_, d := offer(q, 0, request(0))
	require.Equal(t, Unmeetable, d.Reason)
	require.Equal(t, 11*service, d.PredictedWait)
	require.Equal(t, 7*service, d.RetryAfter)

	again, end := (*Item)(nil), 7*service
	for now := service; now <= 12*service; now += service {
		q.Done(now, running, 0, service)
		if now == end {
			again, d = offer(q, now, request(now))
			require.Equal(t, Wait, d.Verdict, "%s", d.Reason)
		}
		for _, o := range q.Advance(now) {
			running = o.Item
			if o.Item == again {
				require.Equal(t, Run, o.Verdict)
				require.LessOrEqual(t, now+service, again.Deadline)
				return
			}
		}
	}
	t.Fatal("the retried request was not served")
}

// Guards against running a request that can no longer meet its deadline after waiting.
func TestExpiredRequestIsDropped(t *testing.T) {
	run := func(drop bool) Outcome {
		cfg := fixedConfig(1)
		cfg.RefuseUnmeetable, cfg.DropExpired = false, drop
		q := newQueue(t, cfg)
		observeServiceTimes(q, Status, time.Second)
		first, _ := offer(q, 0, Request{Customer: "a", Kind: Status})
		late, _ := offer(q, 0, Request{Customer: "a", Kind: Status, Deadline: 3 * time.Second})
		if drop {
			at, ok := q.NextDeadline()
			require.True(t, ok)
			require.Equal(t, 2*time.Second+1, at)
			require.Empty(t, q.Advance(2*time.Second))
		}
		q.Release(4*time.Second, first)
		out := q.Advance(4 * time.Second)
		require.Len(t, out, 1)
		require.Same(t, late, out[0].Item)
		return out[0]
	}
	dropped := run(true)
	require.Equal(t, Refuse, dropped.Verdict)
	require.Equal(t, Expired, dropped.Reason)
	require.Positive(t, dropped.RetryAfter)
	require.Equal(t, Run, run(false).Verdict, "with DropExpired off, the request must start late")
}

// Guards against a flooding customer that takes the share of another customer.
func TestFairShareUnderFlood(t *testing.T) {
	share := func(policy PolicyName, weight int) float64 {
		cfg := fixedConfig(1)
		// Both customers exceed their share; only the order within a kind is tested here.
		cfg.Policy, cfg.ExcessPenalty = policy, 0
		q := newQueue(t, cfg)
		order := serve(q, 10*time.Millisecond, 10*time.Second, func(now time.Duration) {
			for range 10 {
				offer(q, now, Request{Customer: "flood", Kind: Status})
			}
			offer(q, now, Request{Customer: "steady", Weight: weight, Kind: Status})
		})
		n := 0
		for _, it := range order {
			if it.Customer == "steady" {
				n++
			}
		}
		return float64(n) / float64(len(order))
	}
	require.InDelta(t, 0.5, share(Fair, 1), 0.02)
	require.InDelta(t, 0.75, share(Fair, 3), 0.02)
	require.Less(t, share(FIFO, 1), 0.15, "without fair queueing the flood must win")
}

// Guards against shedding requests of customers within their share before those of a customer above its share, even if
// the latter have a higher value.
func TestFullQueueShedsExcessFirst(t *testing.T) {
	fill := func(byValue bool) *Queue {
		cfg := fixedConfig(1)
		cfg.MaxWaiting, cfg.ShedByValue = 20, byValue
		q := newQueue(t, cfg)
		for range 18 {
			offer(q, 0, Request{Customer: "flood", Kind: Command, Priority: 9})
		}
		for range 3 {
			offer(q, 0, Request{Customer: "steady", Kind: Status})
		}
		return q
	}
	q := fill(true)
	_, d := offer(q, 0, Request{Customer: "steady", Kind: Status})
	require.Equal(t, Wait, d.Verdict)
	out := q.Advance(0)
	require.Len(t, out, 1)
	require.Equal(t, "flood", out[0].Item.Customer)
	require.Equal(t, ShedShare, out[0].Reason)
	require.Positive(t, out[0].RetryAfter)

	_, d = offer(q, 0, Request{Customer: "flood", Kind: Command, Priority: 9})
	require.Equal(t, ShedShare, d.Reason, "a request of the customer above its share must not replace one of equal value")

	q = fill(false)
	_, d = offer(q, 0, Request{Customer: "steady", Kind: Status})
	require.Equal(t, QueueFull, d.Reason, "with ShedByValue off, the new request must be refused")
}

// Guards against shedding a request other than the least valuable one when all customers are within their share.
func TestFullQueueShedsLowestValue(t *testing.T) {
	cfg := fixedConfig(1)
	cfg.MaxWaiting = 10
	q := newQueue(t, cfg)
	for i := range 11 {
		offer(q, 0, Request{Customer: fmt.Sprint("c", i%2), Kind: Command, Priority: i % 5})
	}
	_, d := offer(q, 0, Request{Customer: "c0", Kind: Long})
	require.Equal(t, Refuse, d.Verdict)
	require.Equal(t, ShedValue, d.Reason)
	_, d = offer(q, 0, Request{Customer: "c0", Kind: Command, Priority: 9})
	require.Equal(t, Wait, d.Verdict)
	out := q.Advance(0)
	require.Len(t, out, 1)
	require.Equal(t, 0, out[0].Item.Priority)
}

// Guards against requests of kind Long that run in the slots reserved for other kinds.
func TestReservedSlots(t *testing.T) {
	reason := func(share float64) Reason {
		cfg := fixedConfig(8)
		cfg.ReservedShare = share
		q := newQueue(t, cfg)
		for range 10 {
			offer(q, 0, Request{Customer: "a", Kind: Long, MaxTokens: 1000})
			q.Advance(0)
		}
		_, d := offer(q, 0, Request{Customer: "b", Kind: Status})
		return d.Reason
	}
	require.Equal(t, FreeSlot, reason(0.25))
	require.Equal(t, NoSlot, reason(0), "without reserved slots the request must wait")
}

// Guards against predictions from max_tokens instead of the tokens that a customer's requests generated.
func TestPredictionFollowsHistory(t *testing.T) {
	p := newPredictor()
	require.InDelta(t, 500, p.predict("a", "m", 1000), 0.1)
	for range 50 {
		p.observe("a", "m", 1000, 20)
		p.observe("a", "m", 8000, 6000)
	}
	require.InDelta(t, 20, p.predict("a", "m", 1000), 0.1)
	require.InDelta(t, 6000, p.predict("a", "m", 8000), 0.1)
	require.LessOrEqual(t, p.predict("a", "m", 600), 600.0)
	for range 100 {
		p.classify(20, Short)
	}
	require.Equal(t, Long, p.classify(6000, Short))
	require.Equal(t, Short, p.classify(160, Long))
	for i := range 3 * maxHistories {
		p.observe(fmt.Sprint(i), "m", 10, 10)
	}
	require.LessOrEqual(t, len(p.histories), maxHistories)
}

// Guards against a draining queue that accepts new requests or loses waiting ones.
func TestDrain(t *testing.T) {
	q := newQueue(t, fixedConfig(1))
	running, _ := offer(q, 0, Request{Customer: "a", Kind: Status})
	waiting, _ := offer(q, 0, Request{Customer: "a", Kind: Status})
	q.Drain()
	_, d := offer(q, 0, Request{Customer: "a", Kind: Status})
	require.Equal(t, Draining, d.Reason)
	require.Positive(t, d.RetryAfter)
	require.False(t, q.Idle())
	q.Done(time.Second, running, 0, time.Second)
	require.Same(t, waiting, q.Advance(time.Second)[0].Item)
	q.Done(2*time.Second, waiting, 0, time.Second)
	require.True(t, q.Idle())
}

// Guards against a configuration that is accepted although one of its values is invalid.
func TestInvalidConfigIsRejected(t *testing.T) {
	var bad *ConfigError
	for _, change := range []func(*Config){
		func(c *Config) { c.Policy = "random" },
		func(c *Config) { c.MaxWaiting = 0 },
		func(c *Config) { c.ReservedShare = 1 },
		func(c *Config) { c.AgingStep = 0 },
		func(c *Config) { c.Limit.Initial = c.Limit.Max + 1 },
		func(c *Config) { c.Limit.Tolerance = 1 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		_, err := New(cfg)
		require.ErrorAs(t, err, &bad)
	}
}

// Guards against a customer that gets extra service after an idle period.
func TestIdleCustomerEarnsNoCredit(t *testing.T) {
	cfg := fixedConfig(1)
	cfg.ExcessPenalty = 0
	q := newQueue(t, cfg)
	observeServiceTimes(q, Status, 10*time.Millisecond)
	order := serve(q, 10*time.Millisecond, 2*time.Second, func(now time.Duration) {
		offer(q, now, Request{Customer: "steady", Kind: Status})
		offer(q, now, Request{Customer: "steady", Kind: Status})
		if now >= time.Second {
			offer(q, now, Request{Customer: "idle", Kind: Status})
		}
	})
	n := 0
	for _, it := range order[100:] {
		if it.Customer == "steady" {
			n++
		}
	}
	require.InDelta(t, 50, n, 1)
}

// Guards against a flood of a preferred kind that takes the share of a customer with requests of a less preferred kind.
func TestFairShareAcrossKinds(t *testing.T) {
	share := func(penalty int) float64 {
		cfg := fixedConfig(1)
		cfg.ExcessPenalty, cfg.AgingStep = penalty, time.Hour
		q := newQueue(t, cfg)
		observeServiceTimes(q, Status, 10*time.Millisecond)
		observeServiceTimes(q, Short, 10*time.Millisecond)
		order := serve(q, 10*time.Millisecond, 20*time.Second, func(now time.Duration) {
			for range 10 {
				offer(q, now, Request{Customer: "flood", Kind: Status})
			}
			if now%(30*time.Millisecond) == 0 {
				offer(q, now, Request{Customer: "steady", Kind: Short, MaxTokens: 1})
			}
		})
		n := 0
		for _, it := range order[len(order)/2:] {
			if it.Customer == "steady" {
				n++
			}
		}
		return float64(n) / float64(len(order)-len(order)/2)
	}
	require.InDelta(t, 0.33, share(8), 0.02, "a third of the capacity is within the customer's share of a half")
	require.Zero(t, share(0), "without ExcessPenalty the customer must starve")
}
