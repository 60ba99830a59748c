package rollout

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap"
)

// Planner plans the expert maps of one group and rolls them out. Tick must be called from a single goroutine.
type Planner struct {
	settings Settings
	group    *Group
	demand   *Demand
	log      *zap.Logger

	epoch   int64
	current *expertmap.Map
	// next is the map being prepared. Its transfers should be complete at readyAt; it is abandoned at the deadline.
	next              *expertmap.Map
	version           int64
	readyAt, deadline time.Time
	// switching is set while ranks are armed for a pass that has not begun.
	switching                bool
	polledAt, countsPolledAt time.Time
	// plannedAt is the time of the last plan. A shift of demand that was detected later needs a plan at once.
	plannedAt time.Time
	// rebalancing is set from a shift of demand until a plan finds no better map.
	rebalancing bool
	// beforeSearch, unless nil, is called before the search for a better map. Tests in virtual time use it for the time of
	// the search.
	beforeSearch func()
}

// NewPlanner returns a planner that reads the current map from the ranks in its first ticks.
func NewPlanner(settings Settings, group *Group, log *zap.Logger) *Planner {
	return &Planner{
		settings: settings, group: group, demand: NewDemand(settings.Shape, settings.DemandTimeConstant), log: log,
	}
}

// Tick polls the ranks and continues with planning or switching. It fails with an *IncompleteError while the map of the
// group cannot be changed, with a *SwitchError, with a *RefusedError when another issuer has taken over, or with the
// error of a rank.
func (p *Planner) Tick(ctx context.Context, now time.Time) error {
	if p.group.fencedOff.Load() {
		return merry.Wrap(&RefusedError{Fenced: true, Detail: "another issuer has taken over"})
	}
	err := p.advance(ctx, now)
	if err != nil {
		p.polledAt = time.Time{} // The state of the ranks is not known.
	}
	return err
}

func (p *Planner) advance(ctx context.Context, now time.Time) error {
	if p.switching && now.Sub(p.polledAt) < p.settings.FullPollInterval && p.group.awaitsSwitchPass(ctx) {
		return nil
	}
	counts := now.Sub(p.countsPolledAt) >= time.Duration(countIntervalFraction*float64(p.settings.PollInterval))
	if p.isSteady(now) {
		if counts && p.group.PollCounts(ctx) {
			p.observe(now)
		}
		if p.demand.shiftedAt.After(p.plannedAt) {
			return p.plan(ctx, now)
		}
		return nil
	}
	p.polledAt = now
	if err := p.group.Poll(ctx, StateOptions{Counts: counts}); err != nil {
		p.next, p.switching = nil, false
		return err
	}
	if counts {
		p.observe(now)
	}
	if ready, err := p.synchronize(ctx); err != nil || !ready {
		return err
	}
	if p.next != nil {
		return p.trySwitch(ctx, now)
	}
	return p.plan(ctx, now)
}

// isSteady reports whether no map is being changed and the last poll of all ranks is recent, so that only the counts need
// to be polled.
func (p *Planner) isSteady(now time.Time) bool {
	return p.current != nil && p.next == nil && !p.switching &&
		now.Sub(p.polledAt) < p.settings.FullPollInterval-p.settings.PollInterval/2
}

// observe adds the polled counts to the estimate of the demand.
func (p *Planner) observe(now time.Time) {
	p.countsPolledAt = now
	before := p.demand.shiftedAt
	p.demand.Observe(p.group.States(), now)
	if p.demand.shiftedAt != before {
		p.log.Info("demand has shifted", zap.Int64("pass", p.group.States()[0].Pass))
	}
}

// countIntervalFraction is the fraction of the poll interval after which counts are polled again. It is below 1 to
// allow for ticks that come slightly early.
const countIntervalFraction = 0.8

// TickInterval returns the time between the start of one Tick and the start of the next.
func (p *Planner) TickInterval(now time.Time) time.Duration {
	changeInterval := min(
		changePollBaseInterval+time.Duration(p.settings.Shape.Ranks)*changePollIntervalPerRank, p.settings.PollInterval,
	)
	switch {
	case p.next != nil:
		return min(max(p.readyAt.Sub(now), changeInterval), p.settings.PollInterval)
	case p.switching:
		return min(switchPollInterval, p.settings.PollInterval)
	}
	return p.settings.PollInterval
}

// synchronize ensures that this process is the only issuer, that no switch is unfinished, and that the current map has
// been read. It returns false when a later tick has to continue.
func (p *Planner) synchronize(ctx context.Context) (bool, error) {
	previousFence := p.group.confirmedFence
	if err := p.group.Fence(ctx); err != nil {
		return false, err
	}
	if previousFence != p.group.confirmedFence {
		// An earlier issuer may have changed the state since the last poll.
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

// readCurrentMap reads the map in use from the ranks.
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
	p.log.Info("expert map in use read from the ranks", zap.Int64("version", version), zap.Int64("epoch", epoch))
	return nil
}

// mapFromExperts returns the map in which each rank holds the given experts, in order of layer and rank.
func mapFromExperts(version int64, s expertmap.Shape, experts [][][]uint16) (*expertmap.Map, error) {
	assign := make([]uint16, 0, s.Layers*s.Ranks*s.Slots)
	for _, layer := range experts {
		for _, held := range layer {
			if len(held) > s.Slots {
				return nil, merry.Wrap(&expertmap.SizeError{Argument: "experts of a rank", Expected: s.Slots, Got: len(held)})
			}
			assign = append(assign, held...)
			for range s.Slots - len(held) {
				assign = append(assign, expertmap.EmptySlot)
			}
		}
	}
	return expertmap.NewMap(version, s, assign)
}

// expertLists is the inverse of mapFromExperts.
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

// trySwitch switches to the next map if every rank has loaded it, and abandons the map after its deadline.
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
		return nil // The lease might expire during the switch.
	}
	next := p.next
	p.next = nil
	p.group.unbalanced = p.rebalancing
	if err := p.group.Switch(ctx, p.version); err != nil {
		return err
	}
	p.current, p.switching = next, true
	p.log.Info("expert map switched", zap.Int64("version", p.version))
	return nil
}

