// Package controller decides on the expert maps of one group. It runs in the sidecar of the group's rank 0 server. Any
// number of controllers may run concurrently: each version is published in the key-value service before it is offered
// to a rank, so that a second or delayed controller can only offer the published map.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rankapi"
)

// Rank provides access to one rank; *rankapi.Client implements it.
type Rank interface {
	Offer(ctx context.Context, o rankapi.Offer) (rankapi.Status, error)
	Status(ctx context.Context, experts bool) (rankapi.Status, error)
}

// Options are the dependencies and settings of a Controller.
type Options struct {
	Group string
	Shape expertmap.Shape
	Store kv.Store
	Ranks []Rank
	// Policy decides on the next map.
	Policy expertmap.Policy
	// Costs are passed to the policy. LifetimeSteps is the initial estimate of a map's lifetime.
	Costs expertmap.Costs
	// PollInterval is the delay between two polls of the ranks.
	PollInterval time.Duration
	// PollsPerDecision is the number of polls from one decision to the next.
	PollsPerDecision int
	// AveragingSteps is the time constant, in steps, of the average of the expert load.
	AveragingSteps float64
	// Stragglers configures the detection of slow ranks. The steps in these settings are polls.
	Stragglers expertmap.StragglerSettings
	// SlowPolls is the number of polls with a remaining straggler, minus those without, after which the group is slow.
	SlowPolls int
	Log       *zap.Logger
}

// DefaultOptions returns the default settings. The dependencies must be filled in.
func DefaultOptions() Options {
	return Options{
		Policy: expertmap.Improve,
		Costs: expertmap.Costs{
			ExpertBytes: 44 << 20, BudgetBytes: 64 << 30, TransferSeconds: 20e-6, SwitchSeconds: 0.05, LifetimeSteps: 2000,
		},
		PollInterval: time.Second, PollsPerDecision: 15, AveragingSteps: 100, SlowPolls: 15,
		Stragglers: expertmap.StragglerSettings{Weight: 0.3, SlowRatio: 1.15, NormalRatio: 1.08, MaxRatio: 4, MinSteps: 3},
	}
}

// Dump is the state dump of a controller.
type Dump struct {
	Group string `json:"group"`
	// Newest is the highest version that the controller has read or published. Active is the lowest version in use.
	Newest int64 `json:"newest"`
	Active int64 `json:"active"`
	// Missing is the number of ranks that did not respond to the last poll.
	Missing   int   `json:"missing"`
	SlowRanks []int `json:"slow_ranks,omitempty"`
	Slow      bool  `json:"slow"`
	// Decisions counts the calls of the policy, Maps those that led to a new map, and Bytes the size of the transfers
	// for these maps.
	Decisions     int64   `json:"decisions"`
	Maps          int64   `json:"maps"`
	Bytes         int64   `json:"bytes"`
	LifetimeSteps float64 `json:"life_steps"`
	LastError     string  `json:"last_error,omitempty"`
}

// Controller decides on one group's maps. Tick must be called from one goroutine; Slow and Dump are safe for concurrent
// use.
type Controller struct {
	opts     Options
	records  records
	estimate *loadEstimate
	// maps holds, by version, up to keptMaps maps that this controller has read or published; newest is the highest one.
	maps   map[int64]*expertmap.Map
	newest int64
	// recordsRead is false while the published versions have to be read from the key-value service.
	recordsRead bool
	polls       int
	// steps counts the steps of rank 0. newestDecidedAt is its value when the newest map was published or read.
	steps, newestDecidedAt int64
	// stragglerPolls counts up to SlowPolls in polls with a remaining straggler, and down to 0 in those without one.
	stragglerPolls int

	mu   sync.Mutex
	dump Dump
}

// New returns a controller without maps.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, records: records{store: opts.Store, group: opts.Group},
		estimate: newLoadEstimate(opts.Shape, opts.AveragingSteps, opts.Stragglers),
		maps:     map[int64]*expertmap.Map{}, dump: Dump{Group: opts.Group, LifetimeSteps: opts.Costs.LifetimeSteps},
	}
}

// Slow reports whether a slow rank still delays the steps of the group after SlowPolls polls, because no work was moved
// off it or moving work off it was not enough.
func (c *Controller) Slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dump.Slow
}

// Dump returns the current state.
func (c *Controller) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dump
}

func (c *Controller) updateDump(fn func(d *Dump)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.dump)
}

