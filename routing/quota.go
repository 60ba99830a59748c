package routing

import (
	"math"
	"sync"
	"time"

	"lavendermoor.example/api/operatorv1"
)

// quotaWindow is the period for which the expected number of requests determines the burst size of a bucket. The
// platform's load balancer distributes the requests of a customer over the entry processes at random, so the number at
// one entry has a Poisson distribution. A bucket without room for that variation refuses customers that are well below
// their quota. The burst includes at least one expected request. Without that, 1,100 entries refused 12% of the
// requests of a customer that used 80% of its quota of 20 requests per second.
const quotaWindow = 10 * time.Second

// quotaBurstDeviations is the number of standard deviations by which the burst size exceeds the expected requests.
const quotaBurstDeviations = 3

// Typical amounts taken from a bucket in one withdrawal: one request, or the tokens of about one response.
const (
	requestWithdrawal  = 1
	responseWithdrawal = 512
)

// QuotaLimiter enforces the request and token quotas of customers with token buckets. There is no global counter: each
// entry process grants the quota divided by the number of live entries. It is safe for concurrent use.
type QuotaLimiter struct {
	mu      sync.Mutex
	buckets map[string]*quotaBuckets
}

type quotaBuckets struct{ requests, tokens bucket }

// NewQuotaLimiter returns a limiter with no usage.
func NewQuotaLimiter() *QuotaLimiter { return &QuotaLimiter{buckets: map[string]*quotaBuckets{}} }

// TakeRequest takes one request from the customer's quota. If it is refused, wait is the time after which the customer
// may retry.
func (q *QuotaLimiter) TakeRequest(now time.Time, c *operatorv1.Customer, entries int) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucketsOf(c)
	b.requests.refill(now, c.GetRequestsPerSecond(), entries, requestWithdrawal)
	b.tokens.refill(now, c.GetTokensPerSecond(), entries, responseWithdrawal)
	wait = max(b.requests.wait(1), b.tokens.wait(0))
	if wait > 0 {
		return wait, false
	}
	b.requests.take(1)
	return 0, true
}

// TakeTokens takes n generated tokens from the customer's quota. The bucket may become negative, which delays the next
// request.
func (q *QuotaLimiter) TakeTokens(c *operatorv1.Customer, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bucketsOf(c).tokens.take(float64(n))
}

func (q *QuotaLimiter) bucketsOf(c *operatorv1.Customer) *quotaBuckets {
	b := q.buckets[c.GetName()]
	if b == nil {
		b = &quotaBuckets{}
		q.buckets[c.GetName()] = b
	}
	return b
}

// bucket is a token bucket. A rate of 0 means no limit.
type bucket struct {
	level, rate, burst float64
	updatedAt          time.Time
}

// refill refills the bucket up to now, and applies the current quota and number of entries. withdrawal is the typical
// size of one withdrawal.
func (b *bucket) refill(now time.Time, quota float64, entries int, withdrawal float64) {
	fresh := b.updatedAt.IsZero()
	b.level += b.rate * max(now.Sub(b.updatedAt), 0).Seconds()
	b.updatedAt = now
	b.rate = quota / float64(max(entries, 1))
	expected := max(b.rate*quotaWindow.Seconds(), withdrawal)
	b.burst = expected + quotaBurstDeviations*math.Sqrt(expected*withdrawal) + withdrawal
	if fresh {
		// A bucket that started with two requests refused 15% of the requests of a customer at 80% of its quota in the
		// first five minutes. A full bucket allows one initial burst, which the sidecars schedule by customer weight.
		b.level = b.burst
	}
	b.level = min(b.level, b.burst)
}

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// wait returns the time until the bucket holds n, 0 if it already does.
func (b *bucket) wait(n float64) time.Duration {
	if b.rate <= 0 || b.level >= n {
		return 0
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second))
}
