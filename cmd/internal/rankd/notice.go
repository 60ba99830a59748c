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
	// slowPace is the pace from which a rank is reported as slow.
	slowPace = 1.1
	// noticeInterval is the interval at which a notice is repeated while ranks are slow or leaving.
	noticeInterval = 3 * time.Second
	noticeTimeout  = 200 * time.Millisecond
	maxNoticeCalls = 16
)

// noticePublisher sends notices of slow and leaving ranks to the agents of all ranks of a group, so that gateways can
// get them from any of these.
type noticePublisher struct {
	sidecar   *rankSidecar
	group     string
	lease     *orders.Lease
	addresses []string
	// last is the last notice, lastAt the time at which it was issued.
	last   agent.Notice
	lastAt time.Time
}

// publishIfDue publishes a notice if the slow or leaving ranks have changed or the last notice must be repeated.
func (p *noticePublisher) publishIfDue(ctx context.Context, states []rollout.State, now time.Time) {
	fence, err := p.lease.Check()
	if err != nil || len(states) != len(p.addresses) {
		return
	}
	n := agent.Notice{
		Group: p.group, Fence: fence, Paces: map[string]float64{}, Leaving: map[string]int64{}, Members: p.addresses,
	}
	for i, s := range states {
		if s.Pace >= slowPace {
			n.Paces[p.addresses[i]] = s.Pace
		}
		if s.Leaving && s.StartedMs > 0 {
			n.Leaving[p.addresses[i]] = s.StartedMs
		}
	}
	same := fence == p.last.Fence && maps.Equal(n.Paces, p.last.Paces) && maps.Equal(n.Leaving, p.last.Leaving)
	if same && (len(n.Paces)+len(n.Leaving) == 0 || now.Sub(p.lastAt) < noticeInterval) {
		return
	}
	p.last, p.lastAt = n, now
	p.sidecar.agent.SetNotice(n)
	p.broadcast(ctx, n)
}

// broadcast sends a notice to the other agents. An agent that misses it gets the next one.
func (p *noticePublisher) broadcast(ctx context.Context, n agent.Notice) {
	var all errgroup.Group
	all.SetLimit(maxNoticeCalls)
	for _, address := range p.addresses {
		agentAddress, err := agent.Address(address, p.sidecar.settings.PeerPort)
		if err != nil || agentAddress == p.sidecar.settings.listen() {
			continue
		}
		all.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := agent.NewClient(agentAddress, p.sidecar.http, nil).SendNotice(callCtx, n); err != nil {
				p.sidecar.log.Debug("notice not delivered", zap.String("peer", agentAddress), zap.Error(err))
			}
			return nil // The notice is repeated.
		})
	}
	_ = all.Wait()
}
