package gatewayd

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/balance"
)

const (
	// groupPollInterval is the interval between checks for groups that are due to be polled.
	groupPollInterval = 50 * time.Millisecond
	groupPollTimeout  = 300 * time.Millisecond
	// maxNotices bounds the notices of the groups of one service.
	maxNotices = 256
	// paceTTL is the time after which the paces of a group expire unless another notice confirms them.
	paceTTL = 10 * time.Second
	// noticeDelayTolerance bounds the transmission time of a notice, by which the computed time of its issue is late.
	noticeDelayTolerance = 300 * time.Millisecond
)

// groupPoller polls the agents of the ranks for the state of their groups and for slow and leaving ranks.
type groupPoller struct {
	gateway *gateway
	http    *http.Client

	mu sync.Mutex
	// notices holds the last notice of each group, by service and name.
	notices map[string]map[string]timedNotice
}

// timedNotice is a notice with the time at which its planner issued it.
type timedNotice struct {
	agent.Notice
	issuedAt time.Time
}

// pollGroups keeps the states of the groups up to date until the context ends. Without Settings.RankPort it does
// nothing.
func (g *gateway) pollGroups(ctx context.Context) {
	if g.settings.Load().RankPort == 0 {
		return
	}
	p := &groupPoller{
		gateway: g, http: process.PeerClient(groupPollTimeout), notices: map[string]map[string]timedNotice{},
	}
	for ctx.Err() == nil {
		for _, service := range g.groupedServices() {
			for _, b := range g.fleet.PollTargets(service, rand.Float64, time.Now()) {
				go p.poll(ctx, service, b)
			}
			p.applyNotices(service, time.Now())
		}
		process.Sleep(ctx, groupPollInterval)
	}
}

// groupedServices returns the names of the services whose servers are ranks of groups.
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

// poll polls the agent of one server. Every poll ends within groupPollTimeout, which limits the number of concurrent
// polls.
func (p *groupPoller) poll(ctx context.Context, service string, b *balance.Backend) {
	server := b.Server()
	address, err := agent.Address(server.Address, p.gateway.settings.Load().RankPort)
	if err != nil {
		p.gateway.log.Warn("invalid address of a backend server", zap.String("server", server.ID), zap.Error(err))
		return
	}
	requestedAt := time.Now()
	includeMembers := p.gateway.fleet.HasUnknownGroup(service)
	report, err := agent.NewClient(address, p.http, nil).ReadGroup(ctx, includeMembers)
	if err != nil {
		p.gateway.log.Debug("cannot get a group report", zap.String("server", server.ID), zap.Error(err))
		return
	}
	r := balance.GroupReport{Group: report.Group, Epoch: report.Epoch, Serving: report.Serving, RequestedAt: requestedAt}
	if report.Notice.Group == report.Group {
		r.Members = report.Notice.Members
		p.storeNotice(service, report.Notice, time.Now())
	}
	change := p.gateway.fleet.ApplyGroupReport(service, server.Address, r)
	if change == (balance.GroupChange{}) {
		return
	}
	p.gateway.srv.RefreshGroups()
	level := zap.DebugLevel // While a fleet starts, the members are discovered one by one.
	if change.ServingChanged || change.MembersChanged > 1 {
		level = zap.InfoLevel
	}
	p.gateway.log.Log(level, "state of a group changed", zap.String("group", report.Group), zap.String("service", service),
		zap.Int64("epoch", report.Epoch), zap.Bool("open", report.Serving), zap.Int("members_changed", change.MembersChanged),
		zap.String("reported_by", server.ID))
}

// storeNotice stores a notice unless a later one of the group is stored. An agent that has missed the last notice
// reports an older one.
func (p *groupPoller) storeNotice(service string, n agent.Notice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := p.notices[service]
	if groups == nil {
		groups = map[string]timedNotice{}
		p.notices[service] = groups
	}
	age := min(max(n.AgeMs, 0), paceTTL.Milliseconds())
	issuedAt := now.Add(-time.Duration(age) * time.Millisecond)
	last, known := groups[n.Group]
	hasRoom := known || len(groups) < maxNotices
	if n.Group == "" || !hasRoom || last.supersedes(n, issuedAt) {
		return
	}
	groups[n.Group] = timedNotice{Notice: n, issuedAt: issuedAt}
}

// supersedes reports whether the notice is later than another one of the group.
func (t timedNotice) supersedes(n agent.Notice, issuedAt time.Time) bool {
	if n.Fence != t.Fence {
		return n.Fence < t.Fence
	}
	return issuedAt.Before(t.issuedAt.Add(-noticeDelayTolerance))
}

// applyNotices applies the paces and the leaving servers in the notices of all groups of a service.
func (p *groupPoller) applyNotices(service string, now time.Time) {
	p.mu.Lock()
	paces, leaving := map[string]float64{}, map[string]int64{}
	for name, n := range p.notices[service] {
		if now.Sub(n.issuedAt) > paceTTL {
			delete(p.notices[service], name)
			continue
		}
		maps.Copy(paces, n.Paces)
		maps.Copy(leaving, n.Leaving)
	}
	p.mu.Unlock()
	for _, s := range p.gateway.fleet.SetLeaving(service, leaving) {
		p.gateway.log.Info("backend server is said to leave", zap.String("server", s.ID), zap.String("service", service))
	}
	for _, s := range p.gateway.fleet.SetPaces(service, paces) {
		p.gateway.log.Info("pace of a backend server changed", zap.String("server", s.ID), zap.String("service", service),
			zap.Float64("pace", max(paces[s.Address], 1)))
	}
}
