package upstream

import (
	"context"

	"lavendermoor.example/clients/instances"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// ConfigSource gives the configuration in force, nil before the first, and tells when another one is.
type ConfigSource interface {
	State() *cluster.State
	Changed() <-chan struct{}
}

// Discovery keeps membership and picker up to date with configuration, instance list and traffic.
type Discovery struct {
	Members *membership.Tracker
	Router  *routing.Router

	config            ConfigSource
	membershipChanged chan struct{}
}

// NewDiscovery returns the control of a process in the failure domain. The seed spreads probes.
func NewDiscovery(config ConfigSource, policy routing.Policy, domain string, seed uint64) *Discovery {
	c := &Discovery{Router: routing.NewRouter(policy, domain), config: config, membershipChanged: make(chan struct{}, 1)}
	c.Members = membership.NewTracker(seed, newProber(c.Router), func(*membership.View) {
		select {
		case c.membershipChanged <- struct{}{}:
		default: // An update is due already.
		}
	})
	return c
}

// ApplyInstanceList passes on an answer of the instance list.
func (c *Discovery) ApplyInstanceList(ctx context.Context, l instances.List) {
	c.Members.ApplyList(ctx, l)
}

// Run publishes a picker for each configuration and each change of membership until the context ends.
func (c *Discovery) Run(ctx context.Context) {
	trackerDone := make(chan struct{})
	go func() {
		defer close(trackerDone)
		c.Members.Run(ctx)
	}()
	defer func() { <-trackerDone }()
	revision := int64(-1)
	for ctx.Err() == nil {
		changed := c.config.Changed()
		if st := c.config.State(); st != nil {
			if st.Revision != revision {
				revision = st.Revision
				c.Members.SetServers(ctx, serversOf(st))
			}
			c.Router.Update(st, c.Members.View())
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.membershipChanged:
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
