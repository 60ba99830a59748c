package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
)

// Guards against a retry storm: a fleet that refuses all requests must not receive each of them several times.
func TestRetriesAreBudgeted(t *testing.T) {
	b := NewRetryBudget(DefaultRetryBudgetConfig())
	now, retries := start, 0
	for range 60 * 100 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(now)
		for range 3 {
			if b.TryRetry(now) {
				retries++
			}
		}
	}
	require.InDelta(t, 600, retries, 70)
	now = now.Add(time.Minute)
	granted := 0
	for range 100 {
		if b.TryRetry(now) {
			granted++
		}
	}
	require.InDelta(t, DefaultRetryBudgetConfig().MinRetries, granted, 0, "an idle entry may still send a few retries")
}

// Guards against several processes that together exceed their shared retry limit in some interval of the window's
// length. This could happen with one burst at the end of a window and another at the beginning of the next. The test
// sends retries continuously, aligned to seconds and with an offset.
func TestSplitRetryBudgetsStayWithinTheSharedLimit(t *testing.T) {
	const processes, window, slack, ratio = 21, 10 * time.Second, 264.0, 0.2
	splitConfig := RetryBudgetConfig{Ratio: 0.45 * ratio, MinRetries: 0.45 * slack / processes, WindowSeconds: 10}
	for _, offset := range []time.Duration{0, 990 * time.Millisecond} {
		var sent []time.Time
		for range processes {
			b := NewRetryBudget(splitConfig)
			for at := offset; at < 3*window; at += 10 * time.Millisecond {
				if b.TryRetry(start.Add(at)) {
					sent = append(sent, start.Add(at))
				}
			}
		}
		for _, from := range sent {
			n := 0
			for _, at := range sent {
				if !at.Before(from) && at.Before(from.Add(window)) {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), slack)
		}
	}
}

// Guards against hedging work that may have side effects, and against hedging before enough latencies have been
// recorded.
func TestOnlyIdempotentStatusCallsAreHedged(t *testing.T) {
	var h Hedger
	status := &peerapi.Work{Kind: peerapi.KindStatus, Idempotent: true}
	_, ok := h.Delay(status)
	require.False(t, ok)
	for i := range 400 {
		h.ObserveLatency(time.Duration(i%100) * time.Millisecond)
	}
	delay, ok := h.Delay(status)
	require.True(t, ok)
	require.InDelta(t, 95, delay.Milliseconds(), 4)
	_, ok = h.Delay(&peerapi.Work{Kind: peerapi.KindCommand, Idempotent: true})
	require.False(t, ok)
	_, ok = h.Delay(&peerapi.Work{Kind: peerapi.KindStatus})
	require.False(t, ok)
}

// admittedRate sends requests to random entries for the time d and returns the rate at which they are admitted. The
// requests are Poisson arrivals at the rate demand. All rates are in requests per second.
func admittedRate(entries int, quota, demand float64, d time.Duration) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	c := &operatorv1.Customer{Name: "c", RequestsPerSecond: quota}
	quotas := make([]*QuotaLimiter, entries)
	for i := range quotas {
		quotas[i] = NewQuotaLimiter()
	}
	n := 0
	end := start.Add(d)
	for now := start; now.Before(end); {
		now = now.Add(time.Duration(rng.ExpFloat64() / demand * float64(time.Second)))
		if _, ok := quotas[rng.IntN(entries)].TakeRequest(now, c, entries); ok {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// Guards against per-entry quota shares that refuse customers below their quota, or together admit far more than it.
func TestPerEntryQuotaSharesAddUpToTheQuota(t *testing.T) {
	const quota = 400
	require.InEpsilon(t, 0.8*quota, admittedRate(100, quota, 0.8*quota, 5*time.Minute), 0.03)
	require.InEpsilon(t, quota, admittedRate(100, quota, 3*quota, 5*time.Minute), 0.10)
	for _, q := range []float64{20, 400} {
		for _, demand := range []float64{0.5, 0.8, 1, 3} {
			t.Logf("1,100 entries, quota %v/s, demand %v of it: %.2f of the quota admitted",
				q, demand, admittedRate(1100, q, demand*q, 5*time.Minute)/q)
		}
	}
}

// Guards against a token quota that is never enforced, or that never recovers.
func TestTokenQuotaDelaysTheNextRequest(t *testing.T) {
	q := NewQuotaLimiter()
	c := &operatorv1.Customer{Name: "c", TokensPerSecond: 100}
	_, ok := q.TakeRequest(start, c, 1)
	require.True(t, ok)
	q.TakeTokens(c, 10_000)
	wait, ok := q.TakeRequest(start, c, 1)
	require.False(t, ok)
	require.Greater(t, wait, 10*time.Second)
	_, ok = q.TakeRequest(start.Add(wait), c, 1)
	require.True(t, ok)
	_, ok = q.TakeRequest(start, &operatorv1.Customer{Name: "unlimited"}, 1)
	require.True(t, ok)
}
