package feed

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// writeTimeout bounds a write. Without it, a caller that does not read would block the goroutine of its call forever.
const writeTimeout = 10 * time.Second

// callerVersions are the versions that a caller already has.
type callerVersions struct {
	// revision is the revision of the configuration, attachment the version of the attachment.
	revision, attachment int64
}

// Handler returns the handler of GET /peer/v1/config. The parameter after is the caller's revision, attachment_after
// its version of the attachment, and wait_ms the time in milliseconds for which the response continues with new
// changes. The default and maximum of wait_ms is longPollWait.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.serve) }

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	p := params{values: r.URL.Query()}
	caller := callerVersions{revision: p.parseInt("after", requiredParam), attachment: p.parseInt("attachment_after", 0)}
	wait := time.Duration(p.parseInt("wait_ms", longPollWait.Milliseconds())) * time.Millisecond
	if p.invalid != "" {
		http.Error(w, p.invalid+" must be a number that is not negative", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	n.stream(w, r, caller, min(wait, longPollWait))
}

// params parses query parameters. invalid is the name of an invalid one, if any.
type params struct {
	values  url.Values
	invalid string
}

// requiredParam as the default value marks a parameter as required.
const requiredParam = -1

func (p *params) parseInt(name string, def int64) int64 {
	text := p.values.Get(name)
	if text == "" && def != requiredParam {
		return def
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		p.invalid = name
	}
	return v
}

// stream sends the changes that the caller lacks, and then new changes as they are applied, with keep-alive lines in
// between. It ends when the wait ends or this process stops.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, caller callerVersions, wait time.Duration) {
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	final := wait == 0
	for {
		changed, attachmentChanged := n.Changed(), n.opts.Attachment.Changed()
		line := n.lineAfter(caller.revision)
		version := n.opts.Attachment.Version()
		line.Attachment = n.opts.Attachment.DeltaSince(caller.attachment)
		line.End = final
		_ = out.SetWriteDeadline(time.Now().Add(writeTimeout))
		if enc.Encode(line) != nil || out.Flush() != nil || final {
			return
		}
		caller.revision = max(caller.revision, line.Revision)
		caller.attachment = max(caller.attachment, version)
		select {
		case <-changed:
		case <-attachmentChanged:
		case <-tick.C:
		case <-end.C:
			final = true
		case <-n.stopped:
			final = true
		case <-r.Context().Done():
			return
		}
	}
}

// lineAfter returns a line with the changes after a revision, or with a snapshot if the caller has no configuration or
// some of them are not buffered.
func (n *Node) lineAfter(after int64) *Line {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.state.Load()
	line := &Line{Revision: n.revision(), AgeMs: n.ageLocked().Milliseconds()}
	if s == nil || s.Revision <= after {
		return line
	}
	if changes, ok := n.buffer.since(after); ok && after > 0 {
		line.Changes = changes
		return line
	}
	if n.buffer.snapshot == nil {
		raw, err := EncodeState(s)
		if err != nil {
			return &Line{AgeMs: line.AgeMs}
		}
		n.buffer.snapshot = raw
	}
	line.Snapshot = n.buffer.snapshot
	return line
}
