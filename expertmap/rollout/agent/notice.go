package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// PathNotice serves the last notice of the group's planner, and takes the next one.
const PathNotice = "/peer/v1/group/notice"

const (
	// noticeLife is the age from which a notice says nothing; its planner repeats it more often.
	noticeLife = 10 * time.Second
	// maxNotice bounds a notice in bytes: a line for each rank of a group.
	maxNotice = 64 << 10
)

// Notice is what the planner of a group tells everyone who sends requests to its ranks.
type Notice struct {
	Group string `json:"group"`
	// Fence is the fencing number of the planner. A notice of an earlier planner does not replace a later one's.
	Fence int64 `json:"fence"`
	// Paces are those of the slow ranks, above 1, by the address of the replica.
	Paces map[string]float64 `json:"paces,omitempty"`
	// AgeMs is how long ago the planner gave the notice, in an answer.
	AgeMs int64 `json:"age_ms,omitempty"`
}

// board holds the last notice.
type board struct {
	mu     sync.Mutex
	notice Notice
	at     time.Time
}

func (b *board) put(n Notice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Fence >= b.notice.Fence || now.Sub(b.at) > noticeLife {
		b.notice, b.at = n, now
	}
}

// get returns the last notice, without paces once it is too old.
func (b *board) get(now time.Time) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.at) > noticeLife {
		return Notice{Group: b.notice.Group}
	}
	n := b.notice
	n.AgeMs = now.Sub(b.at).Milliseconds()
	return n
}

// Notify takes a notice of the planner in this process.
func (a *Agent) Notify(n Notice) { a.board.put(n, time.Now()) }

func (a *Agent) putNotice(w http.ResponseWriter, r *http.Request) {
	var n Notice
	if err := json.NewDecoder(io.LimitReader(r.Body, maxNotice)).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(n.Paces) > 0 {
		a.log.Info("slow ranks of the group", zap.String("group", n.Group), zap.Int64("fence", n.Fence),
			zap.String("paces", fmt.Sprint(n.Paces)))
	}
	a.Notify(n)
}

func (a *Agent) getNotice(w http.ResponseWriter, _ *http.Request) {
	a.answer(w, http.StatusOK, a.board.get(time.Now()))
}

// SendNotice gives a notice to the agent. It fails with a *StatusError or the error of the connection.
func (c *Client) SendNotice(ctx context.Context, n Notice) error {
	body, err := json.Marshal(n)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPut, PathNotice, body, nil, maxNotice)
}

// ReadNotice returns the last notice at the agent. Errors are those of SendNotice.
func (c *Client) ReadNotice(ctx context.Context) (Notice, error) {
	var n Notice
	err := c.call(ctx, http.MethodGet, PathNotice, nil, &n, maxNotice)
	return n, err
}
