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

// PathNotice accepts a Notice from the group's planner. PathGroup serves a GroupReport.
const (
	PathNotice = "/peer/v1/group/notice"
	PathGroup  = "/peer/v1/group"
)

// queryMembers requests the members of the group in a report.
const queryMembers = "members"

const (
	// noticeTTL is the time after which a notice expires. While ranks are slow or leaving, planners repeat their notices
	// at shorter intervals.
	noticeTTL = 10 * time.Second
	// maxNoticeBytes bounds a notice, which has an entry for each rank of a group.
	maxNoticeBytes = 64 << 10
)

// Notice is the information about the ranks of a group that its planner publishes for the gateways that send requests
// to them.
type Notice struct {
	Group string `json:"group"`
	// Fence is the fencing token of the planner. A notice replaces one with a higher token only once that has expired.
	Fence int64 `json:"fence"`
	// Paces are the paces of slow ranks, above 1, by replica address.
	Paces map[string]float64 `json:"paces,omitempty"`
	// Leaving are the start times of leaving ranks in Unix milliseconds, by replica address.
	Leaving map[string]int64 `json:"leaving,omitempty"`
	// Members are the addresses of the group's replicas, in order of rank.
	Members []string `json:"members,omitempty"`
	// AgeMs is the age of the notice in milliseconds, set in responses.
	AgeMs int64 `json:"age_ms,omitempty"`
}

// GroupReport is an agent's report about the group of its rank.
type GroupReport struct {
	// Group, Epoch and Serving are taken from the rank's current state. Group is empty if the rank is in no group.
	Group   string `json:"group"`
	Epoch   int64  `json:"epoch"`
	Serving bool   `json:"open"`
	// Notice is the last notice of the group's planner. It includes the members only if requested.
	Notice Notice `json:"notice"`
}

// stateCache caches the state of the agent's own rank, or the error, for stateCacheTTL, so that many queries cause a
// single call to the rank.
type stateCache struct {
	mu    sync.Mutex
	state rollout.State
	err   error
	at    time.Time
}

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

// ownStateTimeout bounds a call to the rank, because concurrent queries wait for its result.
const ownStateTimeout = 150 * time.Millisecond

// noticeStore holds the last notice.
type noticeStore struct {
	mu     sync.Mutex
	notice Notice
	at     time.Time
}

func (s *noticeStore) put(n Notice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Fence >= s.notice.Fence || now.Sub(s.at) > noticeTTL {
		s.notice, s.at = n, now
	}
}

// get returns the last notice. Once it has expired, only its group and members are returned.
func (s *noticeStore) get(now time.Time) Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) > noticeTTL {
		return Notice{Group: s.notice.Group, Members: s.notice.Members}
	}
	n := s.notice
	n.AgeMs = now.Sub(s.at).Milliseconds()
	return n
}

// SetNotice stores a notice from the planner, which runs in this sidecar or in another one.
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
		a.log.Debug("cannot read the state of the rank", zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	out := GroupReport{Group: s.Group, Epoch: s.Epoch, Serving: s.Serving, Notice: a.notices.get(time.Now())}
	if !r.URL.Query().Has(queryMembers) {
		out.Notice.Members = nil
	}
	a.writeJSON(w, http.StatusOK, out)
}

// SendNotice sends a notice to the agent. It fails with a *StatusError or the error of the connection.
func (c *Client) SendNotice(ctx context.Context, n Notice) error {
	body, err := json.Marshal(n)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPut, PathNotice, body, nil, maxNoticeBytes)
}

// ReadGroup returns the agent's report about its group, with the members if requested. Errors are those of SendNotice.
func (c *Client) ReadGroup(ctx context.Context, members bool) (GroupReport, error) {
	path := PathGroup
	if members {
		path += "?" + queryMembers
	}
	var out GroupReport
	err := c.call(ctx, http.MethodGet, path, nil, &out, maxNoticeBytes)
	return out, err
}
