package rankd

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/orders"
	"lavendermoor.example/platform"
)

// leaseHeldFor returns how long another sidecar may still hold the lease, or false if err is not a
// *orders.LeaseHeldError.
func leaseHeldFor(err error) (time.Duration, bool) {
	var held *orders.LeaseHeldError
	if errors.As(err, &held) {
		return held.Wait, true
	}
	return 0, false
}

// lead runs the planner of a group while this sidecar holds the lease.
func (p *rankSidecar) lead(ctx context.Context, lease *orders.Lease, group string) {
	fence, err := lease.Check()
	if err != nil {
		return
	}
	p.leading.Store(true)
	p.log.Info("planning for the group", zap.String("group", group), zap.Int64("fence", fence))
	leaderCtx, stopLeading := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { p.renewLease(leaderCtx, stopLeading, lease) })
	p.runPlanner(leaderCtx, lease, group)
	stopLeading()
	renewing.Wait()
	p.leading.Store(false)
	p.dump.Store(&Dump{Group: group})
	p.log.Info("no longer planning for the group", zap.String("group", group), zap.Int64("fence", fence))
	if ctx.Err() != nil {
		p.releaseLease(lease)
	}
}

// releaseLease releases the lease, so that another sidecar can take over immediately. It uses a new context because the
// context of this sidecar may have ended.
func (p *rankSidecar) releaseLease(lease *orders.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		p.log.Info("lease not released; it will expire", zap.Error(err))
	}
}

