package simulation

import (
	"time"

	"lavendermoor.example/gateway/workload"
)

// View is what a gateway knows of a rank.
type View struct {
	load workload.Load
	left workload.Amount
	// Others are the streams of other gateways, as far as the rule takes them into account.
	Streams, Others, Announced, Pace float64
}

// Rule is a way to choose a rank.
type Rule struct {
	Name string
	// Score rates a rank for a request with the given work. The rank with the lowest score gets it.
	Score func(v View, w workload.Amount) float64
	// Sample is the number of ranks drawn at random from which one is chosen, 0 for all. TieBreak is the size of the
	// random part of a score.
	Sample   int
	TieBreak float64
	// Others adds the reported streams of other gateways.
	Others bool
	// OthersSecond lets the reported streams of other gateways decide between the two best ranks.
	OthersSecond bool
	// Ordered adds the place of a rank in an order that begins elsewhere for each gateway.
	Ordered bool
	// RandomStarts begins the orders at random ranks, as while a gateway does not know the others.
	RandomStarts bool
	// RemotePenalty is added to the score of a rank in another failure domain.
	RemotePenalty float64
	// BySize sends the smallest of the streams that wait at a gateway first, unless one has waited for maxOvertaken.
	BySize bool
}

const (
	smallTieBreak = 0.01
	// wideTieBreak is as large as one stream.
	wideTieBreak = 0.1
	slots        = 10.0
	maxOvertaken = 150 * time.Millisecond
)

var model = workload.NewModel(&Engine)

func byRequests(v View, _ workload.Amount) float64 {
	return (1 + v.Streams + v.Others + v.load.Place) * v.Pace / slots
}

func byTokens(v View, _ workload.Amount) float64 {
	return (1 + v.Streams + v.Announced/1000 + v.Others) * v.Pace / slots
}

// byLatency predicts the time to the first event: what has to be read before, and a slower pass for each stream.
func byLatency(v View, w workload.Amount) float64 {
	perStream := float64(Engine.StepsPerPass) * float64(Engine.StepTimePerRequest)
	ns := float64(v.left.Reading+w.Reading) + perStream*(1+v.Streams+v.Others)
	return ns * v.Pace / float64(model.Usual().Total())
}

func byWork(v View, w workload.Amount) float64 {
	others := v.Others * float64(model.Usual().Total())
	return ((float64(v.left.Total()+w.Total())+others)/float64(model.Usual().Total()) + v.load.Place) * v.Pace / slots
}

// chosen is the score of the product, with the other gateways' streams for the rules that know them.
func chosen(v View, w workload.Amount) float64 {
	return v.load.Score(w.Reading, model.Usual().Reading) + v.Others*v.Pace/slots
}

// Rules are the compared rules.
func Rules() []Rule {
	return []Rule{
		{Name: "random", Score: func(View, workload.Amount) float64 { return 0 }, TieBreak: 1},
		{Name: "least requests", Score: byRequests, TieBreak: smallTieBreak},
		{Name: "tokens (before)", Score: byTokens, TieBreak: smallTieBreak},
		{Name: "predicted latency", Score: byLatency, TieBreak: smallTieBreak},
		{Name: "expected work", Score: byWork, TieBreak: smallTieBreak},
		{Name: "pass work", Score: chosen, TieBreak: smallTieBreak},
		{Name: "pass work, two", Score: chosen, TieBreak: smallTieBreak, Sample: 2},
		{Name: "pass work, random", Score: chosen, TieBreak: wideTieBreak},
		{Name: "+others", Score: chosen, TieBreak: smallTieBreak, Others: true},
		{Name: "+others, two", Score: chosen, TieBreak: smallTieBreak, Sample: 2, Others: true},
		{Name: "+others, second", Score: chosen, TieBreak: smallTieBreak, OthersSecond: true},
		{Name: "requests, order", Score: byRequests, Ordered: true},
		{Name: "exp. work, order", Score: byWork, Ordered: true},
		{Name: "pass work, order", Score: chosen, Ordered: true},
		{Name: "same, random starts", Score: chosen, Ordered: true, RandomStarts: true},
		{Name: "same, near domain", Score: chosen, Ordered: true, RemotePenalty: 0.02},
		{Name: "the same, by size", Score: chosen, Ordered: true, BySize: true},
	}
}
