package rollout

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap"
)

// Settings decide when a new map is worth making.
type Settings struct {
	Shape expertmap.Shape
	// MaxNewExperts is the number of experts of one layer that a rank can take over with one map.
	MaxNewExperts int
	// ExpertLoadTime is the time that a rank needs to load one expert of one layer.
	ExpertLoadTime time.Duration
	// DemandTimeConstant is that of the estimate of demand.
	DemandTimeConstant time.Duration
	// Horizon is the time for which a map is expected to be of use.
	Horizon time.Duration
	// MinGain is the part of a pass that a map has to save while passes are long. Shorter passes have to gain more.
	MinGain float64
	// TargetGap is the longest pause between two events for which callers' answers are on time; 0 if it is not known.
	TargetGap time.Duration
	// PollInterval is the time between two polls of the counts.
	PollInterval time.Duration
	// LeaseRemaining returns for how long the lease of the issuer lasts; nil for ever.
	LeaseRemaining func() time.Duration
	// PrepareTimeout is the time beyond that of copying after which a map that is not loaded everywhere is given up.
	PrepareTimeout time.Duration
}

// DefaultSettings returns the usual settings for a shape.
func DefaultSettings(s expertmap.Shape, maxNew int, copyTime time.Duration) Settings {
	return Settings{
		Shape: s, MaxNewExperts: maxNew, ExpertLoadTime: copyTime, DemandTimeConstant: 700 * time.Millisecond, Horizon: time.Second,
		MinGain: 0.03, PrepareTimeout: 400 * time.Millisecond,
		PollInterval: pollBaseInterval + time.Duration(s.Ranks)*pollIntervalPerRank,
	}
}

const (
	// pollEvery is the time between two polls of the counts and pollPerRank what each rank adds, because a poll costs the
	// planner's processor and link in proportion.
	pollBaseInterval    = 110 * time.Millisecond
	pollIntervalPerRank = 3 * time.Millisecond
	// stepEvery and stepPerRank are the time between two looks at a change of the map that is under way. They ask for no
	// counts and cost less.
	stepBaseInterval    = 40 * time.Millisecond
	stepIntervalPerRank = 700 * time.Microsecond
	// copySlowdown is how much longer passes take while a rank copies experts.
	loadSlowdown = 0.15
	// switchTime is about the time from the last copy to the pass of the switch.
	switchDelay = 150 * time.Millisecond
	// minLease is the time that the lease must last for a switch to begin.
	minLeaseForSwitch = time.Second
	// copyMargin is how much longer copies may take than planned before a map is given up.
	loadTimeMargin = 2
)

// Planner decides on the maps of one group and brings them into force. Tick is called by one goroutine.
type Planner struct {
	settings Settings
	group    *Group
	demand   *Demand
	log      *zap.Logger

	epoch   int64
	current *expertmap.Map
	// next is being prepared: its copies should end at ready, and it is given up at the deadline.
	next              *expertmap.Map
	version           int64
	readyAt, deadline time.Time
	// switching says that ranks are armed for a pass that has not begun.
	switching bool
	// counted is when the counts were last polled.
	countsPolledAt time.Time
}

// NewPlanner returns a planner that knows no map yet.
func NewPlanner(settings Settings, group *Group, log *zap.Logger) *Planner {
	return &Planner{settings: settings, group: group, demand: NewDemand(settings.Shape, settings.DemandTimeConstant), log: log}
}

// Tick polls the ranks and takes the next step. It fails with an *IncompleteError while the group cannot change its map,
// a *SwitchError, a *RefusedError when another issuer has taken over, or the error of a rank.
func (p *Planner) Tick(ctx context.Context, now time.Time) error {
	if p.group.superseded.Load() {
		return merry.Wrap(&RefusedError{Fenced: true, Detail: "another issuer has taken over"})
	}
	counts := now.Sub(p.countsPolledAt) >= time.Duration(countIntervalShare*float64(p.settings.PollInterval))
	if err := p.group.Poll(ctx, StateOptions{Counts: counts}); err != nil {
		p.next, p.switching = nil, false
		return err
	}
	if counts {
		p.countsPolledAt = now
	}
	states := p.group.States()
	p.demand.Observe(states, now)
	if ready, err := p.synchronize(ctx); err != nil || !ready {
		return err
	}
	if p.next != nil {
		return p.trySwitch(ctx, now)
	}
	return p.plan(ctx, now)
}

