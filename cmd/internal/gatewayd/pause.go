package gatewayd

import (
	"context"
	"sync"
	"time"

	"lavendermoor.example/cmd/internal/process"
)

const (
	// pauseCheckInterval is the interval at which a process records that it runs. A process that has not run for minPause
	// counts as paused.
	pauseCheckInterval = 100 * time.Millisecond
	minPause           = 2 * pauseCheckInterval
)

// pauseDetector remembers the last time at which the process did not run, because it was paused or got no processor. It is
// safe for concurrent use.
type pauseDetector struct {
	mu      sync.Mutex
	lastRan time.Time
	// began and ended are those of the last pause.
	began, ended time.Time
}

// run observes the process until the context ends.
func (d *pauseDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.observe(time.Now())
		process.Sleep(ctx, pauseCheckInterval)
	}
}

// observe records that the process runs.
func (d *pauseDetector) observe(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastRan.IsZero() && now.Sub(d.lastRan) >= minPause {
		d.began, d.ended = d.lastRan, now
	}
	d.lastRan = now
}

// earliestSignal returns the earliest time at which a signal that is handled now may have been sent. The platform counts
// the grace from the signal, which a paused process handles late.
func (d *pauseDetector) earliestSignal(now time.Time) time.Time {
	d.observe(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended.IsZero() && now.Sub(d.ended) < minPause {
		return d.began
	}
	return now
}
