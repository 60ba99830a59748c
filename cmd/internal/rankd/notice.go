package rankd

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/orders"
)

const (
	// slowPace is the pace from which a rank is told to be slow.
	slowPace = 1.1
	// noticeEvery is how often a notice is repeated while ranks are slow.
	noticeEvery   = 3 * time.Second
	noticeTimeout = 200 * time.Millisecond
	noticeCalls   = 16
)

// announcer tells the processes beside all ranks of a group which of them are slow, so that gateways learn it from any.
type announcer struct {
	process   *rankProcess
	group     string
	lease     *orders.Lease
	addresses []string
	// told is the last notice, at when it was given.
	told agent.Notice
	at   time.Time
}

// tell gives a notice when the slow or leaving ranks have changed, or when the last one is old.
func (a *announcer) tell(ctx context.Context, states []rollout.State, now time.Time) {
	fence, err := a.lease.Check()
	if err != nil || len(states) != len(a.addresses) {
		return
	}
	n := agent.Notice{
		Group: a.group, Fence: fence, Paces: map[string]float64{}, Leaving: map[string]int64{}, Members: a.addresses,
	}
	for i, s := range states {
		if s.Pace >= slowPace {
			n.Paces[a.addresses[i]] = s.Pace
		}
		if s.Leaving && s.StartedMs > 0 {
			n.Leaving[a.addresses[i]] = s.StartedMs
		}
	}
	same := fence == a.told.Fence && maps.Equal(n.Paces, a.told.Paces) && maps.Equal(n.Leaving, a.told.Leaving)
	if same && (len(n.Paces)+len(n.Leaving) == 0 || now.Sub(a.at) < noticeEvery) {
		return
	}
	a.told, a.at = n, now
	a.process.agent.SetNotice(n)
	a.send(ctx, n)
}

// send gives a notice to the other processes. One that does not get it has the next one.
func (a *announcer) send(ctx context.Context, n agent.Notice) {
	var all errgroup.Group
	all.SetLimit(noticeCalls)
	for _, address := range a.addresses {
		peer, err := agent.Address(address, a.process.set.PeerPort)
		if err != nil || peer == a.process.set.listen() {
			continue
		}
		all.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := agent.NewClient(peer, a.process.http, nil).SendNotice(callCtx, n); err != nil {
				a.process.log.Debug("notice not delivered", zap.String("peer", peer), zap.Error(err))
			}
			return nil // The notice is repeated.
		})
	}
	_ = all.Wait()
}
