package rankd

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/orders"
	"lavendermoor.example/platform"
)

func heldFor(err error) (time.Duration, bool) {
	var held *orders.HeldError
	if errors.As(err, &held) {
		return held.Wait, true
	}
	return 0, false
}

// lead plans for a group while the lease is held.
func (p *process) lead(ctx context.Context, lease *orders.Lease, group string) {
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
func (p *process) release(lease *orders.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		p.log.Info("lease not released; it runs out", zap.Error(err))
	}
}

// renew extends the lease until it is lost.
func (p *process) renew(ctx context.Context, lost func(), lease *orders.Lease) {
	for {
		daemon.Pause(ctx, renewEvery)
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

// plan runs a planner for the ranks of the group. The ranks are found anew whenever the group is incomplete.
func (p *process) plan(ctx context.Context, lease *orders.Lease, group string) {
	var planner *rollout.Planner
	var ranks *rollout.Group
	var notices *announcer
	for ctx.Err() == nil {
		if planner == nil {
			var err error
			var addresses []string
			if planner, ranks, addresses, err = p.discover(ctx, lease, group); err != nil {
				p.log.Info("ranks of the group not found", zap.Error(err))
				daemon.Pause(ctx, retryPause)
				continue
			}
			notices = &announcer{process: p, group: group, lease: lease, addresses: addresses}
		}
		started := time.Now()
		// A switch that has begun is ended also when the lease or the process ends: the group stands still until then.
		err := planner.Tick(context.WithoutCancel(ctx), started)
		p.report(group, lease, ranks, err)
		notices.tell(ctx, ranks.States(), time.Now())
		if p.mustRediscover(err) {
			planner = nil
			daemon.Pause(ctx, retryPause)
			continue
		}
		// At least a third of the time is left to the other work of the instance.
		wait := planner.Wait(time.Now())
		daemon.Pause(ctx, max(wait-time.Since(started), wait/3))
	}
}

func (p *process) mustRediscover(err error) bool {
	var incomplete *rollout.IncompleteError
	return errors.As(err, &incomplete)
}

func (p *process) report(group string, lease *orders.Lease, ranks *rollout.Group, err error) {
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
func (p *process) discover(
	ctx context.Context, lease *orders.Lease, group string,
) (planner *rollout.Planner, g *rollout.Group, addresses []string, err error) {
	engine, err := p.engine(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	servers, err := p.servers(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	ranks, addresses, self, err := p.ranks(ctx, servers, group)
	if err != nil {
		return nil, nil, nil, err
	}
	g = rollout.NewGroup(ranks, self, lease.Check, p.log)
	shape := expertmap.Shape{Ranks: len(ranks), Experts: engine.Experts, Layers: engine.Layers, Slots: engine.Places}
	if err := shape.Validate(); err != nil {
		return nil, nil, nil, err
	}
	copyTime := time.Duration(float64(engine.ExpertBytes) / engine.CopyBytesPerSecond * float64(time.Second))
	set := rollout.DefaultSettings(shape, engine.MaxNew, copyTime)
	set.LeaseLeft = lease.Left
	return rollout.NewPlanner(set, g, p.log), g, addresses, nil
}

// NoEngineError says that the configuration has no engine with expert maps for the service.
type NoEngineError struct{ Service string }

func (e *NoEngineError) Error() string {
	return "service " + e.Service + " has no engine with expert maps"
}

func (p *process) engine(ctx context.Context) (*catalog.Engine, error) {
	entries, err := p.read(ctx, platform.ConfigPrefix)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeCatalog(entries)
	if err != nil {
		return nil, err
	}
	s := c.Service(p.set.Service)
	if s == nil || s.Engine == nil || s.Engine.Layers == 0 {
		return nil, merry.Wrap(&NoEngineError{Service: p.set.Service})
	}
	return s.Engine, nil
}

func (p *process) servers(ctx context.Context) ([]catalog.Server, error) {
	entries, err := p.read(ctx, platform.ServersPrefix)
	if err != nil {
		return nil, err
	}
	all, _ := platform.DecodeServers(entries) // Entries that can't be read name no server.
	var out []catalog.Server
	for _, s := range all {
		if s.Service == p.set.Service {
			out = append(out, s)
		}
	}
	return out, nil
}

func (p *process) read(ctx context.Context, prefix string) (map[string]kv.Entry, error) {
	entries, _, err := p.store.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		out[e.Key] = e
	}
	return out, nil
}

const (
	// discoverCalls bounds the servers that are asked for their rank at once.
	discoverCalls   = 16
	discoverTimeout = time.Second
)

// ranks returns the access to each rank of the group and the address of its replica, in order of rank, and the index of
// this process's own.
func (p *process) ranks(
	ctx context.Context, servers []catalog.Server, group string,
) (out []rollout.Rank, addresses []string, self int, err error) {
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
			if states[i], err = found[i].State(callCtx, rollout.Want{}); err != nil {
				p.log.Debug("rank not found", zap.String("server", s.ID), zap.Error(err))
			}
			return nil // A rank that is not found is counted below.
		})
	}
	_ = all.Wait()
	own, err := p.own.State(ctx, rollout.Want{})
	if err != nil {
		return nil, nil, 0, err
	}
	out, addresses = make([]rollout.Rank, own.Size), make([]string, own.Size)
	n := 0
	for i, s := range states {
		if s.Group == group && s.Rank < len(out) && out[s.Rank] == nil {
			out[s.Rank], addresses[s.Rank] = found[i], servers[i].Address
			n++
		}
	}
	if n < own.Size || own.Size == 0 {
		return nil, nil, 0, merry.Wrap(&NoGroupError{Group: group, Found: n, Size: own.Size})
	}
	out[own.Rank] = p.agent
	return out, addresses, own.Rank, nil
}

// rank returns the access to the rank of the replica at an address.
func (p *process) rank(address string, codec *agent.Codec) rollout.Rank {
	direct := platform.NewRank(address, p.http)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return direct
	}
	peer := agent.NewClient(net.JoinHostPort(host, strconv.Itoa(p.set.PeerPort)), p.http, codec)
	return agent.NewFallback(peer, direct)
}
