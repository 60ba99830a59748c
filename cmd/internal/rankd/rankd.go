// Package rankd assembles a rank sidecar, the process beside one model replica that is a rank of a group. The sidecar's
// agent gives the group's planner access to the replica. While the sidecar holds the group's lease, it also runs the
// planner.
package rankd

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/expertmap/rollout"
	"lavendermoor.example/expertmap/rollout/agent"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/orders"
	"lavendermoor.example/platform"
	"lavendermoor.example/telemetry"
)

const listenerShutdownTimeout = 300 * time.Millisecond

// rankSidecar holds the parts of a rank sidecar.
type rankSidecar struct {
	obs      *process.Observability
	settings Settings
	log      *zap.Logger
	store    *platform.Store
	http     *http.Client
	// config and servers are used by the planner only. It brings them up to date when it discovers the group.
	config, servers *mirror.Mirror
	replica         *platform.Rank
	agent           *agent.Agent
	// deputy ends the switches of unresponsive planners of the group.
	deputy *rollout.Deputy
	admin  *telemetry.Admin
	// leading is set while this sidecar runs the planner of its group.
	leading atomic.Bool
	// catalog is the newest configuration read, nil before the first one. The goroutine that runs the planner uses it.
	catalog *catalog.Catalog
	dump    atomic.Pointer[Dump]
}

// Dump is the state dump of a rank sidecar.
type Dump struct {
	Group string `json:"group"`
	// Leading is set while the sidecar holds the lease of the group and runs its planner.
	Leading bool `json:"leading"`
	// Fence is the fencing token of the lease, 0 if this sidecar does not hold it.
	Fence int64 `json:"fence"`
	// Epoch, Version and Pass are those of rank 0 at the last complete poll of the group.
	Epoch   int64 `json:"epoch"`
	Version int64 `json:"version"`
	Pass    int64 `json:"pass"`
	// Error is the error of the planner's last step, empty if that step succeeded.
	Error string `json:"error,omitempty"`
}

// Run runs a rank sidecar until the context ends. It applies changes of the settings file.
func Run(ctx context.Context, s Settings, file string, logs io.Writer) error {
	process.SetMemoryLimit(s.MemoryMB)
	out, stopLogs := telemetry.StartLogWriter(ctx, logs)
	defer stopLogs()
	p, err := newRankSidecar(s, out)
	if err != nil {
		return err
	}
	listeners, err := process.Listen(ctx, p.log, s.listen())
	if err != nil {
		return err
	}
	watching, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatch()
	go settings.Watch(watching, file, DefaultSettings, p.reload, p.log)
	group, serving := errgroup.WithContext(ctx)
	group.Go(func() error { return telemetry.Serve(serving, listeners[0], p.handler(), listenerShutdownTimeout) })
	group.Go(func() error { p.campaign(serving); return nil })
	p.log.Info("started", zap.Stringer("listen", listeners[0].Addr()), zap.String("replica", s.Replica))
	err = group.Wait()
	p.log.Info("stopped", zap.Error(err))
	return err
}

func newRankSidecar(s Settings, out *telemetry.BoundedWriter) (*rankSidecar, error) {
	obs, err := process.NewObservability(out, "rank", s.Name, s.LogLevel)
	if err != nil {
		return nil, err
	}
	observeCall, err := obs.RegisterPlatformMetrics(out)
	if err != nil {
		return nil, err
	}
	client := process.PeerClient(0)
	p := &rankSidecar{obs: obs, settings: s, log: obs.Log, http: client, store: platform.NewStore(s.Store, observeCall)}
	p.config = p.newMirror(platform.ConfigPrefix, platform.CheckConfig, nil)
	p.servers = p.newMirror(platform.ServersPrefix, platform.CheckServer, platform.KeepServer(func(service string) bool {
		return service == p.settings.Service
	}))
	p.replica = platform.NewRank(s.Replica, client)
	p.agent = agent.New(p.replica, p.log)
	p.deputy = p.newDeputy()
	p.agent.EnableDeputy(p.deputy)
	p.dump.Store(&Dump{})
	err = telemetry.RegisterInstruments(obs.Meter, []telemetry.Instrument{{
		Name: "lavendermoor.rank.map_version", Description: "Version of the group's expert map, at its planner.",
		Value: func() int64 { return p.dump.Load().Version },
	}, {
		Name: "lavendermoor.rank.takeovers", Counter: true,
		Description: "Switches of expert maps taken over from a silent planner.", Value: p.deputy.TakeOvers,
	}})
	p.admin = obs.Admin(func() any { return p.dump.Load() }, func() bool { return true })
	return p, err
}

