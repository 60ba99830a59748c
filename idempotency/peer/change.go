package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

// changePollInterval is the time between checks of a change of servers that is in progress.
const changePollInterval = time.Second

// CommitFunc commits a change on top of the base configuration.
type CommitFunc func(ctx context.Context, base *cluster.State, c *operatorv1.Change) error

// FinishServerChanges clears the previous servers of the services for which this server ranks first, once the epoch is
// active and the copies are complete at every server. It runs until the context ends.
func (n *Node) FinishServerChanges(ctx context.Context, operationID func() string, commit CommitFunc) {
	t := time.NewTicker(changePollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, v := range n.changesToFinish() {
			n.finishChange(ctx, v, operationID, commit)
		}
	}
}

// changesToFinish returns the views whose change this server must finish.
func (n *Node) changesToFinish() []idempotency.View {
	n.lock()
	defer n.mu.Unlock()
	var out []idempotency.View
	for _, v := range n.views {
		ranked := idempotency.RendezvousOrder(v.Service, v.Servers)
		if len(v.Previous) > 0 && len(ranked) > 0 && ranked[0].Name == n.opts.Self.Server {
			out = append(out, v)
		}
	}
	return out
}

func (n *Node) finishChange(ctx context.Context, v idempotency.View, operationID func() string, commit CommitFunc) {
	for _, m := range v.Servers {
		if !n.isReady(ctx, m, v) {
			return
		}
	}
	base := n.opts.Configuration.State()
	current := base.Service(v.Service)
	if current.GetEpoch() != v.Epoch {
		return
	}
	err := commit(ctx, base, &operatorv1.Change{
		OperationId: operationID(), Author: "side/" + n.opts.Self.Server,
		Upserts: []*operatorv1.Object{{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{
			Name: v.Service, Epoch: v.Epoch, Servers: current.GetServers(),
		}}}},
	})
	fields := []zap.Field{zap.String("service", v.Service), zap.Int64("epoch", v.Epoch)}
	if err != nil {
		n.opts.Log.Warn("failed to clear previous servers", append(fields, zap.Error(err))...)
		return
	}
	n.opts.Log.Info("previous servers cleared", fields...)
}

func (n *Node) isReady(ctx context.Context, m cluster.Member, v idempotency.View) bool {
	if m.Name == n.opts.Self.Server {
		return n.EpochReady(v.Service, v.Epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var r peerapi.ReadyResponse
	err := n.send(ctx, m.Address, peerapi.PathReady, peerapi.ReadyRequest{Service: v.Service, Epoch: v.Epoch}, &r)
	return err == nil && r.Ready && r.From.Server == m.Name
}

func (n *Node) serveReady(_ context.Context, q *peerapi.ReadyRequest) peerapi.ReadyResponse {
	return peerapi.ReadyResponse{From: n.opts.Self, Ready: n.EpochReady(q.Service, q.Epoch)}
}
