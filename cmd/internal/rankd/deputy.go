package rankd

import (
	"context"

	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/platform"
)

// newDeputy returns the deputy that this sidecar's agent provides to the planners of its replica's group.
func (p *rankSidecar) newDeputy() *rollout.Deputy {
	return rollout.NewDeputy(rollout.DeputyOptions{
		Group: p.deputyGroup,
		Planner: func(a rollout.DeputyAssignment) rollout.Rank {
			return platform.NewRank(a.Addresses[a.Planner], p.http)
		},
		Alive: func(ctx context.Context, a rollout.DeputyAssignment) error {
			agentAddress, err := agent.Address(a.Addresses[a.Planner], p.settings.PeerPort)
			if err != nil {
				return err
			}
			return agent.NewClient(agentAddress, p.http, nil).Alive(ctx)
		},
		Log: p.log,
	})
}

// deputyGroup returns the group of an assignment. It sends orders with the deputy's fencing token.
func (p *rankSidecar) deputyGroup(a rollout.DeputyAssignment) *rollout.Group {
	codec := &agent.Codec{}
	ranks := make([]rollout.Rank, len(a.Addresses))
	for i, address := range a.Addresses {
		ranks[i] = p.rank(address, codec)
	}
	ranks[a.Deputy] = p.agent
	fence := rollout.DeputyFence(a.Fence)
	return rollout.NewGroup(ranks, a.Deputy, func() (int64, error) { return fence, nil }, p.log)
}
