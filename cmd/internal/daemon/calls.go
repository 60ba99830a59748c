package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency/peer"
)

const (
	// incarnationTimeout bounds the startup of a process while the key-value service is unavailable.
	incarnationTimeout = 3 * time.Second
	// runningCallsTimeout bounds the handover of token outcomes at the end of a process.
	runningCallsTimeout = 5 * time.Second
)

// newCallNode returns the part of a sidecar that runs calls at most once, with a new incarnation number.
func newCallNode(ctx context.Context, c *controlPlane) *peer.Node {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	incarnation := peer.AcquireIncarnation(ctx, c.kv, c.id.name, time.Now)
	c.log.Info("incarnation acquired", zap.Int64("incarnation", incarnation.Number), zap.Bool("recorded", incarnation.Recorded))
	return peer.New(peer.Options{
		Self:        peerapi.Peer{Server: c.id.name, Incarnation: incarnation.Number},
		Incarnation: incarnation, Configuration: c.node, Log: c.log,
	})
}

func startCallNode(ctx context.Context, group *errgroup.Group, c *controlPlane, n *peer.Node) {
	group.Go(func() error { n.CopyRecords(ctx); return nil })
	group.Go(func() error {
		n.FinishServerChanges(ctx, uuid.NewString, func(ctx context.Context, base *cluster.State, change *operatorv1.Change) error {
			_, err := c.store.Commit(ctx, base, change)
			return err
		})
		return nil
	})
	group.Go(func() error { n.MaintainIncarnationRecord(ctx, c.kv); return nil })
}

// handOverOutcomes hands the token outcomes over to another server when all work has ended. The outcome of work that
// runs beyond the timeout stays unknown.
func handOverOutcomes(n *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), runningCallsTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() { n.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.Handover(context.WithoutCancel(ctx))
}