// Run calls Tick, with a delay of PollInterval after each call, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.Tick(ctx)
		text := ""
		if err != nil && ctx.Err() == nil {
			text = err.Error()
			c.opts.Log.Warn("expert map controller failed; retrying at the next poll", zap.String("group", c.opts.Group), zap.Error(err))
		}
		c.updateDump(func(d *Dump) { d.LastError = text })
		select {
		case <-time.After(c.opts.PollInterval):
		case <-ctx.Done():
		}
	}
}

// Tick polls the ranks, offers published maps to ranks that lack them, and decides on a new map at most once in
// PollsPerDecision calls. It fails with errors of the key-value service, a *RecordError or an error of package
// expertmap. Without the service, it still polls the ranks, offers the maps that it has in memory and updates its load
// estimate.
func (c *Controller) Tick(ctx context.Context) error {
	c.polls++
	experts := c.polls%c.opts.PollsPerDecision == 0
	statuses, complete := c.poll(ctx, experts)
	err := c.syncRecords(ctx, statuses)
	c.offer(ctx, statuses)
	if !complete {
		return err
	}
	if observeErr := c.observe(statuses, experts); observeErr != nil {
		return observeErr
	}
	if err != nil {
		return err
	}
	if c.newest == 0 {
		return c.decideFirst(ctx)
	}
	if experts && settled(statuses, c.newest) {
		return c.decide(ctx)
	}
	return nil
}

// poll returns the status of each rank, with Rank -1 for a rank that does not respond, and whether all ranks responded.
// If experts is set, the statuses include the token counts of the experts.
func (c *Controller) poll(ctx context.Context, experts bool) ([]rankapi.Status, bool) {
	statuses := make([]rankapi.Status, len(c.opts.Ranks))
	responded := make([]bool, len(c.opts.Ranks))
	var calls errgroup.Group
	for i, rank := range c.opts.Ranks {
		calls.Go(func() error {
			s, err := rank.Status(ctx, experts)
			statuses[i], responded[i] = s, err == nil
			return nil // A rank that does not respond must not affect the others.
		})
	}
	_ = calls.Wait()
	missing := 0
	for i, ok := range responded {
		if !ok {
			missing++
			statuses[i] = rankapi.Status{Rank: -1}
		}
	}
	c.updateDump(func(d *Dump) {
		d.Missing = missing
		d.Active = lowestActive(statuses)
	})
	return statuses, missing == 0
}

func noResponse(s rankapi.Status) bool { return s.Rank < 0 }

func lowestActive(statuses []rankapi.Status) int64 {
	lowest := int64(-1)
	for _, s := range statuses {
		if !noResponse(s) && (lowest < 0 || s.Active < lowest) {
			lowest = s.Active
		}
	}
	return max(lowest, 0)
}

// settled reports whether every rank uses the newest map, so that no switch is in progress.
func settled(statuses []rankapi.Status, newest int64) bool {
	for _, s := range statuses {
		if noResponse(s) || s.Active != newest || s.HighestVersion != newest {
			return false
		}
	}
	return true
}

// syncRecords reads the published versions at the start, after another controller has published one, and when a rank
// has a higher version than this controller.
func (c *Controller) syncRecords(ctx context.Context, statuses []rankapi.Status) error {
	highest := int64(0)
	for _, s := range statuses {
		highest = max(highest, s.HighestVersion)
	}
	if c.recordsRead && highest <= c.newest {
		return nil
	}
	// Only the two newest versions are still stored with their map. Reading from there on, a restarted controller needs
	// one read instead of one for each page of old records.
	maps, err := c.records.mapsSince(ctx, max(c.newest+1, highest-1))
	if err != nil {
		return err
	}
	c.recordsRead = true
	for _, m := range maps {
		c.addMap(m)
	}
	return nil
}

// keptMaps is the number of published maps that a controller keeps in memory. Ranks accept versions in order and lag by
// only a few. A rank that lags by more receives no map until it restarts, and then receives the newest one.
const keptMaps = 16

func (c *Controller) addMap(m *expertmap.Map) {
	c.maps[m.Version] = m
	delete(c.maps, m.Version-keptMaps)
	if m.Version > c.newest {
		c.newest = m.Version
		c.newestDecidedAt = c.steps
		c.updateDump(func(d *Dump) { d.Newest = m.Version })
	}
}

// offer sends each rank the published maps that it lacks. A rank without a map starts with the newest one.
func (c *Controller) offer(ctx context.Context, statuses []rankapi.Status) {
	var calls errgroup.Group
	for i, s := range statuses {
		next := s.HighestVersion + 1
		if s.HighestVersion == 0 {
			next = c.newest
		}
		if noResponse(s) || next > c.newest {
			continue
		}
		calls.Go(func() error {
			c.offerFrom(ctx, c.opts.Ranks[i], next)
			return nil
		})
	}
	_ = calls.Wait()
}