// renewLease renews the lease until the context ends. If the lease is lost, it calls onLost and returns.
func (p *rankSidecar) renewLease(ctx context.Context, onLost func(), lease *orders.Lease) {
	for {
		process.Sleep(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		if err := lease.Renew(ctx); err != nil && ctx.Err() == nil {
			p.log.Info("lease not renewed", zap.Error(err))
		}
		if _, err := lease.Check(); err != nil {
			onLost()
			return
		}
	}
}

// plannedGroup is a group whose ranks have been discovered, with its planner.
type plannedGroup struct {
	ranks     *rollout.Group
	planner   *rollout.Planner
	publisher *noticePublisher
}

// runPlanner runs a planner for the ranks of the group. It discovers the ranks again whenever the group is incomplete.
func (p *rankSidecar) runPlanner(ctx context.Context, lease *orders.Lease, group string) {
	var g, earlier *plannedGroup
	for ctx.Err() == nil {
		if g == nil {
			var err error
			if g, err = p.discover(ctx, lease, group); err != nil {
				p.log.Info("cannot discover the ranks of the group", zap.Error(err))
				process.Sleep(ctx, retryDelay)
				continue
			}
			if earlier != nil {
				g.ranks.ContinueFrom(earlier.ranks)
			}
		}
		started := time.Now()
		// A switch that has begun is completed even if the lease or the context ends: the group is held until then.
		err := g.planner.Tick(context.WithoutCancel(ctx), started)
		p.updateDump(group, lease, g.ranks, err)
		g.publisher.publishIfDue(ctx, g.ranks.States(), time.Now())
		if isFenced(err) {
			// The lease is then acquired again with a higher fencing token.
			p.releaseLease(lease)
			return
		}
		if p.needsDiscovery(err) {
			g, earlier = nil, g
			process.Sleep(ctx, retryDelay)
			continue
		}
		// At least a third of the interval is left for other work on the instance.
		wait := g.planner.TickInterval(time.Now())
		process.Sleep(ctx, max(wait-time.Since(started), wait/3))
	}
}

// isFenced reports whether another sidecar has used a higher fencing token, for the deputy of a switch or for a later
// planner.
func isFenced(err error) bool {
	var refused *rollout.RefusedError
	return errors.As(err, &refused) && refused.Fenced
}

func (p *rankSidecar) needsDiscovery(err error) bool {
	var incomplete *rollout.IncompleteError
	return errors.As(err, &incomplete)
}

func (p *rankSidecar) updateDump(group string, lease *orders.Lease, ranks *rollout.Group, err error) {
	fence, _ := lease.Check()
	d := &Dump{Group: group, Leading: true, Fence: fence}
	if states := ranks.States(); len(states) > 0 {
		d.Epoch, d.Version, d.Pass = states[0].Epoch, states[0].Version, states[0].Pass
	}
	if err != nil {
		d.Error = err.Error()
		if previous := p.dump.Load(); previous.Error != d.Error {
			p.log.Warn("planner failed to advance the expert map", zap.String("group", group), zap.Int64("epoch", d.Epoch),
				zap.Int64("version", d.Version), zap.Int64("pass", d.Pass), zap.Error(err))
		}
	}
	p.dump.Store(d)
}

// MissingRanksError reports that not all ranks of a group were found.
type MissingRanksError struct {
	Group       string
	Found, Size int
}

func (e *MissingRanksError) Error() string {
	return strconv.Itoa(e.Found) + " of " + strconv.Itoa(e.Size) + " ranks of group " + e.Group + " found"
}

// discover reads the configuration and the server list, polls every server of the service for its rank, and returns the
// group with a new planner.
func (p *rankSidecar) discover(ctx context.Context, lease *orders.Lease, group string) (*plannedGroup, error) {
	engine, targetGap, err := p.engine(ctx)
	if err != nil {
		return nil, err
	}
	servers, err := p.listServers(ctx)
	if err != nil {
		return nil, err
	}
	members, err := p.findMembers(ctx, servers, group)
	if err != nil {
		return nil, err
	}
	shape := expertmap.Shape{Ranks: len(members.ranks), Experts: engine.Experts, Layers: engine.Layers, Slots: engine.ExpertSlots}
	if err := shape.Validate(); err != nil {
		return nil, err
	}
	expertTransferTime := time.Duration(float64(engine.ExpertBytes) / engine.TransferBytesPerSecond * float64(time.Second))
	plannerSettings := rollout.DefaultSettings(shape, engine.MaxNewPerLayer, expertTransferTime)
	plannerSettings.LeaseRemaining, plannerSettings.TargetGap = lease.Remaining, targetGap
	fence := func() (int64, error) {
		token, err := lease.Check()
		return rollout.PlannerFence(token), err
	}
	g := rollout.NewGroup(members.ranks, members.ownRank, fence, p.log)
	if p.settings.RequireFence {
		g.EnableDeputies(group, members.peers, members.addresses)
	}
	return &plannedGroup{
		ranks: g, planner: rollout.NewPlanner(plannerSettings, g, p.log),
		publisher: &noticePublisher{sidecar: p, group: group, lease: lease, addresses: members.addresses},
	}, nil
}

// NoExpertMapsError reports that the configured service has no engine with expert maps.
type NoExpertMapsError struct{ Service string }

func (e *NoExpertMapsError) Error() string {
	return "service " + e.Service + " has no engine with expert maps"
}

// engine returns the engine of the service and the shortest target for the gap between two events among its routes, 0
// if no route has a target.
func (p *rankSidecar) engine(ctx context.Context) (*catalog.Engine, time.Duration, error) {
	if err := p.config.Update(ctx); err != nil {
		return nil, 0, err
	}
	c, err := p.newestCatalog(p.config.Snapshot().Entries)
	if err != nil {
		return nil, 0, err
	}
	s := c.Service(p.settings.Service)
	if s == nil || s.Engine == nil || s.Engine.Layers == 0 {
		return nil, 0, merry.Wrap(&NoExpertMapsError{Service: p.settings.Service})
	}
	return s.Engine, c.TargetGap(p.settings.Service), nil
}

// newestCatalog returns the configuration in the entries, or the newest one known if that is refused or older.
func (p *rankSidecar) newestCatalog(entries map[string]kv.Entry) (*catalog.Catalog, error) {
	c, err := platform.DecodeCatalog(entries)
	if err != nil && p.catalog == nil {
		return nil, err
	}
	if err == nil && (p.catalog == nil || c.Version > p.catalog.Version) {
		p.catalog = c
	}
	return p.catalog, nil
}

func (p *rankSidecar) listServers(ctx context.Context) ([]catalog.Server, error) {
	if err := p.servers.Update(ctx); err != nil {
		return nil, err
	}
	all, _ := platform.DecodeServers(p.servers.Snapshot().Entries) // Invalid entries are ignored.
	var out []catalog.Server
	for _, s := range all {
		if s.Service == p.settings.Service {
			out = append(out, s)
		}
	}
	return out, nil
}

const (
	// maxDiscoverCalls bounds the servers that are polled at the same time.
	maxDiscoverCalls = 16
	discoverTimeout  = time.Second
)

// groupMembers are the ranks of a group.
type groupMembers struct {
	// ranks, peers and addresses are in order of rank. The addresses are those of the replicas.
	ranks     []rollout.Rank
	peers     []rollout.Peer
	addresses []string
	// ownRank is the rank of this sidecar's replica.
	ownRank int
}

// findMembers polls the servers for the ranks of a group. It fails with a *MissingRanksError if some are missing.
func (p *rankSidecar) findMembers(ctx context.Context, servers []catalog.Server, group string) (*groupMembers, error) {
	candidates := make([]rollout.Rank, len(servers))
	states := make([]rollout.State, len(servers))
	codec := &agent.Codec{}
	var all errgroup.Group
	all.SetLimit(maxDiscoverCalls)
	for i, s := range servers {
		all.Go(func() error {
			candidates[i] = p.rank(s.Address, codec)
			callCtx, cancel := context.WithTimeout(ctx, discoverTimeout)
			defer cancel()
			var err error
			if states[i], err = candidates[i].State(callCtx, rollout.StateOptions{}); err != nil {
				p.log.Debug("cannot get the state of a rank", zap.String("server", s.ID), zap.Error(err))
			}
			return nil // Missing ranks are counted below.
		})
	}
	_ = all.Wait()
	own, err := p.ownState(ctx)
	if err != nil {
		return nil, err
	}
	if !own.IsMember(own.Group, own.Size) {
		return nil, merry.Wrap(&MissingRanksError{Group: group, Size: own.Size})
	}
	out := &groupMembers{
		ranks: make([]rollout.Rank, own.Size), peers: make([]rollout.Peer, own.Size), addresses: make([]string, own.Size),
		ownRank: own.Rank,
	}
	found := 0
	for i, s := range states {
		if !s.IsMember(group, own.Size) || out.ranks[s.Rank] != nil {
			continue
		}
		out.ranks[s.Rank], out.addresses[s.Rank] = candidates[i], servers[i].Address
		if out.peers[s.Rank], err = p.peer(servers[i].Address, codec); err != nil {
			return nil, err
		}
		found++
	}
	if found < own.Size {
		return nil, merry.Wrap(&MissingRanksError{Group: group, Found: found, Size: own.Size})
	}
	out.ranks[own.Rank] = p.agent
	return out, nil
}

// ownState reads the state of this sidecar's replica. A connection that has gone silent must not stop the sidecar from
// planning.
func (p *rankSidecar) ownState(ctx context.Context) (rollout.State, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	return p.replica.State(ctx, rollout.StateOptions{})
}

// rank returns a client of the rank of the replica at an address, through its agent if possible.
func (p *rankSidecar) rank(address string, codec *agent.Codec) rollout.Rank {
	direct := platform.NewRank(address, p.http)
	agentAddress, err := agent.Address(address, p.settings.PeerPort)
	if err != nil {
		return direct
	}
	return agent.NewFallback(agent.NewClient(agentAddress, p.http, codec), direct)
}

// peer returns a client of the replica at an address and of its agent.
func (p *rankSidecar) peer(address string, codec *agent.Codec) (rollout.Peer, error) {
	agentAddress, err := agent.Address(address, p.settings.PeerPort)
	if err != nil {
		return nil, err
	}
	return agent.NewPeer(agent.NewClient(agentAddress, p.http, codec), platform.NewRank(address, p.http)), nil
}
