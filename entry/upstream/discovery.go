package upstream

import (
	"context"

	"lavendermoor.example/clients/instances"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// WatchedConfiguration provides the active configuration, nil before the first one, and signals its changes.
type WatchedConfiguration interface {
	State() *cluster.State
	Changed() <-chan struct{}
}

// Discovery keeps the membership and the router up to date with the configuration, the instance list, and the results
// of requests.
type Discovery struct {
	Members *membership.Tracker
	Router  *routing.Router

	config            WatchedConfiguration
	membershipChanged chan struct{}
}

// NewDiscovery returns the discovery for a process in the given failure domain. The seed varies the probe times between
// processes.
func NewDiscovery(config WatchedConfiguration, policy routing.Policy, domain string, seed uint64) *Discovery {
	d := &Discovery{Router: routing.NewRouter(policy, domain), config: config, membershipChanged: make(chan struct{}, 1)}
	d.Members = membership.NewTracker(seed, newProber(d.Router), func(*membership.View) {
		select {
		case d.membershipChanged <- struct{}{}:
		default: // An update is already pending.
		}
	})
	return d
}

// ApplyInstanceList updates the membership with a response of the instance list.
func (d *Discovery) ApplyInstanceList(ctx context.Context, l instances.List) {
	d.Members.ApplyList(ctx, l)
}

// Run updates the router after each change of the configuration or the membership until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	trackerDone := make(chan struct{})
	go func() {
		defer close(trackerDone)
		d.Members.Run(ctx)
	}()
	defer func() { <-trackerDone }()
	revision := int64(-1)
	for ctx.Err() == nil {
		changed := d.config.Changed()
		if st := d.config.State(); st != nil {
			if st.Revision != revision {
				revision = st.Revision
				d.Members.SetServers(ctx, serversOf(st))
			}
			d.Router.Update(st, d.Members.View())
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.membershipChanged:
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
