package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// loads is what a process knows of the load of all replicas of one model or service. Keeping it needs one step
// per request, so that the mean costs the same for any number of replicas. It outlives the pickers.
type loads struct {
	inFlight atomic.Int64
	// prefixes is nil for a service, whose calls have no prompt.
	prefixes *Prefixes

	mu sync.Mutex
	// sum and weight make the mean of reported loads, weighted by fade(age).
	sum, weight float64
	at          time.Time
}

// observe takes the load that others cause at one replica.
func (l *loads) observe(now time.Time, others float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.at) {
		f := fade(now.Sub(l.at))
		l.sum *= f
		l.weight *= f
		l.at = now
	}
	l.sum += others
	l.weight++
}

// others returns the mean load that other processes cause, 0 before the first report.
func (l *loads) others() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.weight == 0 {
		return 0
	}
	return l.sum / l.weight
}
