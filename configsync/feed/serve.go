package feed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds a write to a caller that does not read, in which case its goroutine would never end.
const writeTimeout = 10 * time.Second

// Handler returns the handler of GET /peer/v1/config. The parameter after is the caller's revision, wait_ms how
// long to go on sending changes; without it the wait is the longest one.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.serve) }

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait := pollWait
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			http.Error(w, "wait_ms must be a number of milliseconds", http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, pollWait)
	}
	w.Header().Set("Content-Type", "application/json")
	n.stream(w, r, after, wait)
}

// stream sends what the caller lacks, then changes as they come into force and lines without content in between,
// until the wait is over or this process stops.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, after int64, wait time.Duration) {
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	last := wait == 0
	for {
		changed := n.Changed()
		line := n.lineAfter(after)
		line.End = last
		_ = out.SetWriteDeadline(time.Now().Add(writeTimeout))
		if enc.Encode(line) != nil || out.Flush() != nil || last {
			return
		}
		after = max(after, line.Revision)
		select {
		case <-changed:
		case <-tick.C:
		case <-end.C:
			last = true
		case <-n.stopped:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// lineAfter returns what a caller with a revision lacks.
func (n *Node) lineAfter(after int64) *Line {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.state.Load()
	line := &Line{Revision: n.revision(), AgeMs: n.age().Milliseconds()}
	if s == nil || s.Revision <= after {
		return line
	}
	if changes, ok := n.recent.since(after); ok && after > 0 {
		line.Changes = changes
		return line
	}
	if n.recent.snapshot == nil {
		raw, err := EncodeState(s)
		if err != nil {
			return &Line{AgeMs: line.AgeMs}
		}
		n.recent.snapshot = raw
	}
	line.Snapshot = n.recent.snapshot
	return line
}
