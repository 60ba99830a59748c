package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap/rollout"
)

// Paths by which a planner uses the agent of another rank as the deputy of a switch.
const (
	PathDeputyBegin  = "/peer/v1/deputy/begin"
	PathDeputyRevoke = "/peer/v1/deputy/revoke"
	PathDeputyOrder  = "/peer/v1/deputy/order"
	PathDeputyEnd    = "/peer/v1/deputy/end"
)

// maxAssignmentBytes bounds an assignment. It has room for the addresses of a group of a few thousand ranks.
const maxAssignmentBytes = 256 << 10

// EnableDeputy lets planners use this agent as a deputy. It must be called before Register.
func (a *Agent) EnableDeputy(d *rollout.Deputy) { a.deputy = d }

func (a *Agent) beginDeputy(w http.ResponseWriter, r *http.Request) {
	a.handleAssignment(w, r, func(assignment rollout.DeputyAssignment) error {
		return a.deputy.Begin(r.Context(), assignment)
	})
}

func (a *Agent) revokeDeputy(w http.ResponseWriter, r *http.Request) {
	a.handleAssignment(w, r, a.deputy.Revoke)
}

func (a *Agent) endDeputy(w http.ResponseWriter, r *http.Request) {
	a.handleAssignment(w, r, func(assignment rollout.DeputyAssignment) error { return a.deputy.End(assignment.Fence) })
}

// handleAssignment decodes an assignment, passes it to handle, and responds with the result.
func (a *Agent) handleAssignment(
	w http.ResponseWriter, r *http.Request, handle func(assignment rollout.DeputyAssignment) error,
) {
	var assignment rollout.DeputyAssignment
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAssignmentBytes)).Decode(&assignment); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := handle(assignment); err != nil {
		a.log.Info("refused to begin or end the role of deputy for a switch", zap.String("path", r.URL.Path),
			zap.Int64("fence", assignment.Fence), zap.Int64("assignment", assignment.Number), zap.Error(err))
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Agent) orderDeputy(w http.ResponseWriter, r *http.Request) {
	a.handleOrder(w, r, a.deputy.Order)
}

// handleOrder decodes an order, passes it to deliver, and responds with the outcome.
func (a *Agent) handleOrder(
	w http.ResponseWriter, r *http.Request, deliver func(ctx context.Context, o rollout.Order) error,
) {
	o, err := decodeOrder(r.Body, &a.maps)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = deliver(r.Context(), o)
	var out outcome
	if o.Report != nil {
		out.OrderReport = *o.Report
	}
	var refused *rollout.RefusedError
	switch {
	case err == nil && out == (outcome{}):
		w.WriteHeader(http.StatusOK)
	case err == nil:
		a.writeJSON(w, http.StatusOK, out)
	case errors.As(err, &refused):
		out.Fenced, out.Detail = refused.Fenced, refused.Detail
		a.writeJSON(w, http.StatusConflict, out)
	default:
		out.Detail = err.Error()
		a.writeJSON(w, http.StatusGatewayTimeout, out)
	}
}

// BeginDeputy implements rollout.Peer. It fails with a *StatusError or the error of the connection.
func (c *Client) BeginDeputy(ctx context.Context, assignment rollout.DeputyAssignment) error {
	return c.postAssignment(ctx, PathDeputyBegin, assignment)
}

// RevokeDeputy implements rollout.Peer. Errors are those of BeginDeputy.
func (c *Client) RevokeDeputy(ctx context.Context, assignment rollout.DeputyAssignment) error {
	assignment.Addresses = nil
	return c.postAssignment(ctx, PathDeputyRevoke, assignment)
}

// EndDeputy implements rollout.Peer. Errors are those of BeginDeputy.
func (c *Client) EndDeputy(ctx context.Context, assignment rollout.DeputyAssignment) error {
	assignment.Addresses = nil
	return c.postAssignment(ctx, PathDeputyEnd, assignment)
}

func (c *Client) postAssignment(ctx context.Context, path string, assignment rollout.DeputyAssignment) error {
	body, err := json.Marshal(assignment)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, path, body, nil, maxAssignmentBytes)
}

// OrderPlanner implements rollout.Peer.
func (c *Client) OrderPlanner(ctx context.Context, o rollout.Order) error {
	return c.order(ctx, PathDeputyOrder, o)
}

// Alive probes the sidecar of the agent. It returns nil after any HTTP response, whatever its status.
func (c *Client) Alive(ctx context.Context) error {
	err := c.call(ctx, http.MethodGet, PathAlive, nil, nil, 0)
	var status *StatusError
	if errors.As(err, &status) {
		return nil
	}
	return err
}

// peer implements rollout.Peer with a client of the rank's agent and a direct client of the rank.
type peer struct {
	*Client
	direct rollout.Rank
}

// NewPeer returns a peer that is reached through its agent and, for OrderDirect, directly.
func NewPeer(agent *Client, direct rollout.Rank) rollout.Peer {
	return &peer{Client: agent, direct: direct}
}

// OrderDirect implements rollout.Peer.
func (p *peer) OrderDirect(ctx context.Context, o rollout.Order) error { return p.direct.Order(ctx, o) }
