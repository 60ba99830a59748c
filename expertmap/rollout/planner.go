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
	// MaxNew is the number of experts of one layer that a rank can take over with one map.
	MaxNew int
	// CopyTime is the time that a rank needs to load one expert of one layer.
	CopyTime time.Duration
	// Memory is that of the estimate of demand.
	Memory time.Duration
	// Horizon is the time for which a map is expected to be of use.
	Horizon time.Duration
	// MinGain is the part of a pass that a map has to save while passes are long. Shorter passes have to gain more.
	MinGain float64
	// PauseAim is the longest pause between two events for which callers' answers are on time; 0 if it is not known.
	PauseAim time.Duration
	// Every is the time between two polls of the counts.
	Every time.Duration
	// LeaseLeft returns for how long the lease of the issuer lasts; nil for ever.
	LeaseLeft func() time.Duration
	// PrepareTimeout is the time beyond that of copying after which a map that is not loaded everywhere is given up.
	PrepareTimeout time.Duration
}

// DefaultSettings returns the usual settings for a shape.
func DefaultSettings(s expertmap.Shape, maxNew int, copyTime time.Duration) Settings {
	return Settings{
		Shape: s, MaxNew: maxNew, CopyTime: copyTime, Memory: 700 * time.Millisecond, Horizon: time.Second,
		MinGain: 0.03, PrepareTimeout: 400 * time.Millisecond,
		Every: pollEvery + time.Duration(s.Ranks)*pollPerRank,
	}
}

const (
	// pollEvery is the time between two polls of the counts and pollPerRank what each rank adds, because a poll costs the
	// planner's processor and link in proportion.
	pollEvery   = 110 * time.Millisecond
	pollPerRank = 3 * time.Millisecond
	// stepEvery and stepPerRank are the time between two looks at a change of the map that is under way. They ask for no
	// counts and cost less.
	stepEvery   = 40 * time.Millisecond
	stepPerRank = 700 * time.Microsecond
	// copySlowdown is how much longer passes take while a rank copies experts.
	copySlowdown = 0.15
	// switchTime is about the time from the last copy to the pass of the switch.
	switchTime = 150 * time.Millisecond
	// minLease is the time that the lease must last for a switch to begin.
	minLease = time.Second
	// copyMargin is how much longer copies may take than planned before a map is given up.
	copyMargin = 2
)

// Planner decides on the maps of one group and brings them into force. Tick is called by one goroutine.
type Planner struct {
	set    Settings
	group  *Group
	demand *Demand
	log    *zap.Logger

	epoch   int64
	current *expertmap.Map
	// next is being prepared: its copies should end at ready, and it is given up at the deadline.
	next            *expertmap.Map
	version         int64
	ready, deadline time.Time
	// switching says that ranks are armed for a pass that has not begun.
	switching bool
	// counted is when the counts were last polled.
	counted time.Time
}

// NewPlanner returns a planner that knows no map yet.
func NewPlanner(set Settings, group *Group, log *zap.Logger) *Planner {
	return &Planner{set: set, group: group, demand: NewDemand(set.Shape, set.Memory), log: log}
}

// Tick polls the ranks and takes the next step. It fails with an *IncompleteError while the group cannot change its map,
// a *SwitchError, a *RefusedError when another issuer has taken over, or the error of a rank.
func (p *Planner) Tick(ctx context.Context, now time.Time) error {
	if p.group.superseded.Load() {
		return merry.Wrap(&RefusedError{Fenced: true, Detail: "another issuer has taken over"})
	}
	counts := now.Sub(p.counted) >= time.Duration(countShare*float64(p.set.Every))
	if err := p.group.Poll(ctx, Want{Counts: counts}); err != nil {
		p.next, p.switching = nil, false
		return err
	}
	if counts {
		p.counted = now
	}
	states := p.group.States()
	p.demand.Observe(states, now)
	if settled, err := p.settle(ctx); err != nil || !settled {
		return err
	}
	if p.next != nil {
		return p.advance(ctx, now)
	}
	return p.plan(ctx, now)
}

// countShare of the time between two polls of the counts may have passed for them to be polled again.
const countShare = 0.8

// Wait returns how long to wait from the begin of one Tick to that of the next.
func (p *Planner) Wait(now time.Time) time.Duration {
	step := min(stepEvery+time.Duration(p.set.Shape.Ranks)*stepPerRank, p.set.Every)
	switch {
	case p.next != nil:
		return min(max(p.ready.Sub(now), step), p.set.Every)
	case p.switching:
		return step
	}
	return p.set.Every
}

