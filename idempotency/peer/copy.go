package peer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

// copyInterval is the time between rounds of copying while shards are incomplete.
const copyInterval = 250 * time.Millisecond

// CopyRecords copies missing records from the other holders until the context ends.
func (n *Node) CopyRecords(ctx context.Context) {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	for {
		n.copyRound(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// copyRound requests the pending copies from every source once. The requests are concurrent, so that an unresponsive
// source delays only its own copies.
func (n *Node) copyRound(ctx context.Context) {
	n.lock()
	n.table.Expire(time.Now())
	pending := n.table.PendingCopies(time.Now())
	n.mu.Unlock()
	bySource := map[string][]idempotency.PendingCopy{}
	members := map[string]cluster.Member{}
	for _, shard := range pending {
		for _, m := range shard.Sources {
			bySource[m.Name] = append(bySource[m.Name], shard)
			members[m.Name] = m
		}
	}
	var wg sync.WaitGroup
	for name, list := range bySource {
		wg.Go(func() { n.copyFrom(ctx, members[name], list) })
	}
	wg.Wait()
}

func (n *Node) copyFrom(ctx context.Context, source cluster.Member, pending []idempotency.PendingCopy) {
	for _, shard := range pending {
		if err := n.copyShard(ctx, source, shard); err != nil {
			n.opts.Log.Debug("failed to copy records from another holder", zap.String("source", source.Name), zap.Error(err))
			return
		}
	}
}

func (n *Node) copyShard(ctx context.Context, source cluster.Member, pending idempotency.PendingCopy) error {
	pull := peerapi.PullRange{Service: pending.Service, Shard: pending.Shard}
	var from peerapi.Peer
	for {
		page, err := n.pullPage(ctx, source, pending.Epoch, pull)
		if err != nil {
			return err
		}
		changed := from != (peerapi.Peer{}) && from != page.From
		if changed || page.From.Server != source.Name || !idempotency.IsUsablePage(page, pending.Epoch) {
			return nil // The next round tries again.
		}
		from = page.From
		n.lock()
		n.table.ImportPage(time.Now(), page.From, page.Records)
		if page.Next == "" {
			n.table.MarkCopied(time.Now(), pending, page.From)
		}
		n.mu.Unlock()
		if page.Next == "" {
			return nil
		}
		pull.Cursor = page.Next
	}
}

func (n *Node) pullPage(
	ctx context.Context, source cluster.Member, epoch int64, p peerapi.PullRange,
) (page peerapi.RecordsResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	q := peerapi.RecordsRequest{From: n.opts.Self, Epoch: epoch, Pull: &p}
	err = n.send(ctx, source.Address, peerapi.PathRecords, q, &page)
	return page, err
}
