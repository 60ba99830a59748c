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

// Paths by which a planner uses the process beside another rank as the deputy of a switch.
const (
	PathDeputyBegin = "/peer/v1/deputy/begin"
	PathDeputyOrder = "/peer/v1/deputy/order"
	PathDeputyEnd   = "/peer/v1/deputy/end"
)

// maxHandover bounds a handover in bytes: the addresses of a group of a few thousand ranks.
const maxHandover = 256 << 10

// UseDeputy makes the process a deputy for planners that ask it. It is called before Register.
func (a *Agent) UseDeputy(d *rollout.Deputy) { a.deputy = d }

func (a *Agent) beginDeputy(w http.ResponseWriter, r *http.Request) {
	a.takeHandover(w, r, func(h rollout.Handover) error { return a.deputy.Begin(r.Context(), h) })
}

func (a *Agent) endDeputy(w http.ResponseWriter, r *http.Request) {
	a.takeHandover(w, r, func(h rollout.Handover) error { return a.deputy.End(h.Fence) })
}

// takeHandover decodes a handover, gives it to a function and confirms it unless that fails.
func (a *Agent) takeHandover(w http.ResponseWriter, r *http.Request, take func(h rollout.Handover) error) {
	var h rollout.Handover
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHandover)).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := take(h); err != nil {
		a.log.Info("not the deputy of a switch", zap.Error(err))
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Agent) orderDeputy(w http.ResponseWriter, r *http.Request) {
	a.takeOrder(w, r, a.deputy.Order)
}

// takeOrder carries out an order by a function and answers with the outcome.
func (a *Agent) takeOrder(w http.ResponseWriter, r *http.Request, give func(ctx context.Context, o rollout.Order) error) {
	o, err := decodeOrder(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = give(r.Context(), o)
	var refused *rollout.RefusedError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.As(err, &refused):
		a.answer(w, http.StatusConflict, refusal{Fenced: refused.Fenced, Detail: refused.Detail})
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// Begin implements rollout.Remote. It fails with a *StatusError or the error of the connection.
func (c *Client) Begin(ctx context.Context, h rollout.Handover) error {
	return c.tell(ctx, PathDeputyBegin, h)
}

// End implements rollout.Remote. Errors are those of Begin.
func (c *Client) End(ctx context.Context, h rollout.Handover) error {
	h.Addresses = nil
	return c.tell(ctx, PathDeputyEnd, h)
}

func (c *Client) tell(ctx context.Context, path string, h rollout.Handover) error {
	body, err := json.Marshal(h)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, path, body, nil, maxHandover)
}

// OrderPlanner implements rollout.Remote.
func (c *Client) OrderPlanner(ctx context.Context, o rollout.Order) error {
	return c.order(ctx, PathDeputyOrder, o)
}

// Alive asks whether the process answers at all.
func (c *Client) Alive(ctx context.Context) error {
	err := c.call(ctx, http.MethodGet, PathAlive, nil, nil, 0)
	var status *StatusError
	if errors.As(err, &status) {
		return nil
	}
	return err
}

// remote is the access to a rank and to the process beside it.
type remote struct {
	*Client
	direct rollout.Rank
}

// NewRemote returns the access to a rank by its agent and directly.
func NewRemote(agent *Client, direct rollout.Rank) rollout.Remote {
	return &remote{Client: agent, direct: direct}
}

// Direct implements rollout.Remote.
func (r *remote) Direct(ctx context.Context, o rollout.Order) error { return r.direct.Order(ctx, o) }