// countShare of the time between two polls of the counts may have passed for them to be polled again.
const countIntervalShare = 0.8

// TickInterval returns how long to wait from the begin of one Tick to that of the next.
func (p *Planner) TickInterval(now time.Time) time.Duration {
	step := min(stepBaseInterval+time.Duration(p.settings.Shape.Ranks)*stepIntervalPerRank, p.settings.PollInterval)
	switch {
	case p.next != nil:
		return min(max(p.readyAt.Sub(now), step), p.settings.PollInterval)
	case p.switching:
		return step
	}
	return p.settings.PollInterval
}

// settle makes sure that this process is the only issuer, that no switch is unfinished, and that the map in use is
// known. It returns false when a later tick has to go on.
func (p *Planner) synchronize(ctx context.Context) (bool, error) {
	fenced := p.group.fenced
	if err := p.group.Fence(ctx); err != nil {
		return false, err
	}
	if fenced != p.group.fenced {
		// What was polled before may have been changed by an earlier issuer since.
		p.current, p.next = nil, nil
		if err := p.group.Poll(ctx, StateOptions{}); err != nil {
			return false, err
		}
	}
	states := p.group.States()
	p.switching = p.group.Switching()
	if p.switching {
		return false, nil
	}
	if p.group.Unfinished() {
		p.next = nil
		if p.group.statesOutdated() {
			return false, nil
		}
		return false, p.group.Resolve(ctx)
	}
	if p.current != nil && states[0].Epoch == p.epoch && p.current.Version == states[0].Version {
		return true, nil
	}
	return true, p.readCurrentMap(ctx)
}

// learn reads the map in use from the ranks.
func (p *Planner) readCurrentMap(ctx context.Context) error {
	p.current, p.next = nil, nil
	version, epoch := p.group.States()[0].Version, p.group.epoch
	experts, err := p.group.ExpertsInUse(ctx)
	if err != nil {
		return err
	}
	m, err := mapFromExperts(version, p.settings.Shape, experts)
	if err != nil {
		return err
	}
	p.current, p.epoch = m, epoch
	p.log.Info("expert map in use learned", zap.Int64("version", version), zap.Int64("epoch", epoch))
	return nil
}

// fromContent returns the map with a content by layer and rank.
func mapFromExperts(version int64, s expertmap.Shape, experts [][][]uint16) (*expertmap.Map, error) {
	assign := make([]uint16, 0, s.Layers*s.Ranks*s.Slots)
	for _, layer := range experts {
		for _, held := range layer {
			if len(held) > s.Slots {
				return nil, merry.Wrap(&expertmap.SizeError{Argument: "experts of a rank", Want: s.Slots, Got: len(held)})
			}
			assign = append(assign, held...)
			for range s.Slots - len(held) {
				assign = append(assign, expertmap.EmptySlot)
			}
		}
	}
	return expertmap.NewMap(version, s, assign)
}

// toContent is the opposite of fromContent.
func expertLists(m *expertmap.Map) [][][]uint16 {
	out := make([][][]uint16, m.Shape.Layers)
	for l := range out {
		out[l] = make([][]uint16, m.Shape.Ranks)
		for r := range out[l] {
			for _, e := range m.Slots(l, r) {
				if e != expertmap.EmptySlot {
					out[l][r] = append(out[l][r], e)
				}
			}
		}
	}
	return out
}

// advance switches to the map that is prepared, or gives it up when that takes too long.
func (p *Planner) trySwitch(ctx context.Context, now time.Time) error {
	if !p.group.Prepared(p.version) {
		if now.After(p.deadline) {
			p.log.Warn("expert map given up: not every rank has loaded it", zap.Int64("version", p.version))
			p.next = nil
		}
		return nil
	}
	if !p.group.probeOrders(ctx) {
		if now.After(p.deadline) {
			p.log.Info("expert map given up: orders get no answers", zap.Int64("version", p.version))
			p.next = nil
		}
		return nil
	}
	if remaining := p.settings.LeaseRemaining; remaining != nil && remaining() < minLeaseForSwitch {
		return nil // The switch might not end before the lease.
	}
	next := p.next
	p.next = nil
	if err := p.group.Switch(ctx, p.version); err != nil {
		return err
	}
	p.current, p.switching = next, true
	p.log.Info("expert map switched", zap.Int64("version", p.version))
	return nil
}