// offerFrom offers the maps from version next on to one rank, in order, until the rank does not accept one.
func (c *Controller) offerFrom(ctx context.Context, rank Rank, next int64) {
	for ; next <= c.newest; next++ {
		m := c.maps[next]
		if m == nil {
			return
		}
		if _, err := rank.Offer(ctx, rankapi.Offer{Group: c.opts.Group, Map: m}); err != nil {
			c.opts.Log.Info("rank did not accept an expert map", zap.String("group", c.opts.Group),
				zap.Int64("version", next), zap.Error(err))
			return // Retried at the next poll.
		}
	}
}

// observe updates the estimate from the statuses of all ranks, which have the experts' token counts if experts is set.
func (c *Controller) observe(statuses []rankapi.Status, experts bool) error {
	c.steps += countersSince(statuses[0], c.estimate.lastStatus[0]).Steps
	complete, err := c.estimate.observeTimes(statuses)
	if err != nil {
		return merry.Wrap(err)
	}
	if m := c.maps[c.newest]; experts && m != nil && settled(statuses, c.newest) {
		c.estimate.observeExperts(m, statuses)
	}
	if complete {
		c.updateSlow()
	}
	return nil
}

// updateSlow sets the group's Slow flag.
func (c *Controller) updateSlow() {
	if c.estimate.stragglerRemains(c.opts.Stragglers.SlowRatio) {
		c.stragglerPolls = min(c.stragglerPolls+1, c.opts.SlowPolls)
	} else {
		c.stragglerPolls = max(c.stragglerPolls-1, 0)
	}
	slow := c.estimate.stragglers.Slow()
	c.updateDump(func(d *Dump) {
		d.SlowRanks = slow
		switch c.stragglerPolls {
		case c.opts.SlowPolls:
			d.Slow = true
		case 0:
			d.Slow = false
		}
	})
}

// decideFirst publishes the first map of a group, placed for an equal load on all experts.
func (c *Controller) decideFirst(ctx context.Context) error {
	load := expertmap.NewExpertLoad(c.opts.Shape)
	for i := range load.Seconds {
		load.Seconds[i] = 1
	}
	m, err := expertmap.Balanced(1, load, c.estimate.stragglers.Speeds())
	if err != nil {
		return merry.Wrap(err)
	}
	return c.publish(ctx, m)
}

// publish stores a map in the key-value service unless its version exists. The ranks receive the map at the next poll.
func (c *Controller) publish(ctx context.Context, m *expertmap.Map) error {
	stored, err := c.records.create(ctx, m)
	if err != nil {
		return err
	}
	if stored == nil || stored.Digest() != m.Digest() {
		c.recordsRead = false // Another controller has published this version, and perhaps later ones.
		return nil
	}
	c.addMap(stored)
	return nil
}

// lifetimeWeight is the weight of the lifetime of the latest replaced map in the moving average of lifetimes.
const lifetimeWeight = 0.3

func (c *Controller) decide(ctx context.Context) error {
	if !c.estimate.observed {
		return nil
	}
	costs := c.opts.Costs
	costs.LifetimeSteps = c.Dump().LifetimeSteps
	plan, err := c.opts.Policy(c.maps[c.newest], c.estimate.load(), c.estimate.stragglers.Speeds(), costs)
	c.updateDump(func(d *Dump) { d.Decisions++ })
	if err != nil || plan.Map == nil {
		return merry.Wrap(err)
	}
	lifetime := float64(c.steps - c.newestDecidedAt)
	previous := c.newest
	if err := c.publish(ctx, plan.Map); err != nil {
		return err
	}
	if c.newest != plan.Map.Version {
		return nil
	}
	c.updateDump(func(d *Dump) {
		d.Maps++
		d.Bytes += plan.Bytes
		d.LifetimeSteps += lifetimeWeight * (lifetime - d.LifetimeSteps)
	})
	c.opts.Log.Info("expert map decided", zap.String("group", c.opts.Group), zap.Int64("version", c.newest),
		zap.Int64("bytes", plan.Bytes), zap.Float64("before", plan.Before), zap.Float64("after", plan.After))
	return c.retire(ctx, previous-1)
}

// retire removes the map of a version that no rank uses any more: all ranks used a later version at the last decision.
func (c *Controller) retire(ctx context.Context, version int64) error {
	if version <= 0 {
		return nil
	}
	delete(c.maps, version)
	return c.records.clearMap(ctx, version)
}
