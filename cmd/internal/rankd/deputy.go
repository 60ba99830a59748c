package rankd

import (
	"context"

	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/platform"
)

// newDeputy returns the deputy that this process is for planners of its replica's group.
func (p *rankProcess) newDeputy() *rollout.Deputy {
	return rollout.NewDeputy(rollout.DeputyOptions{
		Group: p.deputyGroup,
		Planner: func(h rollout.DeputyAssignment) rollout.Rank {
			return platform.NewRank(h.Addresses[h.Planner], p.http)
		},
		Alive: func(ctx context.Context, h rollout.DeputyAssignment) error {
			peer, err := agent.Address(h.Addresses[h.Planner], p.set.PeerPort)
			if err != nil {
				return err
			}
			return agent.NewClient(peer, p.http, nil).Alive(ctx)
		},
		Log: p.log,
	})
}

// deputyGroup returns the access to the ranks of a handover under the deputy's fencing number.
func (p *rankProcess) deputyGroup(h rollout.DeputyAssignment) *rollout.Group {
	codec := &agent.Codec{}
	ranks := make([]rollout.Rank, len(h.Addresses))
	for i, address := range h.Addresses {
		ranks[i] = p.rank(address, codec)
	}
	ranks[h.Deputy] = p.agent
	number := rollout.DeputyFence(h.Fence)
	return rollout.NewGroup(ranks, h.Deputy, func() (int64, error) { return number, nil }, p.log)
}
