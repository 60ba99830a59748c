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

	"lavendermoor.example/expertmap/rollout"
)

// PathNotice takes the next notice of the group's planner, and PathGroup serves a GroupReport.
const (
	PathNotice = "/peer/v1/group/notice"
	PathGroup  = "/peer/v1/group"
)

// queryMembers asks for the members of the group in a report.
const queryMembers = "members"

const (
	// noticeLife is the age from which a notice says nothing; its planner repeats it more often.
	noticeTTL = 10 * time.Second
	// maxNotice bounds a notice in bytes: a line for each rank of a group.
	maxNoticeBytes = 64 << 10
)

// Notice is what the planner of a group tells everyone who sends requests to its ranks.
type Notice struct {
	Group string `json:"group"`
	// Fence is the fencing number of the planner. A notice of an earlier planner does not replace a later one's.
	Fence int64 `json:"fence"`
	// Paces are those of the slow ranks, above 1, by the address of the replica.
	Paces map[string]float64 `json:"paces,omitempty"`
	// Leaving are the ranks that leave, by the address of the replica, with the times of their starts in Unix milliseconds.
	Leaving map[string]int64 `json:"leaving,omitempty"`
	// Members are the addresses of the group's replicas in order of rank.
	Members []string `json:"members,omitempty"`
	// AgeMs is how long ago the planner gave the notice, in an answer.
	AgeMs int64 `json:"age_ms,omitempty"`
}

// GroupReport is what a process beside a rank says of the rank's group.
type GroupReport struct {
	// Group, Epoch and Open are those of the rank's own report as of now. Group is empty when the rank is in none.
	Group string `json:"group"`
	Epoch int64  `json:"epoch"`
	Open  bool   `json:"open"`
	// Notice is the last one of the group's planner; its members are given when they are asked for.
	Notice Notice `json:"notice"`
}

// ownCache keeps the state of the process's own rank for a moment, so that many questions cost the rank one.
type stateCache struct {
	mu    sync.Mutex
	state rollout.State
	err   error
	at    time.Time
}

// ownLife is the age up to which the state of the own rank answers a question.
const stateCacheTTL = 50 * time.Millisecond

func (c *stateCache) get(ctx context.Context, rank rollout.Rank) (rollout.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.at) > stateCacheTTL {
		ctx, cancel := context.WithTimeout(ctx, ownStateTimeout)
		defer cancel()
		c.state, c.err = rank.State(ctx, rollout.StateOptions{})
		c.at = time.Now()
	}
	return c.state, c.err
}

// ownTimeout bounds a question to the own rank, so that those who wait behind it get their answers.
const ownStateTimeout = 150 * time.Millisecond

// board holds the last notice.
type noticeStore struct {
	mu     sync.Mutex
	notice Notice
	at     time.Time
}

func (b *noticeStore) put(n Notice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Fence >= b.notice.Fence || now.Sub(b.at) > noticeTTL {
		b.notice, b.at = n, now
	}
}

// get returns the last notice, without what it says of ranks once it is too old.
func (b *noticeStore) get(now time.Time) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.at) > noticeTTL {
		return Notice{Group: b.notice.Group, Members: b.notice.Members}
	}
	n := b.notice
	n.AgeMs = now.Sub(b.at).Milliseconds()
	return n
}

// SetNotice takes a notice of the planner in this process.
func (a *Agent) SetNotice(n Notice) { a.notices.put(n, time.Now()) }

func (a *Agent) putNotice(w http.ResponseWriter, r *http.Request) {
	var n Notice
	if err := json.NewDecoder(io.LimitReader(r.Body, maxNoticeBytes)).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(n.Paces) > 0 || len(n.Leaving) > 0 {
		a.log.Info("slow and leaving ranks of the group", zap.String("group", n.Group), zap.Int64("fence", n.Fence),
			zap.String("paces", fmt.Sprint(n.Paces)), zap.String("leaving", fmt.Sprint(n.Leaving)))
	}
	a.SetNotice(n)
}

func (a *Agent) getGroup(w http.ResponseWriter, r *http.Request) {
	s, err := a.ownState.get(r.Context(), a.rank)
	if err != nil {
		a.log.Debug("rank gave no state", zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	out := GroupReport{Group: s.Group, Epoch: s.Epoch, Open: s.Open, Notice: a.notices.get(time.Now())}
	if !r.URL.Query().Has(queryMembers) {
		out.Notice.Members = nil
	}
	a.writeJSON(w, http.StatusOK, out)
}

// SendNotice gives a notice to the agent. It fails with a *StatusError or the error of the connection.
func (c *Client) SendNotice(ctx context.Context, n Notice) error {
	body, err := json.Marshal(n)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPut, PathNotice, body, nil, maxNoticeBytes)
}

// ReadGroup returns what the agent says of its rank's group, with the members if asked for. Errors are those of SendNotice.
func (c *Client) ReadGroup(ctx context.Context, members bool) (GroupReport, error) {
	path := PathGroup
	if members {
		path += "?" + queryMembers
	}
	var out GroupReport
	err := c.call(ctx, http.MethodGet, path, nil, &out, maxNoticeBytes)
	return out, err
}
