package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

// Timing of a long poll.
const (
	longPollWait = 25 * time.Second
	// keepAliveInterval is the time between lines while there is no change.
	keepAliveInterval = time.Second
	// silenceTimeout is the time without a byte after which a caller closes the connection. It covers two keep-alives.
	silenceTimeout = 3 * time.Second
)

// maxResponseBytes bounds a response. A snapshot of the target size takes less than 1 MB.
const maxResponseBytes = 64 << 20

// poll requests changes from a peer, which sends them for the duration of wait, and applies them. It returns nil if the
// response was complete, with or without changes.
func (n *Node) poll(ctx context.Context, peer Peer, wait time.Duration) error {
	if err := n.requestConfig(ctx, peer, wait); err != nil {
		return &PeerError{Peer: peer.Name, Cause: err}
	}
	return nil
}

func (n *Node) requestConfig(ctx context.Context, peer Peer, wait time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(&SilentConnectionError{}) })
	defer watchdog.Stop()
	url := fmt.Sprintf("http://%s%s?after=%d&attachment_after=%d&wait_ms=%d", peer.Address, peerapi.PathConfig,
		n.revision(), n.opts.Attachment.Version(), wait.Milliseconds())
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
	return cause(ctx, n.readLines(resp.Body, func() { watchdog.Reset(silenceTimeout) }))
}

// cause returns err, or the error with which this package canceled the context if that is why a call failed with err.
func cause(ctx context.Context, err error) error {
	var silent *SilentConnectionError
	var notWatcher *NotWatcherError
	canceledBy := context.Cause(ctx)
	if err != nil && (errors.As(canceledBy, &silent) || errors.As(canceledBy, &notWatcher)) {
		return canceledBy
	}
	return err
}

// readLines applies the lines of a response until the last one. It calls onLine for each line.
func (n *Node) readLines(body io.Reader, onLine func()) error {
	dec := json.NewDecoder(io.LimitReader(body, maxResponseBytes))
	for {
		var line Line
		if err := dec.Decode(&line); err != nil {
			return merry.Wrap(err)
		}
		onLine()
		if err := n.applyLine(&line); err != nil {
			return err
		}
		if line.End {
			return nil
		}
	}
}

// applyLine applies the contents of a line.
func (n *Node) applyLine(line *Line) error {
	if err := n.applyConfig(line); err != nil {
		return err
	}
	if len(line.Attachment) > 0 {
		return n.opts.Attachment.ApplyDelta(line.Attachment)
	}
	return nil
}

// applyConfig applies the configuration in a line. If the sender then has the same active revision, the age that the
// sender reports also holds for this process.
func (n *Node) applyConfig(line *Line) error {
	received := time.Now()
	if len(line.Snapshot) > 0 {
		s, err := DecodeState(line.Snapshot)
		if err != nil {
			n.mu.Lock()
			n.reportRefused(line.Revision, err)
			n.mu.Unlock()
			return err
		}
		n.ApplyState(s)
	}
	for _, raw := range line.Changes {
		c := &operatorv1.Change{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return &MessageError{Detail: err.Error()}
		}
		if err := n.ApplyChange(c); err != nil && !isGap(err) {
			return err
		}
	}
	if line.Revision > 0 && line.Revision == n.revision() {
		n.confirmAt(received.Add(-time.Duration(line.AgeMs) * time.Millisecond))
	}
	return nil
}

// isGap reports whether err means that a change does not follow the active revision, which happens if another source
// was faster or slower. The next poll continues from the active revision.
func isGap(err error) bool {
	var gap *cluster.RevisionGapError
	return errors.As(err, &gap)
}
