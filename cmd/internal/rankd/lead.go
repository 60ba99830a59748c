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

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/orders"
	"lavendermoor.example/platform"
)

func heldFor(err error) (time.Duration, bool) {
	var held *orders.LeaseHeldError
	if errors.As(err, &held) {
		return held.Wait, true
	}
	return 0, false
}

// lead plans for a group while the lease is held.
func (p *rankProcess) lead(ctx context.Context, lease *orders.Lease, group string) {
	fence, err := lease.Check()
	if err != nil {
		return
	}
	p.leading.Store(true)
	p.log.Info("planning for the group", zap.String("group", group), zap.Int64("fence", fence))
	leading, stop := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { p.renew(leading, stop, lease) })
	p.plan(leading, lease, group)
	stop()
	renewing.Wait()
	p.leading.Store(false)
	p.dump.Store(&Dump{Group: group})
	p.log.Info("no longer planning for the group", zap.String("group", group), zap.Int64("fence", fence))
	if ctx.Err() != nil {
		p.release(lease)
	}
}

// release lets another process take over at once. At the end of a process the context has ended already.
func (p *rankProcess) release(lease *orders.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		p.log.Info("lease not released; it runs out", zap.Error(err))
	}
}

// renew extends the lease until it is lost.
func (p *rankProcess) renew(ctx context.Context, lost func(), lease *orders.Lease) {
	for {
		process.Pause(ctx, renewEvery)
		if ctx.Err() != nil {
			return
		}
		if err := lease.Renew(ctx); err != nil && ctx.Err() == nil {
			p.log.Info("lease not renewed", zap.Error(err))
		}
		if _, err := lease.Check(); err != nil {
			lost()
			return
		}
	}
}

// formation is a group whose ranks were found, with its planner.
type formation struct {
	ranks   *rollout.Group
	planner *rollout.Planner
	notices *announcer
}

// plan runs a planner for the ranks of the group. The ranks are found anew whenever the group is incomplete.
func (p *rankProcess) plan(ctx context.Context, lease *orders.Lease, group string) {
	var f *formation
	for ctx.Err() == nil {
		if f == nil {
			var err error
			if f, err = p.discover(ctx, lease, group); err != nil {
				p.log.Info("ranks of the group not found", zap.Error(err))
				process.Pause(ctx, retryPause)
				continue
			}
		}
		started := time.Now()
		// A switch that has begun is ended also when the lease or the process ends: the group stands still until then.
		err := f.planner.Tick(context.WithoutCancel(ctx), started)
		p.report(group, lease, f.ranks, err)
		f.notices.tell(ctx, f.ranks.States(), time.Now())
		if superseded(err) {
			// The lease is taken anew, with a higher number.
			p.release(lease)
			return
		}
		if p.mustRediscover(err) {
			f = nil
			process.Pause(ctx, retryPause)
			continue
		}
		// At least a third of the time is left to the other work of the instance.
		wait := f.planner.TickInterval(time.Now())
		process.Pause(ctx, max(wait-time.Since(started), wait/3))
	}
}

// superseded says that another process has ordered under a higher number: the deputy of a switch, or a later planner.
func superseded(err error) bool {
	var refused *rollout.RefusedError
	return errors.As(err, &refused) && refused.Fenced
}

func (p *rankProcess) mustRediscover(err error) bool {
	var incomplete *rollout.IncompleteError
	return errors.As(err, &incomplete)
}

func (p *rankProcess) report(group string, lease *orders.Lease, ranks *rollout.Group, err error) {
	fence, _ := lease.Check()
	d := &Dump{Group: group, Leading: true, Fence: fence}
	if states := ranks.States(); len(states) > 0 {
		d.Epoch, d.Version, d.Pass = states[0].Epoch, states[0].Version, states[0].Pass
	}
	if err != nil {
		d.Error = err.Error()
		if before := p.dump.Load(); before.Error != d.Error {
			p.log.Warn("no step towards a new expert map", zap.String("group", group), zap.Int64("epoch", d.Epoch),
				zap.Int64("version", d.Version), zap.Int64("pass", d.Pass), zap.Error(err))
		}
	}
	p.dump.Store(d)
}

// NoGroupError says that the ranks of a group are not all known.
type NoGroupError struct {
	Group       string
	Found, Size int
}

func (e *NoGroupError) Error() string {
	return strconv.Itoa(e.Found) + " of " + strconv.Itoa(e.Size) + " ranks of group " + e.Group + " found"
}

