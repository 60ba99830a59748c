package side

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
)

// keepAliveInterval is the time without a frame after which a keep-alive frame is sent. Entries close a connection
// after four times this interval without a frame.
const keepAliveInterval = 250 * time.Millisecond

// frameWriter writes the frames of one response. Its methods are safe for concurrent use.
type frameWriter struct {
	id string

	mu      sync.Mutex
	enc     *json.Encoder
	out     *http.ResponseController
	nextSeq int64
	// sentSinceTick is true if a frame was sent since the last tick.
	sentSinceTick bool
	// ended is set with the last frame. The handler returns after it, and the response must not be written to any more.
	ended bool
	stop  chan struct{}
}

// newFrameWriter starts a response. It sends the load report in a header immediately, so that the entry receives it
// before the request completes.
func newFrameWriter(w http.ResponseWriter, id string, first int64, load peerapi.LoadReport) *frameWriter {
	report, err := json.Marshal(load)
	if err == nil {
		w.Header().Set(peerapi.HeaderLoad, string(report))
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	f := &frameWriter{
		id: id, enc: json.NewEncoder(w), out: http.NewResponseController(w), nextSeq: first, stop: make(chan struct{}),
	}
	_ = f.write(peerapi.Frame{}) // The first keep-alive flushes the headers.
	go f.keepAlive()
	return f
}

func (f *frameWriter) keepAlive() {
	t := time.NewTicker(keepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.tick()
		case <-f.stop:
			return
		}
	}
}

func (f *frameWriter) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	if !f.sentSinceTick {
		_ = f.writeLocked(peerapi.Frame{}) // If this write fails, the next data frame fails too.
	}
	f.sentSinceTick = false
}

func (f *frameWriter) write(frame peerapi.Frame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writeLocked(frame)
}

func (f *frameWriter) writeLocked(frame peerapi.Frame) error {
	frame.ID = f.id
	frame.Seq = f.nextSeq
	f.sentSinceTick = true
	if err := f.enc.Encode(frame); err != nil {
		return err
	}
	if len(frame.Data) > 0 {
		f.nextSeq++
	}
	return f.out.Flush()
}

// writeEvent sends one event of a generation, with the ID that the engine gave it.
func (f *frameWriter) writeEvent(id string, event json.RawMessage) error {
	return f.write(peerapi.Frame{Data: event, EventID: id})
}

// finish sends the last frame, which marks the response as complete or contains the error.
func (f *frameWriter) finish(result *peerapi.CallResult, e *callerapi.Error) {
	close(f.stop)
	frame := peerapi.Frame{Result: result, End: e == nil}
	if e != nil {
		frame.Error = &peerapi.FrameError{
			Type: e.Type, Message: e.Message, Executed: e.Executed, RetryAfterMs: e.RetryAfter.Milliseconds(),
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	// A failed write means that the entry has disconnected; it queries the outcome later.
	_ = f.writeLocked(frame)
}

// asCallerError returns the *callerapi.Error in err, or def.
func asCallerError(err error, def *callerapi.Error) *callerapi.Error {
	var e *callerapi.Error
	if errors.As(err, &e) {
		return e
	}
	return def
}
