// Package agent gives the planner of a group access to the ranks on other instances. The agent of each rank is the part
// of the rank's sidecar that serves the planner, the other sidecars and the gateways of the group: it reports the state
// of the rank and forwards orders to it.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap/rollout"
)

// Paths of an agent.
const (
	PathState = "/peer/v1/rank/state"
	PathOrder = "/peer/v1/rank/order"
	// PathAlive is the liveness probe of the sidecar. Its response is empty.
	PathAlive = "/peer/v1/alive"
)

// Query parameters of PathState.
const (
	queryCounts  = "counts"
	queryExperts = "experts"
	// queryCountsBase requests counts as differences from those with this ID, or from zero if the agent has not sent these
	// last.
	queryCountsBase = "base"
)

// outcome is the response body for an order. It is empty for an executed order with nothing to report.
type outcome struct {
	rollout.OrderReport
	// Fenced and Detail describe a refusal by the rank, the agent or the deputy.
	Fenced bool   `json:"fenced,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// maxOutcomeBytes bounds a decoded outcome.
const maxOutcomeBytes = 64 << 10

// Agent serves one rank. It is safe for concurrent use.
type Agent struct {
	rank     rollout.Rank
	log      *zap.Logger
	notices  noticeStore
	ownState stateCache
	// maps are the maps on which encoded orders are based.
	maps mapStore
	// counts are the last counts sent. countsPrefix begins the IDs of the counts that this process sends.
	counts       countStore
	countsPrefix string
	// deputy is nil if switches have no deputy.
	deputy *rollout.Deputy

	mu sync.Mutex
	// highestFence is the highest fencing token received. The agent checks it because not every rank does.
	highestFence int64
}

// New returns the agent of a rank.
func New(rank rollout.Rank, log *zap.Logger) *Agent {
	return &Agent{rank: rank, log: log, countsPrefix: strconv.FormatUint(uint64(rand.Uint32()), 36) + "-"}
}

// Register adds the agent's routes. EnableDeputy must be called before, if at all.
func (a *Agent) Register(r *mux.Router) {
	r.HandleFunc(PathState, a.getState).Methods(http.MethodGet)
	r.HandleFunc(PathOrder, a.postOrder).Methods(http.MethodPost)
	r.HandleFunc(PathNotice, a.putNotice).Methods(http.MethodPut)
	r.HandleFunc(PathGroup, a.getGroup).Methods(http.MethodGet)
	r.HandleFunc(PathAlive, func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	if a.deputy != nil {
		r.HandleFunc(PathDeputyBegin, a.beginDeputy).Methods(http.MethodPost)
		r.HandleFunc(PathDeputyRevoke, a.revokeDeputy).Methods(http.MethodPost)
		r.HandleFunc(PathDeputyOrder, a.orderDeputy).Methods(http.MethodPost)
		r.HandleFunc(PathDeputyEnd, a.endDeputy).Methods(http.MethodPost)
	}
}

func (a *Agent) getState(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s, err := a.rank.State(r.Context(), rollout.StateOptions{Counts: q.Has(queryCounts), Experts: q.Has(queryExperts)})
	if err != nil {
		a.log.Debug("cannot read the state of the rank", zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if s.Counts == nil || !q.Has(queryCountsBase) {
		a.writeJSON(w, http.StatusOK, s)
		return
	}
	data, err := a.counts.encode(s, q.Get(queryCountsBase), a.countsPrefix)
	if err == nil {
		_, err = w.Write(data)
	}
	if err != nil {
		a.log.Debug("failed to write a response", zap.Error(err))
	}
}

func (a *Agent) postOrder(w http.ResponseWriter, r *http.Request) { a.handleOrder(w, r, a.Order) }

func (a *Agent) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.log.Debug("failed to write a response", zap.Error(err))
	}
}

// State implements rollout.Rank.
func (a *Agent) State(ctx context.Context, opts rollout.StateOptions) (rollout.State, error) {
	return a.rank.State(ctx, opts)
}

// Order implements rollout.Rank. An order with a Report is repeated while the rank does not respond, and a Prepare with a
// Report returns once the rank has loaded the map, or after maxLoadWait.
func (a *Agent) Order(ctx context.Context, o rollout.Order) error {
	err := a.checkFence(o)
	if err != nil {
		return err
	}
	err = a.orderOwnRank(ctx, o)
	if err != nil {
		a.log.Info("order not confirmed", zap.String("operation", string(o.Operation)), zap.Int64("version", o.Version),
			zap.Int64("pass", o.Pass), zap.Int64("fence", o.Fence), zap.Error(err))
	}
	return err
}

// checkFence records the fencing token of an order. It fails with a *rollout.RefusedError if the agent has received a
// higher one.
func (a *Agent) checkFence(o rollout.Order) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Fence < a.highestFence {
		detail := fmt.Sprintf("fencing number %d is below %d", o.Fence, a.highestFence)
		return merry.Wrap(&rollout.RefusedError{Operation: o.Operation, Fenced: true, Detail: detail})
	}
	a.highestFence = o.Fence
	return nil
}

// Client is a client of a rank's agent on another instance. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	codec *Codec
	// counts are the last counts received.
	counts countStore
}

// Address returns the address of a replica's agent, given the replica's address and the port on which the agents of all
// instances listen.
func Address(replica string, port int) (string, error) {
	host, _, err := net.SplitHostPort(replica)
	if err != nil {
		return "", merry.Wrap(err)
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// NewClient returns a client of the agent at an IP address and port. The clients of one group share a codec; it may be
// nil for clients that send no orders.
func NewClient(address string, h *http.Client, codec *Codec) *Client {
	return &Client{base: "http://" + address, http: h, codec: codec}
}

// StatusError reports that an agent responded with an error status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("agent answered status %d", e.Status) }

// State implements rollout.Rank.
func (c *Client) State(ctx context.Context, opts rollout.StateOptions) (rollout.State, error) {
	path := PathState + "?"
	if opts.Counts {
		path += queryCounts + "&" + queryCountsBase + "=" + c.counts.lastID() + "&"
	}
	if opts.Experts {
		path += queryExperts
	}
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return rollout.State{}, merry.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rollout.State{}, merry.Wrap(&StatusError{Status: resp.StatusCode})
	}
	return c.counts.decode(io.LimitReader(resp.Body, maxStateBytes))
}

// maxStateBytes bounds a state, including the counts and experts of one rank.
const maxStateBytes = 4 << 20

// call sends a request and decodes at most maxBytes of the response into out, unless out is nil. It fails with a
// *StatusError for any status but 200, or with the error of the connection.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any, maxBytes int64) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.Wrap(&StatusError{Status: resp.StatusCode})
	}
	if out == nil {
		return nil
	}
	return merry.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(out))
}

// Order implements rollout.Rank.
func (c *Client) Order(ctx context.Context, o rollout.Order) error { return c.order(ctx, PathOrder, o) }

func (c *Client) order(ctx context.Context, path string, o rollout.Order) error {
	body, err := c.codec.encode(o)
	if err != nil {
		return merry.Wrap(err)
	}
	err = c.sendOrder(ctx, path, o, body)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusBadRequest {
		return err
	}
	// The agent could not decode the order, and did not execute it. It does not know the map on which the encoding is
	// based, or has an earlier version of this program.
	if body, err = c.codec.encodeWhole(o); err != nil {
		return merry.Wrap(err)
	}
	return c.sendOrder(ctx, path, o, body)
}

func (c *Client) sendOrder(ctx context.Context, path string, o rollout.Order, body []byte) error {
	resp, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return merry.Wrap(&rollout.NoResponseError{Operation: o.Operation, Cause: err})
	}
	defer resp.Body.Close()
	var out outcome
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOutcomeBytes))
	if err == nil && len(data) > 0 && resp.StatusCode != http.StatusBadRequest {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		return merry.Wrap(&rollout.NoResponseError{Operation: o.Operation, Cause: err})
	}
	if o.Report != nil {
		o.Report.Unanswered = o.Report.Unanswered || out.Unanswered
		o.Report.Loaded = out.Loaded
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return merry.Wrap(&rollout.RefusedError{Operation: o.Operation, Fenced: out.Fenced, Detail: out.Detail})
	}
	return merry.Wrap(&rollout.NoResponseError{Operation: o.Operation, Cause: &StatusError{Status: resp.StatusCode}})
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport does not resend an order after a connection failure.
	req.GetBody = nil
	return c.http.Do(req)
}
