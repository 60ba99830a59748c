package gatewayd

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/catalog"
)

const (
	// paceEvery is how often a service is asked for its slow ranks, and pacePause the least time between two questions,
	// so that a gateway of many groups stays within 4 KB/s.
	paceEvery   = 700 * time.Millisecond
	pacePause   = 70 * time.Millisecond
	paceTimeout = 300 * time.Millisecond
	// paceServers is the number of servers for which one is asked, about the size of a large group.
	paceServers = 64
	// paceLife is the time after which the paces of a group that were not confirmed are forgotten.
	paceLife = 10 * time.Second
	// paceSlack is the time that a notice may be on its way.
	paceSlack = 300 * time.Millisecond
)

// paces asks the rank processes which ranks of their groups are slow.
type paces struct {
	gateway *gateway
	http    *http.Client
	// groups holds the last notice of each group, by service and name.
	groups map[string]map[string]datedNotice
}

// datedNotice is a notice with the time at which its planner gave it.
type datedNotice struct {
	agent.Notice
	at time.Time
}

// followPaces keeps the paces of the servers up to date until the context ends.
func (g *gateway) followPaces(ctx context.Context) {
	if g.set.Load().RankPort == 0 {
		return
	}
	p := paces{gateway: g, http: &http.Client{Timeout: paceTimeout}, groups: map[string]map[string]datedNotice{}}
	for ctx.Err() == nil {
		started := time.Now()
		for _, service := range g.groupedServices() {
			p.askService(ctx, service)
		}
		process.Pause(ctx, max(paceEvery-time.Since(started), pacePause))
	}
}

// groupedServices returns the services whose servers are ranks of groups.
func (g *gateway) groupedServices() []string {
	var out []string
	if c := g.srv.Catalog(); c != nil {
		for _, s := range c.Services {
			if s.Engine != nil && s.Engine.Layers > 0 {
				out = append(out, s.Name)
			}
		}
	}
	return out
}

// askService asks some of the rank processes of a service, other ones each time.
func (p *paces) askService(ctx context.Context, service string) {
	servers := p.gateway.fleet.Backends(service)
	for n := 0; n < len(servers); n += paceServers {
		if n > 0 {
			process.Pause(ctx, pacePause)
		}
		s := servers[rand.IntN(len(servers))].Server()
		notice, err := p.read(ctx, s)
		if err != nil {
			p.gateway.log.Debug("no notice from a rank process", zap.String("server", s.ID), zap.Error(err))
			continue
		}
		p.take(service, notice, time.Now())
	}
	p.apply(service, time.Now())
}

func (p *paces) read(ctx context.Context, s catalog.Server) (agent.Notice, error) {
	address, err := agent.Address(s.Address, p.gateway.set.Load().RankPort)
	if err != nil {
		return agent.Notice{}, err
	}
	return agent.NewClient(address, p.http, nil).ReadNotice(ctx)
}

// take keeps a notice unless a later one of the group is known. Processes beside ranks may have missed the last one.
func (p *paces) take(service string, n agent.Notice, now time.Time) {
	groups := p.groups[service]
	if groups == nil {
		groups = map[string]datedNotice{}
		p.groups[service] = groups
	}
	at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	last := groups[n.Group]
	if n.Group == "" || n.Fence < last.Fence || (n.Fence == last.Fence && at.Before(last.at.Add(-paceSlack))) {
		return
	}
	groups[n.Group] = datedNotice{Notice: n, at: at}
}

// apply sets the paces of a service's servers as all its groups report them.
func (p *paces) apply(service string, now time.Time) {
	merged := map[string]float64{}
	for name, n := range p.groups[service] {
		if now.Sub(n.at) > paceLife {
			delete(p.groups[service], name)
			continue
		}
		maps.Copy(merged, n.Paces)
	}
	for _, s := range p.gateway.fleet.SetPaces(service, merged) {
		p.gateway.log.Info("pace of a backend server changed", zap.String("server", s.ID), zap.String("service", service),
			zap.Float64("pace", max(merged[s.Address], 1)))
	}
}
