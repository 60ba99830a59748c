package routing

import (
	"math"
	"sync"
	"time"

	"lavendermoor.example/api/operatorv1"
)

// quotaWindow is the time over which an entry lets a customer's requests vary. The platform's balancer spreads
// the requests of a customer over the entries at random, so that an entry's share varies as a Poisson number
// does; a bucket without that room refuses customers that are well below their quota. Where less than one request
// falls into the window, the bucket has room as for one: without that, 1,100 entries refused 12% of the requests of a
// customer that used 80% of its quota of 20 a second.
const quotaWindow = 10 * time.Second

// quotaDeviations is the number of standard deviations of room.
const quotaBurstDeviations = 3

// What a bucket is taken from at a time: one request, or the tokens of about one answer.
const (
	requestWithdrawal = 1
	answerWithdrawal  = 512
)

// Quota grants requests and tokens from the buckets of each customer. There is no global counter: an entry
// grants the quota over the number of live entries. It may be used by any goroutine.
type Quota struct {
	mu      sync.Mutex
	buckets map[string]*quotaBuckets
}

type quotaBuckets struct{ requests, tokens bucket }

// NewQuota returns a quota without any use.
func NewQuota() *Quota { return &Quota{buckets: map[string]*quotaBuckets{}} }

// TakeRequest takes one request of the customer. When it is refused, wait is the time after which it may be
// repeated.
func (q *Quota) TakeRequest(now time.Time, c *operatorv1.Customer, entries int) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucketsOf(c)
	b.requests.refill(now, c.GetRequestsPerSecond(), entries, requestWithdrawal)
	b.tokens.refill(now, c.GetTokensPerSecond(), entries, answerWithdrawal)
	wait = max(b.requests.wait(1), b.tokens.wait(0))
	if wait > 0 {
		return wait, false
	}
	b.requests.take(1)
	return 0, true
}

// TakeTokens takes tokens that were generated. The bucket may go below zero, which delays the next request.
func (q *Quota) TakeTokens(c *operatorv1.Customer, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bucketsOf(c).tokens.take(float64(n))
}

func (q *Quota) bucketsOf(c *operatorv1.Customer) *quotaBuckets {
	b := q.buckets[c.GetName()]
	if b == nil {
		b = &quotaBuckets{}
		q.buckets[c.GetName()] = b
	}
	return b
}

// bucket is a token bucket; rate 0 is no limit.
type bucket struct {
	level, rate, burst float64
	updatedAt          time.Time
}

// set fills the bucket up to now and applies the present quota and number of entries; the use comes in units.
func (b *bucket) refill(now time.Time, quota float64, entries int, withdrawal float64) {
	fresh := b.updatedAt.IsZero()
	b.level += b.rate * max(now.Sub(b.updatedAt), 0).Seconds()
	b.updatedAt = now
	b.rate = quota / float64(max(entries, 1))
	expected := max(b.rate*quotaWindow.Seconds(), withdrawal)
	b.burst = expected + quotaBurstDeviations*math.Sqrt(expected*withdrawal) + withdrawal
	if fresh {
		// A bucket that starts with two requests refused 15% of the requests of a customer at 80% of its quota in the
		// first five minutes. The price of a full one is a burst, once, which the side processes share out by weight.
		b.level = b.burst
	}
	b.level = min(b.level, b.burst)
}

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// wait returns the time until the bucket holds n, 0 when it does.
func (b *bucket) wait(n float64) time.Duration {
	if b.rate <= 0 || b.level >= n {
		return 0
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second))
}
