package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
)

// Times of a long poll.
const (
	pollWait = 25 * time.Second
	// keepAlive is the time between lines while a caller waits.
	keepAlive = 2 * time.Second
	// silence is the time without a byte after which a caller gives a connection up; two keep-alives fit in.
	silence = 5 * time.Second
)

// maxLineBytes bounds one answer; a snapshot of the target size has less than 1 MB.
const maxLineBytes = 64 << 20

// poll asks one peer for changes and puts them in force. It returns nil when the peer answered, with or without
// a change.
func (n *Node) poll(ctx context.Context, peer Peer) error {
	if err := n.exchange(ctx, peer); err != nil {
		return &PeerError{Peer: peer.Name, Cause: err}
	}
	return nil
}

func (n *Node) exchange(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(&SilentError{}) })
	defer watchdog.Stop()
	url := fmt.Sprintf("http://%s%s?after=%d", peer.Address, peerapi.PathConfig, n.revision())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	resp, err := n.opts.Client.Do(req)
	if err != nil {
		return merry.Wrap(cause(ctx, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	err = n.readLines(resp.Body, func() { watchdog.Reset(silence) })
	return cause(ctx, err)
}

// cause returns why the context was cancelled in place of the error that followed from it.
func cause(ctx context.Context, err error) error {
	var silent *SilentError
	if err != nil && errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return err
}

func (n *Node) readLines(body io.Reader, alive func()) error {
	dec := json.NewDecoder(io.LimitReader(body, maxLineBytes))
	for {
		var line Line
		if err := dec.Decode(&line); err != nil {
			return merry.Wrap(err)
		}
		alive()
		if err := n.take(&line); err != nil {
			return err
		}
		if line.End {
			return nil
		}
	}
}

func (n *Node) take(line *Line) error {
	if len(line.Snapshot) > 0 {
		s, err := DecodeState(line.Snapshot)
		if err != nil {
			n.mu.Lock()
			n.refuse(line.Revision, err)
			n.mu.Unlock()
			return err
		}
		n.Accept(s)
	}
	for _, raw := range line.Changes {
		c := &operatorv1.Change{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return &MessageError{Detail: err.Error()}
		}
		if err := n.AcceptChange(c); err != nil {
			return err
		}
	}
	return nil
}

// Handler returns the handler of GET /peer/v1/config. The parameter after is the caller's revision.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.serve) }

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	end := time.NewTimer(pollWait)
	defer end.Stop()
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	for {
		changed := n.Changed()
		line := n.lineAfter(after)
		if line.End {
			_ = enc.Encode(line)
			return
		}
		select {
		case <-changed:
			continue
		case <-tick.C:
		case <-end.C:
			line.End = true
		case <-r.Context().Done():
			return
		}
		if enc.Encode(line) != nil || out.Flush() != nil || line.End {
			return
		}
	}
}

// lineAfter returns what a caller with a revision lacks; End is set when that is anything.
func (n *Node) lineAfter(after int64) *Line {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.state.Load()
	if s == nil || s.Revision <= after {
		return &Line{Revision: n.revision()}
	}
	if changes, ok := n.recent.since(after); ok && after > 0 {
		return &Line{Revision: s.Revision, Changes: changes, End: true}
	}
	if n.recent.snapshot == nil {
		raw, err := EncodeState(s)
		if err != nil {
			return &Line{Revision: s.Revision}
		}
		n.recent.snapshot = raw
	}
	return &Line{Revision: s.Revision, Snapshot: n.recent.snapshot, End: true}
}
