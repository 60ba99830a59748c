package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a BoundedWriter.
const (
	flushInterval = 200 * time.Millisecond
	// lastFlushTimeout bounds the wait for the last lines of a process. Their reader may be blocked.
	lastFlushTimeout = 200 * time.Millisecond
	// maxPending limits the buffered bytes while the output is blocked.
	maxPending = 256 << 10
	// maxBytesPerSecond limits the log volume of a process.
	maxBytesPerSecond = 128 << 10
)

// BoundedWriter forwards lines to a writer from a separate goroutine, so callers of Write never block. Lines above the
// limits are dropped and counted, and the count is written as a separate line. It is safe for concurrent use.
type BoundedWriter struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	dropped      int // Lines dropped since the last flush.
	totalDropped int64
	second       int64 // The last second with a call of Write, counted from start.
	bytes        int   // Bytes accepted in that second.
	start        time.Time
}

// NewBoundedWriter returns a writer whose Run forwards the lines to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{out: out, start: time.Now()}
}

// StartLogWriter returns a running writer to out. stop flushes the remaining lines and waits for them, at most
// lastFlushTimeout.
func StartLogWriter(ctx context.Context, out io.Writer) (w *BoundedWriter, stop func()) {
	w = NewBoundedWriter(out)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	flushed := make(chan struct{})
	go func() { w.Run(runCtx); close(flushed) }()
	return w, func() {
		cancel()
		select {
		case <-flushed:
		case <-time.After(lastFlushTimeout):
		}
	}
}

// Write accepts whole lines. It never fails and never waits for the underlying writer.
func (w *BoundedWriter) Write(p []byte) (int, error) { return w.writeWithin(p, 1) }

// Share returns a writer of lines that may use only the given fraction of the limits. It leaves the rest to other lines.
func (w *BoundedWriter) Share(fraction float64) io.Writer {
	return &shareWriter{writer: w, fraction: fraction}
}

type shareWriter struct {
	writer   *BoundedWriter
	fraction float64
}

// Write implements io.Writer like BoundedWriter.Write.
func (s *shareWriter) Write(p []byte) (int, error) { return s.writer.writeWithin(p, s.fraction) }

// writeWithin accepts whole lines up to a fraction of the limits.
func (w *BoundedWriter) writeWithin(p []byte, fraction float64) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := int64(time.Since(w.start) / time.Second); second != w.second {
		w.second, w.bytes = second, 0
	}
	if len(w.pending)+len(p) > int(fraction*maxPending) || w.bytes+len(p) > int(fraction*maxBytesPerSecond) {
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

// DroppedLines returns the instrument that counts the lines dropped.
func (w *BoundedWriter) DroppedLines() Instrument {
	return Instrument{
		Name: "lavendermoor.log.dropped", Unit: "{line}", Counter: true, Value: w.Dropped,
		Description: "Log lines dropped because of the bounds on their volume or a reader that is behind.",
	}
}

// Run forwards lines until the context ends, and then the remaining ones.
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

// flush writes the pending lines and returns a buffer for reuse.
func (w *BoundedWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(batch) > 0 {
		n, err := w.out.Write(batch)
		if err != nil {
			w.countLost(batch[n:])
		}
	}
	return batch[:0]
}

// countLost counts the lines that the output did not take, for instance because its reader has gone.
func (w *BoundedWriter) countLost(rest []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totalDropped += int64(bytes.Count(rest, []byte("\n")))
}