// plan prepares a better map if there is one.
func (p *Planner) plan(ctx context.Context, now time.Time) error {
	load, known := p.demand.Load()
	if !known {
		return nil
	}
	best, err := p.bestCandidate(load)
	if err != nil || best.plan.Map == nil {
		return err
	}
	experts := expertLists(best.plan.Map)
	version, err := p.group.Prepare(ctx, experts)
	if err != nil {
		return err
	}
	next, err := mapFromExperts(version, p.settings.Shape, experts)
	if err != nil {
		return err
	}
	p.next, p.version, p.readyAt = next, version, now.Add(best.loadTime)
	p.deadline = now.Add(loadTimeMargin*best.loadTime + p.settings.PrepareTimeout)
	p.log.Info("expert map planned", zap.Int64("version", version), zap.Int("loads", best.plan.Transfers),
		zap.Float64("before", best.plan.Before), zap.Float64("after", best.plan.After),
		zap.Duration("copying", best.loadTime))
	return nil
}

// candidate is a plan with its worth.
type candidate struct {
	plan expertmap.Plan
	// copying is the time that the rank with the most new experts needs to load them.
	loadTime time.Duration
	// worth is the time saved over the horizon, less what copying costs.
	benefit time.Duration
}

// best compares maps with few and many new experts: the more a map changes, the later it is in force.
func (p *Planner) bestCandidate(load *expertmap.ExpertLoad) (candidate, error) {
	var out candidate
	speeds := p.speeds()
	slack := passSlack(p.group.timing.passTime, p.settings.TargetGap)
	minGain := p.settings.MinGain + slack*slackGain
	for rankLoads := 1; rankLoads <= maxRankLoads; rankLoads++ {
		plan, err := expertmap.ImproveBounded(p.current, load, speeds, expertmap.TransferBounds{
			PerLayer: p.settings.MaxNewExperts, PerRank: rankLoads, MinGainSeconds: (minLoadGain + slack*slackLoadGain) / float64(p.settings.Shape.Ranks),
		})
		if err != nil {
			return out, err
		}
		if plan.Map == nil {
			continue
		}
		c := p.evaluate(plan)
		if gain := 1 - plan.After/plan.Before; gain >= minGain && c.benefit > out.benefit {
			out = c
		}
	}
	return out, nil
}

// maxRankLoads is the most experts that a rank loads for one map.
const maxRankLoads = 6

const (
	// busyPass is the share of the aim for pauses from which passes count as long.
	longPassShare = 0.75
	// idleGain is what a map has to save in addition when passes take no time: nobody gains by passes that are shorter than
	// callers need, and loading experts has its price.
	slackGain = 0.25
	// busyLoadGain is what one loaded expert has to save, as a part of the mean work of a rank in a layer, and idleLoadGain what it has
	// to save in addition when passes take no time.
	minLoadGain   = 0.02
	slackLoadGain = 0.08
)

// slackOf returns by how much passes are shorter than those that count as long, 0 to 1, given the mean time of a pass and the aim for
// pauses. Without either of them passes count as long.
func passSlack(passTime, targetGap time.Duration) float64 {
	if passTime <= 0 || targetGap <= 0 {
		return 0
	}
	return max(1-float64(passTime)/(longPassShare*float64(targetGap)), 0)
}

func (p *Planner) evaluate(plan expertmap.Plan) candidate {
	maxLoads := 0
	for _, n := range expertmap.TransfersPerRank(p.current, plan.Map) {
		maxLoads = max(maxLoads, n)
	}
	c := candidate{plan: plan, loadTime: time.Duration(maxLoads) * p.settings.ExpertLoadTime}
	gain := 1 - plan.After/plan.Before
	usefulTime := p.settings.Horizon - c.loadTime - switchDelay
	c.benefit = time.Duration(gain*float64(usefulTime) - loadSlowdown*float64(c.loadTime))
	return c
}

// speeds returns the speed of each rank, 1 for one that is not slow.
func (p *Planner) speeds() []float64 {
	out := make([]float64, len(p.group.States()))
	for i, s := range p.group.States() {
		out[i] = 1 / max(s.Pace, 1)
	}
	return out
}
