package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var benchPolicies = []PolicyName{Fair, FIFO, Priority}

func benchRequest(r *rand.Rand, i int) Request {
	return Request{
		Customer: fmt.Sprintf("customer-%d", r.IntN(50)), Weight: 1 + r.IntN(4), Kind: Kind(r.IntN(numKinds)),
		Priority: r.IntN(MaxPriority + 1), Model: "m", MaxTokens: 16 << r.IntN(8), Deadline: time.Hour + time.Duration(i),
	}
}

// filledQueue returns a queue with the given number of waiting items and no free slot, and its running items.
func filledQueue(tb testing.TB, policy PolicyName, waiting int) (*Queue, []*Item) {
	tb.Helper()
	cfg := DefaultConfig()
	cfg.Policy = policy
	cfg.Limit.Fixed = true
	q, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	r := rand.New(rand.NewPCG(1, 2))
	var running []*Item
	for i := 0; q.policy.Len() < waiting; i++ {
		it := &Item{Request: benchRequest(r, i)}
		if q.Offer(0, it).Verdict == Run {
			running = append(running, it)
		}
	}
	return q, running
}

// BenchmarkDecision measures one arrival, one completion and the start that follows, with reused items.
func BenchmarkDecision(b *testing.B) {
	for _, policy := range benchPolicies {
		for _, waiting := range []int{100, 1000, 9999} {
			b.Run(fmt.Sprintf("policy=%s/waiting=%d", policy, waiting), func(b *testing.B) {
				q, running := filledQueue(b, policy, waiting)
				r := rand.New(rand.NewPCG(3, 4))
				reqs := make([]Request, 1024)
				for i := range reqs {
					reqs[i] = benchRequest(r, i)
				}
				spare := &Item{}
				now := time.Duration(0)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now += time.Microsecond
					*spare = Item{Request: reqs[i%len(reqs)]}
					q.Offer(now, spare)
					done := running[i%len(running)]
					q.Done(now, done, 100, 50*time.Millisecond)
					for _, o := range q.Advance(now) {
						if o.Verdict == Run {
							running[i%len(running)] = o.Item
						}
					}
					spare = done
				}
				b.ReportMetric(float64(q.policy.Len()), "waiting")
			})
		}
	}
}

// BenchmarkShed measures an arrival at a full queue, which sheds one request.
func BenchmarkShed(b *testing.B) {
	q, _ := filledQueue(b, Fair, MaxWaiting)
	r := rand.New(rand.NewPCG(3, 4))
	reqs := make([]Request, 1024)
	for i := range reqs {
		reqs[i] = benchRequest(r, i)
	}
	items := make([]Item, b.N+1)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		items[i] = Item{Request: reqs[i%len(reqs)]}
		q.Offer(0, &items[i])
		q.Advance(0)
	}
}
