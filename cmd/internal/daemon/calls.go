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
	// incarnationTimeout bounds the wait for an incarnation number at startup while the key-value service is unavailable.
	incarnationTimeout = 3 * time.Second
	// backgroundWorkTimeout bounds the wait for runs and messages in the background before the outcomes are handed over.
	backgroundWorkTimeout = 5 * time.Second
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

// handOverOutcomes hands the token outcomes over to another server after the runs and messages in the background have
// ended. The outcome of a run that takes longer than backgroundWorkTimeout stays unknown.
func handOverOutcomes(n *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundWorkTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() { n.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.Handover(context.WithoutCancel(ctx))
}