// settle makes sure that this process is the only issuer, that no switch is unfinished, and that the map in use is
// known. It returns false when a later tick has to go on.
func (p *Planner) settle(ctx context.Context) (bool, error) {
	fenced := p.group.fenced
	if err := p.group.Fence(ctx); err != nil {
		return false, err
	}
	if fenced != p.group.fenced {
		// What was polled before may have been changed by an earlier issuer since.
		p.current, p.next = nil, nil
		if err := p.group.Poll(ctx, Want{}); err != nil {
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
		if p.group.unclear() {
			return false, nil
		}
		return false, p.group.Resolve(ctx)
	}
	if p.current != nil && states[0].Epoch == p.epoch && p.current.Version == states[0].Version {
		return true, nil
	}
	return true, p.learn(ctx)
}

// learn reads the map in use from the ranks.
func (p *Planner) learn(ctx context.Context) error {
	p.current, p.next = nil, nil
	version, epoch := p.group.States()[0].Version, p.group.epoch
	content, err := p.group.Content(ctx)
	if err != nil {
		return err
	}
	m, err := fromContent(version, p.set.Shape, content)
	if err != nil {
		return err
	}
	p.current, p.epoch = m, epoch
	p.log.Info("expert map in use learned", zap.Int64("version", version), zap.Int64("epoch", epoch))
	return nil
}

// fromContent returns the map with a content by layer and rank.
func fromContent(version int64, s expertmap.Shape, content [][][]uint16) (*expertmap.Map, error) {
	assign := make([]uint16, 0, s.Layers*s.Ranks*s.Slots)
	for _, ranks := range content {
		for _, experts := range ranks {
			if len(experts) > s.Slots {
				return nil, merry.Wrap(&expertmap.SizeError{What: "experts of a rank", Want: s.Slots, Got: len(experts)})
			}
			assign = append(assign, experts...)
			for range s.Slots - len(experts) {
				assign = append(assign, expertmap.Empty)
			}
		}
	}
	return expertmap.NewMap(version, s, assign)
}

// toContent is the opposite of fromContent.
func toContent(m *expertmap.Map) [][][]uint16 {
	out := make([][][]uint16, m.Shape.Layers)
	for l := range out {
		out[l] = make([][]uint16, m.Shape.Ranks)
		for r := range out[l] {
			for _, e := range m.Slots(l, r) {
				if e != expertmap.Empty {
					out[l][r] = append(out[l][r], e)
				}
			}
		}
	}
	return out
}

// advance switches to the map that is prepared, or gives it up when that takes too long.
func (p *Planner) advance(ctx context.Context, now time.Time) error {
	if !p.group.Prepared(p.version) {
		if now.After(p.deadline) {
			p.log.Warn("expert map given up: not every rank has loaded it", zap.Int64("version", p.version))
			p.next = nil
		}
		return nil
	}
	if !p.group.answers(ctx) {
		if now.After(p.deadline) {
			p.log.Info("expert map given up: orders get no answers", zap.Int64("version", p.version))
			p.next = nil
		}
		return nil
	}
	if left := p.set.LeaseLeft; left != nil && left() < minLease {
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
	best, err := p.best(load)
	if err != nil || best.plan.Map == nil {
		return err
	}
	content := toContent(best.plan.Map)
	version, err := p.group.Prepare(ctx, content)
	if err != nil {
		return err
	}
	next, err := fromContent(version, p.set.Shape, content)
	if err != nil {
		return err
	}
	p.next, p.version, p.ready = next, version, now.Add(best.copying)
	p.deadline = now.Add(copyMargin*best.copying + p.set.PrepareTimeout)
	p.log.Info("expert map planned", zap.Int64("version", version), zap.Int("loads", best.plan.Loads),
		zap.Float64("before", best.plan.Before), zap.Float64("after", best.plan.After),
		zap.Duration("copying", best.copying))
	return nil
}

// candidate is a plan with its worth.
type candidate struct {
	plan expertmap.Plan
	// copying is the time that the rank with the most new experts needs to load them.
	copying time.Duration
	// worth is the time saved over the horizon, less what copying costs.
	worth time.Duration
}

// best compares maps with few and many new experts: the more a map changes, the later it is in force.
func (p *Planner) best(load *expertmap.Load) (candidate, error) {
	var out candidate
	speeds := p.speeds()
	slack := slackOf(p.group.timing.each, p.set.PauseAim)
	least := p.set.MinGain + slack*idleGain
	for most := 1; most <= maxRankLoads; most++ {
		plan, err := expertmap.Relieve(p.current, load, speeds, expertmap.Bounds{
			LayerNew: p.set.MaxNew, RankNew: most, LoadSeconds: (busyLoadGain + slack*idleLoadGain) / float64(p.set.Shape.Ranks),
		})
		if err != nil {
			return out, err
		}
		if plan.Map == nil {
			continue
		}
		c := p.judge(plan)
		if gain := 1 - plan.After/plan.Before; gain >= least && c.worth > out.worth {
			out = c
		}
	}
	return out, nil
}

// maxRankLoads is the most experts that a rank loads for one map.
const maxRankLoads = 6

const (
	// busyPass is the share of the aim for pauses from which passes count as long.
	busyPass = 0.75
	// idleGain is what a map has to save in addition when passes take no time: nobody gains by passes that are shorter than
	// callers need, and loading experts has its price.
	idleGain = 0.25
	// busyLoadGain is what one loaded expert has to save, as a part of the mean work of a rank in a layer, and idleLoadGain what it has
	// to save in addition when passes take no time.
	busyLoadGain = 0.02
	idleLoadGain = 0.08
)

// slackOf returns by how much passes are shorter than those that count as long, 0 to 1, given the mean time of a pass and the aim for
// pauses. Without either of them passes count as long.
func slackOf(pass, aim time.Duration) float64 {
	if pass <= 0 || aim <= 0 {
		return 0
	}
	return max(1-float64(pass)/(busyPass*float64(aim)), 0)
}

func (p *Planner) judge(plan expertmap.Plan) candidate {
	most := 0
	for _, n := range expertmap.Loads(p.current, plan.Map) {
		most = max(most, n)
	}
	c := candidate{plan: plan, copying: time.Duration(most) * p.set.CopyTime}
	gain := 1 - plan.After/plan.Before
	inForce := p.set.Horizon - c.copying - switchTime
	c.worth = time.Duration(gain*float64(inForce) - copySlowdown*float64(c.copying))
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
