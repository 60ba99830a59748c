package upstream

import (
	"context"

	"lavendermoor.example/clients/instances"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// Feed gives the configuration in force, nil before the first, and tells when another one is.
type Feed interface {
	State() *cluster.State
	Changed() <-chan struct{}
}

// Control keeps membership and picker up to date with configuration, instance list and traffic.
type Control struct {
	Members *membership.Tracker
	Router  *routing.Router

	feed  Feed
	moved chan struct{}
}

// NewControl returns the control of a process in the failure domain. The seed spreads probes.
func NewControl(feed Feed, policy routing.Policy, domain string, seed uint64) *Control {
	c := &Control{Router: routing.NewRouter(policy, domain), feed: feed, moved: make(chan struct{}, 1)}
	c.Members = membership.NewTracker(seed, newProber(c.Router), func(*membership.View) {
		select {
		case c.moved <- struct{}{}:
		default: // An update is due already.
		}
	})
	return c
}

// Listed passes on an answer of the instance list.
func (c *Control) Listed(ctx context.Context, l instances.List) { c.Members.ApplyList(ctx, l) }

// Run publishes a picker for each configuration and each change of membership until the context ends.
func (c *Control) Run(ctx context.Context) {
	tracking := make(chan struct{})
	go func() {
		defer close(tracking)
		c.Members.Run(ctx)
	}()
	defer func() { <-tracking }()
	known := int64(-1)
	for ctx.Err() == nil {
		changed := c.feed.Changed()
		if st := c.feed.State(); st != nil {
			if st.Revision != known {
				known = st.Revision
				c.Members.SetServers(ctx, serversOf(st))
			}
			c.Router.Update(st, c.Members.View())
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.moved:
		}
	}
}

func serversOf(st *cluster.State) []membership.Server {
	out := make([]membership.Server, 0, len(st.Servers()))
	for name, s := range st.Servers() {
		out = append(out, membership.Server{Name: name, Domain: s.GetFailureDomain()})
	}
	return out
}
