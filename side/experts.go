package side

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/controller"
	"lavendermoor.example/expertmap/rankapi"
)

// ExpertSettings are the settings for the expert map of a group; this backend server is its rank 0.
type ExpertSettings struct {
	// Ranks are the URLs of the ranks, in rank order.
	Ranks []string `json:"ranks" validate:"min=1,max=64,dive,url"`
	// Slots is the number of expert slots of a rank in each layer.
	Slots int `json:"slots" validate:"min=1"`
	// Policy is the name of the placement policy; empty means "improve", the others are baselines.
	Policy string `json:"policy" validate:"omitempty,oneof=improve never once full longest_first"`
	// ExpertBytes is the size of one expert in one layer. BudgetBytes is the maximum number of bytes transferred for
	// one new map. 0 selects the default of package controller.
	ExpertBytes int64 `json:"expert_bytes" validate:"min=0"`
	BudgetBytes int64 `json:"budget_bytes" validate:"min=0"`
	// Poll is the interval between polls of the ranks, DecideEvery the number of polls per placement decision. 0
	// selects the default of package controller.
	Poll        settings.Duration `json:"poll" validate:"min=0"`
	DecideEvery int               `json:"decide_every" validate:"min=0"`
}

// ExpertMapRunner runs the controller of the group's expert map. Its methods are safe for concurrent use.
type ExpertMapRunner struct {
	server        string
	opts          controller.Options
	slots         int
	configuration Configuration
	running       atomic.Pointer[controller.Controller]
}

// rankTimeout limits a call to a rank. It is below the default poll interval, so that a rank that does not respond
// delays the controller by less than one interval.
const rankTimeout = 500 * time.Millisecond

// NewExpertMapRunner returns the controller of a server's group, or an error if a URL or the policy is not valid.
// Run starts the controller when the configuration contains the group.
func NewExpertMapRunner(
	server string, s ExpertSettings, c Configuration, store kv.Store, log *zap.Logger,
) (*ExpertMapRunner, error) {
	opts := controller.DefaultOptions()
	opts.Store, opts.Log = store, log
	var err error
	if opts.Policy, err = expertmap.PolicyByName(s.Policy); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: rankTimeout}
	for _, rank := range s.Ranks {
		u, err := url.Parse(rank)
		if err != nil {
			return nil, err
		}
		opts.Ranks = append(opts.Ranks, rankapi.NewClient(u, client))
	}
	if s.ExpertBytes > 0 {
		opts.Costs.ExpertBytes = s.ExpertBytes
	}
	if s.BudgetBytes > 0 {
		opts.Costs.BudgetBytes = s.BudgetBytes
	}
	if s.Poll > 0 {
		opts.PollInterval = s.Poll.D()
	}
	if s.DecideEvery > 0 {
		opts.PollsPerDecision = s.DecideEvery
	}
	return &ExpertMapRunner{server: server, opts: opts, slots: s.Slots, configuration: c}, nil
}

// configurationPollInterval is the interval at which Run checks whether the configuration contains the server's group.
const configurationPollInterval = 500 * time.Millisecond

// Run waits until the configuration contains the server's group and runs the controller until the context ends. It does
// not start the controller for a group of a dense model, or while the number of ranks in the configuration differs from
// the settings.
func (e *ExpertMapRunner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if opts, ok := e.options(e.configuration.State()); ok {
			c := controller.New(opts)
			e.running.Store(c)
			c.Run(ctx)
			return
		}
		select {
		case <-time.After(configurationPollInterval):
		case <-ctx.Done():
		}
	}
}

func (e *ExpertMapRunner) options(st *cluster.State) (controller.Options, bool) {
	if st == nil {
		return controller.Options{}, false
	}
	g := st.Group(st.Server(e.server).GetGroup())
	opts := e.opts
	opts.Group = g.GetName()
	opts.Shape = expertmap.Shape{
		Ranks: int(g.GetRanks()), Experts: int(g.GetExperts()), Layers: int(g.GetLayers()), Slots: e.slots,
	}
	return opts, opts.Shape.Ranks == len(opts.Ranks) && opts.Shape.Validate() == nil
}

// Slow reports whether the group has a persistently slow rank.
func (e *ExpertMapRunner) Slow() bool {
	c := e.running.Load()
	return c != nil && c.Slow()
}

// Dump returns the state dump of the controller, or nil before it has started.
func (e *ExpertMapRunner) Dump() *controller.Dump {
	c := e.running.Load()
	if c == nil {
		return nil
	}
	d := c.Dump()
	return &d
}
