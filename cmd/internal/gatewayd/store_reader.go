package gatewayd

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/configsync/presence"
)

// minGatewaysForReader is the minimum number of gateways in a failure domain for one of them to read the store for all.
const minGatewaysForReader = 3

// selectReader returns the gateway that reads the store for a failure domain, or false if each gateway reads for
// itself. Gateways with the same list of members select the same one.
func selectReader(members []presence.Member, domain string) (presence.Member, bool) {
	var selected presence.Member
	var lowest uint64
	n := 0
	for _, m := range members {
		if m.Domain != domain {
			continue
		}
		n++
		if hash := xxhash.Sum64String(m.Name); n == 1 || hash < lowest {
			selected, lowest = m, hash
		}
	}
	return selected, n >= minGatewaysForReader
}

// followReader sends a request to the gateway that reads the store for this one. It fails with a *mirror.NoReaderError
// if there is none.
func (g *gateway) followReader(ctx context.Context, req mirror.FollowRequest) (*mirror.FollowResponse, error) {
	s := g.settings.Load()
	r, ok := selectReader(g.presence.Members(), s.FailureDomain)
	if !ok || r.Name == s.Name {
		return nil, merry.Wrap(&mirror.NoReaderError{})
	}
	return g.peers.Follow(ctx, r.Address, req)
}