// newMirror returns a mirror that only its Update brings up to date.
func (p *rankSidecar) newMirror(prefix string, check mirror.CheckFunc, keep mirror.KeepFunc) *mirror.Mirror {
	return mirror.New(mirror.Options{Source: p.store, Prefix: prefix, Check: check, Keep: keep, Log: p.log})
}

// reload applies the settings that can change while the process runs. Changes of the others, such as the addresses,
// need a restart.
func (p *rankSidecar) reload(s Settings) {
	p.obs.SetLogLevel(s.LogLevel)
	process.SetMemoryLimit(s.MemoryMB)
}

func (p *rankSidecar) handler() http.Handler {
	r := mux.NewRouter()
	p.agent.Register(r)
	r.PathPrefix("/").Handler(p.admin.Handler())
	return r
}

// leaseSettings returns short durations, so that another sidecar soon takes over the planning when a planner has died. A
// group that was in the middle of a switch is held until then.
func leaseSettings() orders.LeaseSettings {
	return orders.LeaseSettings{TTL: 3 * time.Second, Margin: 500 * time.Millisecond}
}

const (
	renewInterval = 600 * time.Millisecond
	retryDelay    = 500 * time.Millisecond
	// candidateRanks is the number of ranks whose sidecars try to acquire the lease whenever it may have expired.
	candidateRanks = 4
	// The sidecars of the other ranks try less often the more ranks there are: all of them together make about one call
	// per standbyPerRank. Random waits spread their attempts, so that one takes over soon even if all candidates have
	// failed.
	minStandbyWait = 12 * time.Second
	standbyPerRank = 750 * time.Millisecond
)

// standbyWait returns the mean time between two attempts to acquire the lease by the sidecar of a rank that is no
// candidate.
func standbyWait(ranks int) time.Duration {
	return max(minStandbyWait, time.Duration(ranks)*standbyPerRank)
}

// campaign tries to acquire the lease of the replica's group, and runs the planner while it holds the lease.
func (p *rankSidecar) campaign(ctx context.Context) {
	var lease *orders.Lease
	group := ""
	for ctx.Err() == nil {
		s, err := p.ownState(ctx)
		if err != nil || s.Group == "" {
			process.Sleep(ctx, retryDelay)
			continue
		}
		if s.Group != group {
			group = s.Group
			// The name and IP of the instance identify the holder: an instance runs one rank sidecar, and a restarted one
			// may acquire the lease of its predecessor immediately.
			lease = orders.NewLease(p.store, "rank/"+group, p.settings.Name+"@"+p.settings.IP, leaseSettings())
		}
		if wait := p.acquire(ctx, lease, s); wait > 0 {
			process.Sleep(ctx, wait)
			continue
		}
		p.lead(ctx, lease, group)
	}
}

// acquire acquires the lease and returns 0, or returns how long to wait before the next attempt.
func (p *rankSidecar) acquire(ctx context.Context, lease *orders.Lease, own rollout.State) time.Duration {
	err := lease.Acquire(ctx)
	if err == nil {
		return 0
	}
	if wait, held := leaseHeldFor(err); held {
		wait = max(wait, 20*time.Millisecond)
		if own.Rank >= candidateRanks {
			standby := standbyWait(own.Size)
			wait = max(wait, standby/2+rand.N(standby))
		}
		return wait
	}
	p.log.Debug("lease not acquired", zap.Error(err))
	return retryDelay
}
