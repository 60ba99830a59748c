// Package simulation compares rules for the choice of a rank in virtual time: gateways that know their own streams at
// once and those of the others only from reports, and a group of ranks that run each pass together.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/workload"
)

// Load is a named load.
type Load struct {
	Name            string
	Gateways, Ranks int
	// Rate is the number of streams a second.
	Rate float64
	// PromptSpread and OutputSpread are the standard deviations of the sizes relative to their means.
	PromptSpread, OutputSpread float64
	// Pareto draws sizes from a Pareto distribution instead of a log-normal one.
	Pareto bool
	// WrongHints makes the hints independent of the responses, and a third of the customers estimate three times as much.
	WrongHints bool
	// ReportInterval is the time between two reports of the planner, PollInterval that between two polls of a gateway.
	ReportInterval, PollInterval time.Duration
	// SlowPace is the pace of one rank, 1 if none is slow.
	SlowPace float64
}

// Loads are the loads of section 6 of docs/load-and-limits.md. The sizes are in the table of that document.
func Loads() []Load {
	first := Load{
		Gateways: 6, Ranks: 63, Rate: 220, PromptSpread: 0.95, OutputSpread: 0.8,
		ReportInterval: 250 * time.Millisecond, PollInterval: 350 * time.Millisecond, SlowPace: 1,
	}
	named := func(name string, change func(*Load)) Load {
		l := first
		l.Name = name
		change(&l)
		return l
	}
	return []Load{
		named("deployment", func(*Load) {}),
		named("even", func(l *Load) { l.PromptSpread, l.OutputSpread = 0.1, 0.1 }),
		named("heavy-tailed", func(l *Load) { l.Pareto = true }),
		named("wrong hints", func(l *Load) { l.WrongHints = true }),
		named("200 ms old", func(l *Load) { l.ReportInterval, l.PollInterval = 100*time.Millisecond, 200*time.Millisecond }),
		named("one slow rank", func(l *Load) { l.SlowPace = 2 }),
		named("24 deciders", func(l *Load) { l.Gateways, l.Ranks, l.Rate = 24, 32, 100 }),
		named("one decider", func(l *Load) { l.Gateways = 1 }),
	}
}

// Engine is the engine of all loads.
var Engine = catalog.Engine{
	Slots: 10, KVTokens: 310_000, StepsPerPass: tokensPerEvent, StepTime: 5850 * time.Microsecond,
	StepTimePerRequest: 426 * time.Microsecond, PrefillPerSecond: 61_200, PrefillPerStep: 512,
	UsualPrompt: meanPrompt, UsualOutput: meanEvents * tokensPerEvent,
}

const (
	tokensPerEvent = 6
	meanPrompt     = 815.0
	maxPrompt      = 2900
	minPrompt      = 20
	meanEvents     = 23.0
	maxEvents      = 58
	minEvents      = 2
	// announcedMax is the maximum of output tokens that all callers announce.
	announcedMax = 360
	customers    = 12
	// paretoShape is the exponent of the sizes' tail.
	paretoShape = 1.3
)

// route is a route of streams with its part of the requests.
type route struct {
	name      string
	share     float64
	objective time.Duration
}

var routes = []route{
	{"urgent", 80.0 / 220, 400 * time.Millisecond},
	{"normal", 35.0 / 220, 400 * time.Millisecond},
	{"relaxed", 105.0 / 220, time.Second},
}

// newStream draws a stream.
func (l Load) newStream(rng *rand.Rand, at time.Duration) *stream {
	s := &stream{arrived: at, gateway: rng.IntN(l.Gateways), route: routes[len(routes)-1]}
	for x, i := rng.Float64(), 0; i < len(routes); i++ {
		if x -= routes[i].share; x < 0 {
			s.route = routes[i]
			break
		}
	}
	s.prompt = int(l.size(rng, meanPrompt, l.PromptSpread, minPrompt, maxPrompt))
	s.events = int(l.size(rng, meanEvents, l.OutputSpread, minEvents, maxEvents) + 0.5)
	customer := rng.IntN(customers)
	s.request = workload.Request{
		Route: s.route.name, Customer: string(rune('a' + customer)), PromptTokens: s.prompt, MaxTokens: announcedMax,
	}
	if rng.Float64() < hintedShare {
		s.request.Hint = l.hint(rng, s.events*tokensPerEvent, customer)
	}
	s.unread = s.prompt
	return s
}

// size draws a size within the bounds.
func (l Load) size(rng *rand.Rand, mean, spread, least, most float64) float64 {
	if l.Pareto {
		// The bound takes a part of the mean, which the factor restores about.
		scale := 1.35 * mean * (paretoShape - 1) / paretoShape
		return min(max(scale/math.Pow(1-rng.Float64(), 1/paretoShape), least), most)
	}
	variance := math.Log(1 + spread*spread)
	x := math.Exp(math.Log(mean) - variance/2 + math.Sqrt(variance)*rng.NormFloat64())
	return min(max(x, least), most)
}

const (
	hintedShare = 0.5
	// Most hints are off by a factor of about goodHintSpread (as the deviation of a logarithm), farOffShare of them by
	// farOffSpread.
	goodHintSpread = 0.3
	farOffSpread   = 1.2
	farOffShare    = 0.3
)

func (l Load) hint(rng *rand.Rand, output, customer int) int {
	spread := goodHintSpread
	if rng.Float64() < farOffShare {
		spread = farOffSpread
	}
	x := float64(output)
	if l.WrongHints {
		x, spread = meanEvents*tokensPerEvent, farOffSpread
		if customer%3 == 0 {
			x *= 3
		}
	}
	return max(int(x*math.Exp(spread*rng.NormFloat64())), 1)
}