// discover reads the configuration and the list of servers, and asks every server of the service for its rank.
func (p *rankProcess) discover(ctx context.Context, lease *orders.Lease, group string) (*formation, error) {
	engine, aim, err := p.engine(ctx)
	if err != nil {
		return nil, err
	}
	servers, err := p.servers(ctx)
	if err != nil {
		return nil, err
	}
	found, err := p.members(ctx, servers, group)
	if err != nil {
		return nil, err
	}
	shape := expertmap.Shape{Ranks: len(found.ranks), Experts: engine.Experts, Layers: engine.Layers, Slots: engine.ExpertSlots}
	if err := shape.Validate(); err != nil {
		return nil, err
	}
	copyTime := time.Duration(float64(engine.ExpertBytes) / engine.CopyBytesPerSecond * float64(time.Second))
	set := rollout.DefaultSettings(shape, engine.MaxNewExperts, copyTime)
	set.LeaseRemaining, set.TargetGap = lease.Remaining, aim
	fence := func() (int64, error) {
		number, err := lease.Check()
		return rollout.PlannerFence(number), err
	}
	g := rollout.NewGroup(found.ranks, found.self, fence, p.log)
	if p.set.RequireFence {
		g.EnableDeputies(group, found.remotes, found.addresses)
	}
	return &formation{
		ranks: g, planner: rollout.NewPlanner(set, g, p.log),
		notices: &announcer{process: p, group: group, lease: lease, addresses: found.addresses},
	}, nil
}

// NoEngineError says that the configuration has no engine with expert maps for the service.
type NoEngineError struct{ Service string }

func (e *NoEngineError) Error() string {
	return "service " + e.Service + " has no engine with expert maps"
}

// engine returns the engine of the service and the shortest aim for pauses of the routes to it, 0 if none has one.
func (p *rankProcess) engine(ctx context.Context) (*catalog.Engine, time.Duration, error) {
	config, err := mirror.ReadSnapshot(ctx, p.store, platform.ConfigPrefix)
	if err != nil {
		return nil, 0, err
	}
	c, err := platform.DecodeCatalog(config.Entries)
	if err != nil {
		return nil, 0, err
	}
	s := c.Service(p.set.Service)
	if s == nil || s.Engine == nil || s.Engine.Layers == 0 {
		return nil, 0, merry.Wrap(&NoEngineError{Service: p.set.Service})
	}
	return s.Engine, c.TargetGap(p.set.Service), nil
}

func (p *rankProcess) servers(ctx context.Context) ([]catalog.Server, error) {
	list, err := mirror.ReadSnapshot(ctx, p.store, platform.ServersPrefix)
	if err != nil {
		return nil, err
	}
	all, _ := platform.DecodeServers(list.Entries) // Entries that can't be read name no server.
	var out []catalog.Server
	for _, s := range all {
		if s.Service == p.set.Service {
			out = append(out, s)
		}
	}
	return out, nil
}

const (
	// discoverCalls bounds the servers that are asked for their rank at once.
	discoverCalls   = 16
	discoverTimeout = time.Second
)

// members are the ranks of a group.
type members struct {
	// ranks are the access to each rank and addresses those of the replicas, in order of rank.
	ranks     []rollout.Rank
	remotes   []rollout.Peer
	addresses []string
	// self is the index of this process's own rank.
	self int
}

// members asks the servers for the ranks of a group. It fails with a *NoGroupError when some are missing.
func (p *rankProcess) members(ctx context.Context, servers []catalog.Server, group string) (*members, error) {
	found := make([]rollout.Rank, len(servers))
	states := make([]rollout.State, len(servers))
	codec := &agent.Codec{}
	var all errgroup.Group
	all.SetLimit(discoverCalls)
	for i, s := range servers {
		all.Go(func() error {
			found[i] = p.rank(s.Address, codec)
			callCtx, cancel := context.WithTimeout(ctx, discoverTimeout)
			defer cancel()
			var err error
			if states[i], err = found[i].State(callCtx, rollout.StateOptions{}); err != nil {
				p.log.Debug("rank not found", zap.String("server", s.ID), zap.Error(err))
			}
			return nil // A rank that is not found is counted below.
		})
	}
	_ = all.Wait()
	own, err := p.own.State(ctx, rollout.StateOptions{})
	if err != nil {
		return nil, err
	}
	out := &members{
		ranks: make([]rollout.Rank, own.Size), remotes: make([]rollout.Peer, own.Size), addresses: make([]string, own.Size),
		self: own.Rank,
	}
	n := 0
	for i, s := range states {
		if s.Group != group || s.Rank >= own.Size || out.ranks[s.Rank] != nil {
			continue
		}
		out.ranks[s.Rank], out.addresses[s.Rank] = found[i], servers[i].Address
		if out.remotes[s.Rank], err = p.remote(servers[i].Address, codec); err != nil {
			return nil, err
		}
		n++
	}
	if n < own.Size || own.Size == 0 {
		return nil, merry.Wrap(&NoGroupError{Group: group, Found: n, Size: own.Size})
	}
	out.ranks[own.Rank] = p.agent
	return out, nil
}

// rank returns the access to the rank of the replica at an address.
func (p *rankProcess) rank(address string, codec *agent.Codec) rollout.Rank {
	direct := platform.NewRank(address, p.http)
	peer, err := agent.Address(address, p.set.PeerPort)
	if err != nil {
		return direct
	}
	return agent.NewFallback(agent.NewClient(peer, p.http, codec), direct)
}

// remote returns the access to a rank and to the process beside it.
func (p *rankProcess) remote(address string, codec *agent.Codec) (rollout.Peer, error) {
	peer, err := agent.Address(address, p.set.PeerPort)
	if err != nil {
		return nil, err
	}
	return agent.NewPeer(agent.NewClient(peer, p.http, codec), platform.NewRank(address, p.http)), nil
}
