package upstream

import (
	"context"
	"io"
	"sync"
	"time"
)

// maxSilentTimeouts is the number of consecutive timeouts after which a silent exchange is canceled even if its request
// cannot be retried. With the default timeout, this is the time after which a silent server counts as down.
const maxSilentTimeouts = 3

// watchdog cancels an exchange that receives no byte for a timeout. While the request cannot be retried, it waits for
// further timeouts, because the server may continue its response. It is safe for concurrent use.
type watchdog struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// onKept is called when a silent exchange is not canceled.
	onKept func()

	mu    sync.Mutex
	timer *time.Timer
	// reserveRetry is attempt.reserveRetry; it is nil after the exchange has ended.
	reserveRetry func() bool
	// silentTimeouts counts the timeouts since the last byte.
	silentTimeouts int
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		timeout: a.c.opts.SilenceTimeout, cancel: cancel, reserveRetry: a.reserveRetry,
		onKept: func() { a.c.opts.Members.ObserveSilence(a.replica.Name) },
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.expire)
	return w
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentTimeouts++
	if w.silentTimeouts < maxSilentTimeouts && w.reserveRetry != nil && !w.reserveRetry() {
		w.onKept()
		w.timer.Reset(w.timeout)
		return
	}
	w.cancel(&SilentConnectionError{For: time.Duration(w.silentTimeouts) * w.timeout})
}

// reset starts the timeout again after bytes were received.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentTimeouts = 0
	w.timer.Reset(w.timeout)
}

// endExchange makes the watchdog cancel at the next timeout without reserving a retry. After it, reserveRetry is not
// running and is not called again.
func (w *watchdog) endExchange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserveRetry = nil
}

func (w *watchdog) stop() { w.timer.Stop() }

// watchedReader resets the watchdog with every read that returns bytes.
type watchedReader struct {
	r        io.Reader
	watchdog *watchdog
}

func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if n > 0 {
		w.watchdog.reset()
	}
	return n, err
}
