package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// ExpertPart is the part of the work on tokens that all ranks share.
	ExpertPart float64
	// RateFactor multiplies the rate of the load.
	RateFactor float64
}

// state is the state of a run.
type state struct {
	load     Load
	rule     Rule
	opts     Options
	rng      *rand.Rand
	ranks    []*rank
	gateways []*gateway
	now      time.Duration
	last     report
	done     []*stream
	passes   passStats
}

type passStats struct {
	count     int
	time      time.Duration
	imbalance float64
}

// Run simulates a load with a rule.
func Run(l Load, rule Rule, o Options) Result {
	s := &state{load: l, rule: rule, opts: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(l.Gateways)))}
	// The arrivals have their own random numbers, so that every rule gets the same streams.
	arrivals := rand.New(rand.NewPCG(o.Seed, 0))
	for i := range l.Ranks {
		r := &rank{pace: 1, reading: map[*stream]int{}}
		if i == 0 {
			r.pace = l.SlowPace
		}
		s.ranks = append(s.ranks, r)
	}
	for i := range l.Gateways {
		g := newGateway(l.Ranks, model)
		g.domain = i % domains
		g.start = float64(i) / float64(l.Gateways)
		g.nextPoll = time.Duration(s.rng.Float64() * float64(l.PollInterval))
		if rule.RandomStarts {
			g.start = s.rng.Float64()
		}
		s.gateways = append(s.gateways, g)
	}
	next := s.interval(arrivals)
	for s.now < o.Duration {
		end := s.now + s.beginPass()
		for ; next < end; next += s.interval(arrivals) {
			s.arrive(l.newStream(arrivals, next))
		}
		s.now = end
		s.endPass()
	}
	return s.result()
}

func (s *state) interval(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / (s.load.Rate * max(s.opts.RateFactor, 0.01)) * float64(time.Second))
}

func (s *state) beginPass() time.Duration {
	work := make([]time.Duration, len(s.ranks))
	most, sum := 0, 0
	for i, r := range s.ranks {
		work[i] = r.begin()
		most, sum = max(most, len(r.running)), sum+len(r.running)
	}
	d := passTime(work, s.opts)
	s.passes.count++
	s.passes.time += d
	if sum > 0 {
		s.passes.imbalance += float64(most) * float64(len(s.ranks)) / float64(sum)
	}
	return d
}

func (s *state) arrive(x *stream) {
	g := s.gateways[x.gateway]
	s.poll(x.arrived)
	x.estimate = g.estimator.Estimate(x.request)
	g.waiting = append(g.waiting, x)
	s.dispatch(g, x.arrived)
}

// poll brings the reports up to date. The planner's report and the gateways' polls have intervals of their own.
func (s *state) poll(now time.Duration) {
	if now-s.last.at >= s.load.ReportInterval || s.last.streams == nil {
		s.last = report{streams: make([]int, len(s.ranks)), at: now}
		for i, r := range s.ranks {
			s.last.streams[i] = r.streams()
		}
	}
	for _, g := range s.gateways {
		if now >= g.nextPoll {
			g.apply(s.last)
			g.nextPoll = now + s.load.PollInterval
		}
	}
}

// dispatch sends the streams that wait at a gateway while its share of the slots lasts.
func (s *state) dispatch(g *gateway, now time.Duration) {
	limit := int(math.Ceil(float64(len(s.ranks)*Engine.Slots) * usableSlots / float64(len(s.gateways))))
	g.dropExpired(now, &s.done)
	for g.inFlight < limit && len(g.waiting) > 0 {
		x := g.take(s.rule.BySize, now)
		x.rank = g.choose(s.rng, s.rule, s.ranks, x.estimate.Amount, now)
		g.send(x, model)
		s.ranks[x.rank].waiting = append(s.ranks[x.rank].waiting, x)
	}
}

const (
	// usableSlots is the part of the slots that the gateways use together.
	usableSlots = 0.75
	// maxWait is the time after which a waiting stream is refused.
	maxWait = 300 * time.Millisecond
)

func (g *gateway) dropExpired(now time.Duration, done *[]*stream) {
	kept := g.waiting[:0]
	for _, x := range g.waiting {
		if now-x.arrived > maxWait {
			x.refused = true
			*done = append(*done, x)
			continue
		}
		kept = append(kept, x)
	}
	g.waiting = kept
}

// take removes the next waiting stream: the first, or the smallest unless the first has waited for maxOvertaken.
func (g *gateway) take(bySize bool, now time.Duration) *stream {
	next := 0
	if bySize && now-g.waiting[0].arrived < maxOvertaken {
		for i, x := range g.waiting {
			if x.estimate.Total() < g.waiting[next].estimate.Total() {
				next = i
			}
		}
	}
	x := g.waiting[next]
	g.waiting = append(g.waiting[:next:next], g.waiting[next+1:]...)
	return x
}

func (s *state) endPass() {
	for _, r := range s.ranks {
		for _, x := range r.end(s.now) {
			s.gateways[x.gateway].observe(x)
			if x.sent == x.events {
				s.done = append(s.done, x)
			}
		}
	}
	s.poll(s.now)
	for _, g := range s.gateways {
		s.dispatch(g, s.now)
	}
}
