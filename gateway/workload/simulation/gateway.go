package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"lavendermoor.example/gateway/workload"
)

// report is what the planner reports of all ranks.
type report struct {
	streams []int
	at      time.Duration
}

// gateway is one decider with its view of the ranks.
type gateway struct {
	estimator *workload.Estimator
	// own holds the streams sent to each rank, announced their tokens as announced, left the work that is left of them.
	own       []int
	announced []float64
	left      []workload.Amount
	// others holds the streams of other gateways as last reported, at the time reportedAt.
	others     []float64
	reportedAt time.Duration
	nextPoll   time.Duration
	waiting    []*stream
	inFlight   int
	// start is where the gateway's own order of the ranks begins, as a fraction of their list.
	start float64
	// domain is the gateway's failure domain. Rank i is in domain i modulo domains.
	domain int
}

func newGateway(ranks int, m workload.Model) *gateway {
	return &gateway{
		estimator: workload.NewEstimator(m), own: make([]int, ranks), announced: make([]float64, ranks),
		left: make([]workload.Amount, ranks), others: make([]float64, ranks),
	}
}

// apply takes over a report. The gateway's own streams are subtracted.
func (g *gateway) apply(r report) {
	for i, n := range r.streams {
		g.others[i] = max(float64(n-g.own[i]), 0)
	}
	g.reportedAt = r.at
}

// fade returns what a report says of other gateways' streams at a rank, after the time since it was made. By then some
// of them have ended, and the others are spread over all ranks alike.
func fade(streams float64, age time.Duration) float64 {
	return streams * math.Exp(-float64(max(age, 0))/float64(fadeTime))
}

const domains = 3

// fadeTime is about the mean duration of a stream.
const fadeTime = 1200 * time.Millisecond

// load returns the gateway's view of a rank.
func (g *gateway) load(rank int, pace float64, now time.Duration, others bool) View {
	v := View{
		Streams: float64(g.own[rank]), Announced: g.announced[rank], Pace: pace, left: g.left[rank],
		load: workload.Load{Streams: g.own[rank], Unread: g.left[rank].Reading, Pace: pace, Slots: Engine.Slots},
	}
	if others {
		v.Others = fade(g.others[rank], now-g.reportedAt)
	}
	return v
}

func (g *gateway) send(s *stream, m workload.Model) {
	s.progress = workload.NewProgress(m, s.request, s.estimate, 0)
	g.add(s.rank, s.progress.Remaining(), 1)
	g.own[s.rank]++
	g.inFlight++
	g.announced[s.rank] += announcedCost(s.request)
}

func (g *gateway) add(rank int, a workload.Amount, sign time.Duration) {
	g.left[rank].Reading += sign * a.Reading
	g.left[rank].Generation += sign * a.Generation
}

// observe records an event of a stream.
func (g *gateway) observe(s *stream) {
	g.add(s.rank, s.progress.Event(), -1)
	if s.sent < s.events {
		return
	}
	g.add(s.rank, s.progress.Remaining(), -1)
	g.own[s.rank]--
	g.inFlight--
	g.announced[s.rank] -= announcedCost(s.request)
	g.estimator.Observe(s.request, s.progress.Output())
}

// announcedCost is what a stream counted for by its announced tokens, in tokens.
func announcedCost(r workload.Request) float64 {
	return float64(r.MaxTokens) + announcedPromptWeight*float64(r.PromptTokens)
}

const announcedPromptWeight = 0.05

// choose returns the rank with the lowest score among a random sample of them, or among all. If the rule takes the other
// gateways' streams second, these decide between the two ranks with the lowest scores.
func (g *gateway) choose(rng *rand.Rand, p Rule, ranks []*rank, w workload.Amount, now time.Duration) int {
	best, second := candidate{rank: -1}, candidate{rank: -1}
	consider := func(i int) {
		v := g.load(i, ranks[i].pace, now, p.Others)
		if p.Ordered {
			v.load.Place = workload.Place(float64(i)/float64(len(ranks)), g.start)
		}
		score := p.Score(v, w) + rng.Float64()*p.TieBreak
		if i%domains != g.domain {
			score += p.RemotePenalty
		}
		c := candidate{i, score}
		switch {
		case best.rank < 0 || c.score < best.score:
			best, second = c, best
		case second.rank < 0 || c.score < second.score:
			second = c
		}
	}
	if p.Sample == 0 {
		for i := range ranks {
			consider(i)
		}
	}
	for range p.Sample {
		consider(rng.IntN(len(ranks)))
	}
	if p.OthersSecond && second.score-best.score < similar && g.others[second.rank] < g.others[best.rank] {
		return second.rank
	}
	return best.rank
}

// candidate is a rank with its score.
type candidate struct {
	rank  int
	score float64
}

// similar is the difference of two scores up to which the streams of other gateways decide.
const similar = 0.03
