package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a BoundedWriter.
const (
	flushInterval = 200 * time.Millisecond
	// maxPending bounds the bytes that wait for a reader that has stopped reading.
	maxPending = 256 << 10
	// maxBytesPerSecond bounds the volume of logs of one process.
	maxBytesPerSecond = 128 << 10
)

// BoundedWriter passes lines on to a writer from a goroutine of its own, so that whoever writes never waits. Lines
// above its bounds are dropped and counted; the count is written as a line of its own. Its methods may be called from
// any goroutine.
type BoundedWriter struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	dropped      int
	totalDropped int64
	second       int64
	bytes        int
	start        time.Time
}

// NewBoundedWriter returns a writer; Run passes the lines on.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{out: out, start: time.Now()}
}

// StartLogWriter returns a writer whose lines reach out until stop is called, which waits for the last ones.
func StartLogWriter(ctx context.Context, out io.Writer) (w *BoundedWriter, stop func()) {
	w = NewBoundedWriter(out)
	flushing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	flushed := make(chan struct{})
	go func() { w.Run(flushing); close(flushed) }()
	return w, func() { cancel(); <-flushed }
}

// Write takes whole lines; it never fails and never waits for the writer behind.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := int64(time.Since(w.start) / time.Second); second != w.second {
		w.second, w.bytes = second, 0
	}
	if len(w.pending)+len(p) > maxPending || w.bytes+len(p) > maxBytesPerSecond {
		w.dropped++
		w.totalDropped++
		return len(p), nil
	}
	w.bytes += len(p)
	w.pending = append(w.pending, p...)
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *BoundedWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// DroppedLines is the instrument that counts the lines dropped.
func (w *BoundedWriter) DroppedLines() Instrument {
	return Instrument{
		Name: "lavendermoor.log.dropped", Unit: "{line}", Counter: true, Value: w.Dropped,
		Description: "Log lines dropped because of the bounds on their volume or a reader that is behind.",
	}
}

// Run passes lines on until the context ends, and then what is left.
func (w *BoundedWriter) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var spare []byte
	for {
		select {
		case <-tick.C:
			spare = w.flush(spare)
		case <-ctx.Done():
			w.flush(spare)
			return
		}
	}
}

// flush writes what is pending and returns a buffer to use again.
func (w *BoundedWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(batch) > 0 {
		// Nobody can be told that the log cannot be written.
		_, _ = w.out.Write(batch)
	}
	return batch[:0]
}