// plan starts preparing a better map if there is one.
func (p *Planner) plan(ctx context.Context, now time.Time) error {
	load, known := p.demand.Load()
	if !known {
		return nil
	}
	p.rebalancing = p.rebalancing || p.demand.shiftedAt.After(p.plannedAt)
	p.plannedAt = now
	if p.beforeSearch != nil {
		p.beforeSearch()
	}
	best, err := p.bestCandidate(load)
	if err != nil || best.plan.Map == nil {
		p.rebalancing = false
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
	p.next, p.version, p.readyAt = next, version, now.Add(best.transferTime)
	p.deadline = now.Add(transferTimeMargin*best.transferTime + p.settings.PrepareTimeout)
	p.log.Info("expert map planned", zap.Int64("version", version), zap.Int("loads", best.plan.Transfers),
		zap.Float64("before", best.plan.Before), zap.Float64("after", best.plan.After),
		zap.Duration("copying", best.transferTime))
	if p.group.Prepared(version) {
		return p.trySwitch(ctx, now)
	}
	return nil
}

// candidate is a plan with its cost and benefit.
type candidate struct {
	plan expertmap.Plan
	// transferTime is the time that the rank with the most new experts needs to transfer them.
	transferTime time.Duration
	// benefit is the time that the map saves within the horizon, minus the delay that the transfers cause.
	benefit time.Duration
}

// bestCandidate returns the candidate with the largest benefit among maps with different limits of transfers per rank.
// A map with more transfers takes effect later. The plan's Map is nil if no candidate is worthwhile.
func (p *Planner) bestCandidate(load *expertmap.ExpertLoad) (candidate, error) {
	var out candidate
	speeds := p.speeds()
	passTime := p.group.timing.passTime
	if p.rebalancing {
		// The known pass time is mostly that before the shift.
		imbalance := expertmap.PredictStepTiming(p.current, load, speeds).Imbalance()
		passTime = time.Duration(imbalance * float64(passTime))
	}
	slack := passSlack(passTime, p.settings.TargetGap)
	minGain := p.settings.MinGain + slack*slackGain
	search, err := expertmap.NewBoundedSearch(p.current, load, speeds, expertmap.TransferBounds{
		PerLayer: p.settings.MaxNewPerLayer, PerRank: 1,
		MinGainSeconds: (minTransferGain + slack*slackTransferGain) / float64(p.settings.Shape.Ranks),
	})
	if err != nil {
		return out, err
	}
	for rankTransfers := 1; rankTransfers <= maxRankTransfers; rankTransfers++ {
		plan, err := search.Improve()
		if err != nil {
			return out, err
		}
		if plan.Map != nil {
			c := p.evaluate(plan)
			if out.plan.Map != nil && c.benefit <= out.benefit {
				break // More transfers save less and less.
			}
			if gain := 1 - plan.After/plan.Before; gain >= minGain && c.benefit > out.benefit {
				out = c
			}
		}
		search.RaisePerRank(1)
	}
	return out, nil
}

// maxRankTransfers is the largest number of experts that a rank transfers for one map.
const maxRankTransfers = 6

const (
	// longPassFraction is the fraction of the target gap from which passes count as long.
	longPassFraction = 0.75
	// slackGain is the fraction of the pass time that a map must save in addition to MinGain when passSlack is 1. Passes
	// that are shorter than callers need bring no benefit, while transfers have a cost.
	slackGain = 0.25
	// minTransferGain is what each transfer must save, as a fraction of a rank's mean work in a layer.
	// slackTransferGain is what it must save in addition when passSlack is 1.
	minTransferGain   = 0.02
	slackTransferGain = 0.08
)

// passSlack returns by what fraction, 0 to 1, the mean pass time is below that of a long pass. It returns 0, as for a
// long pass, if either argument is 0, which means that it is unknown.
func passSlack(passTime, targetGap time.Duration) float64 {
	if passTime <= 0 || targetGap <= 0 {
		return 0
	}
	return max(1-float64(passTime)/(longPassFraction*float64(targetGap)), 0)
}

// evaluate returns the plan with its transfer time and benefit.
func (p *Planner) evaluate(plan expertmap.Plan) candidate {
	maxTransfers := 0
	for _, n := range expertmap.TransfersPerRank(p.current, plan.Map) {
		maxTransfers = max(maxTransfers, n)
	}
	c := candidate{plan: plan, transferTime: time.Duration(maxTransfers) * p.settings.ExpertTransferTime}
	gain := 1 - plan.After/plan.Before
	usefulTime := p.settings.Horizon - c.transferTime - switchDelay
	c.benefit = time.Duration(gain*float64(usefulTime) - transferSlowdown*float64(c.transferTime))
	return c
}

// speeds returns the relative speed of each rank, 1 for a rank that is not slow.
func (p *Planner) speeds() []float64 {
	out := make([]float64, len(p.group.States()))
	for i, s := range p.group.States() {
		out[i] = 1 / max(s.Pace, 1)
	}
	return out
}
