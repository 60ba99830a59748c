package feed

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// writeTimeout bounds a write to a caller that does not read, in which case its goroutine would never end.
const writeTimeout = 10 * time.Second

// position is what a caller already has.
type position struct {
	// revision is of the configuration, attachment the version of the attachment.
	revision, attachment int64
}

// Handler returns the handler of GET /peer/v1/config. The parameter after is the caller's revision, attachment_after
// its version of the attachment, wait_ms how long to go on sending changes; without it the wait is the longest one.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.serve) }

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	p := params{values: r.URL.Query()}
	have := position{revision: p.number("after", required), attachment: p.number("attachment_after", 0)}
	wait := time.Duration(p.number("wait_ms", pollWait.Milliseconds())) * time.Millisecond
	if p.bad != "" {
		http.Error(w, p.bad+" must be a number that is not negative", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	n.stream(w, r, have, min(wait, pollWait))
}

// params reads numbers from a query; bad names one that is none.
type params struct {
	values url.Values
	bad    string
}

// required as the default of a number means that it has none.
const required = -1

func (p *params) number(name string, def int64) int64 {
	text := p.values.Get(name)
	if text == "" && def != required {
		return def
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		p.bad = name
	}
	return v
}

// stream sends what the caller lacks, then changes as they come into force and lines without content in between,
// until the wait is over or this process stops.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, have position, wait time.Duration) {
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	last := wait == 0
	for {
		changed, attached := n.Changed(), n.opts.Attachment.Changed()
		line := n.lineAfter(have.revision)
		version := n.opts.Attachment.Version()
		line.Attachment = n.opts.Attachment.Since(have.attachment)
		line.End = last
		_ = out.SetWriteDeadline(time.Now().Add(writeTimeout))
		if enc.Encode(line) != nil || out.Flush() != nil || last {
			return
		}
		have.revision = max(have.revision, line.Revision)
		have.attachment = max(have.attachment, version)
		select {
		case <-changed:
		case <-attached:
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
