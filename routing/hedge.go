package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/api/peerapi"
)

const (
	// hedgeSamples is the number of most recent latencies kept.
	hedgeSamples = 256
	// hedgeMinSamples is the number of samples required for a reliable percentile.
	hedgeMinSamples = 32
	hedgeQuantile   = 0.95
	// hedgeRecomputeInterval is the number of latencies after which the quantile is computed again.
	hedgeRecomputeInterval = 16
)

// Hedger decides when a call is hedged: sent a second time while the first attempt is still running. It is safe for
// concurrent use.
type Hedger struct {
	delay atomic.Int64

	mu      sync.Mutex
	samples [hedgeSamples]time.Duration
	count   int
}

// ObserveLatency records the latency of a call that may be hedged.
func (h *Hedger) ObserveLatency(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples[h.count%hedgeSamples] = latency
	h.count++
	if h.count >= hedgeMinSamples && h.count%hedgeRecomputeInterval == 0 {
		recent := slices.Clone(h.samples[:min(h.count, hedgeSamples)])
		slices.Sort(recent)
		h.delay.Store(int64(recent[int(hedgeQuantile*float64(len(recent)-1))]))
	}
}

// Delay returns the time after which a call is sent again: the 95th percentile of the recent latencies of such calls.
// It returns false for work that must not be hedged, and while there are too few samples.
func (h *Hedger) Delay(w *peerapi.Work) (time.Duration, bool) {
	d := time.Duration(h.delay.Load())
	return d, d > 0 && MayHedge(w)
}

// MayHedge reports whether work may be hedged: only idempotent status calls, which are short and have no side effects.
func MayHedge(w *peerapi.Work) bool { return w.Idempotent && w.Kind == peerapi.KindStatus }
