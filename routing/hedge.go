package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/api/peerapi"
)

const (
	hedgeSamples = 256
	// hedgeMinimum is the number of samples without which the percentile is not trusted.
	hedgeMinSamples        = 32
	hedgeQuantile          = 0.95
	hedgeRecomputeInterval = 16
)

// Hedge decides when a call is sent a second time while the first still runs. It may be used by any goroutine.
type Hedger struct {
	delay atomic.Int64

	mu      sync.Mutex
	samples [hedgeSamples]time.Duration
	count   int
}

// ObserveLatency takes the latency of a call that may be hedged.
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

// Delay returns the time after which a call is sent again: the 95th percentile of recent latencies of such
// calls. It returns false for work that must not be hedged, and while too few latencies are known.
func (h *Hedger) Delay(w *peerapi.Work) (time.Duration, bool) {
	d := time.Duration(h.delay.Load())
	return d, d > 0 && MayHedge(w)
}

// MayHedge says whether work may be hedged: only idempotent status calls, which are short and harmless.
func MayHedge(w *peerapi.Work) bool { return w.Idempotent && w.Kind == peerapi.KindStatus }
