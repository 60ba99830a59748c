package workload

import (
	"math"
	"sync"
)

// Request is what is known of a request before it runs.
type Request struct {
	Route, Customer string
	// PromptTokens and MaxTokens are the size that the caller announced, 0 if unknown. Hint is the caller's estimate of
	// the output tokens, 0 without one.
	PromptTokens, MaxTokens, Hint int
}

// Estimate is the expected work of a request. The number of output tokens is taken to be distributed log-normally.
type Estimate struct {
	Amount
	// Output is the expected number of output tokens, bounded by the maximum that the caller announced.
	Output float64
	// LogMedian and LogSpread are the mean and the standard deviation of the logarithm of the number of output tokens.
	LogMedian, LogSpread float64
	// Hinted is set if the caller gave a hint.
	Hinted bool
}

const (
	// estimateDecay is the weight that an earlier response keeps with each later one, a memory of about 100 responses.
	estimateDecay = 0.99
	// priorWeight is the number of responses that what is assumed without observations counts for.
	priorWeight = 8.0
	// priorHintSlope is the trust in the hints of a customer that is not known yet.
	priorHintSlope = 0.7
	// priorLogSpread is the spread of the logarithms of lengths of responses and of hints before any was seen.
	priorLogSpread = 0.8
	// maxLogDeviation bounds how far from the mean one length or hint counts, because hints can be wrong by any factor. It
	// is a factor of 7. With a factor of 20, one absurd hint changed the next estimates by 28%.
	maxLogDeviation = 2.0
	minLogSpread    = 0.1
	// maxLogSpread is above the usual spread of the lengths of responses (priorLogSpread). Without it, a response that is
	// much shorter than expected raised the expected length: the mean of a log-normal distribution grows with its variance.
	maxLogSpread = 1.0
	// maxEstimateKeys bounds the memory of an estimator. Routes and customers come from the configuration, which names
	// up to 1,700 customers. Further ones are estimated by their route.
	maxEstimateKeys = 8192
)

// Estimator learns the lengths of responses and the worth of hints, by route and by route and customer. It is safe for
// concurrent use.
type Estimator struct {
	mu     sync.Mutex
	model  Model
	routes map[string]*history
	pairs  map[pair]*history
}

type pair struct{ route, customer string }

// NewEstimator returns an estimator that has observed nothing.
func NewEstimator(m Model) *Estimator {
	return &Estimator{model: m, routes: map[string]*history{}, pairs: map[pair]*history{}}
}

// SetModel replaces the model. What was learned stays.
func (e *Estimator) SetModel(m Model) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = m
}

// Estimate returns the expected work of a request.
func (e *Estimator) Estimate(r Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.belief(r)
	out := Estimate{LogMedian: b.length.mean, LogSpread: spreadOf(b.length.variance()), Hinted: r.Hint > 0}
	if out.Hinted {
		out.LogMedian, out.LogSpread = b.predict(math.Log(float64(r.Hint)))
	}
	out.Output = math.Exp(out.LogMedian + out.LogSpread*out.LogSpread/2)
	if r.MaxTokens > 0 {
		out.Output = min(out.Output, float64(r.MaxTokens))
	}
	if r.PromptTokens <= 0 {
		r.PromptTokens = int(e.model.usualPrompt)
	}
	out.Reading, out.Generation = e.model.Reading(r.PromptTokens), e.model.Generation(out.Output)
	return out
}

// Observe records the length of a complete response in tokens.
func (e *Estimator) Observe(r Request, output float64) {
	if output <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	byRoute := e.routes[r.Route]
	if byRoute == nil && len(e.routes) < maxEstimateKeys {
		byRoute = &history{}
		e.routes[r.Route] = byRoute
	}
	key := pair{r.Route, r.Customer}
	byPair := e.pairs[key]
	if byPair == nil && r.Customer != "" && len(e.pairs) < maxEstimateKeys {
		byPair = &history{}
		e.pairs[key] = byPair
	}
	y := math.Log(output)
	for _, h := range []*history{byRoute, byPair} {
		if h != nil {
			h.observe(r.Hint, y)
		}
	}
}

// belief returns what is assumed of a request: the prior, outweighed by the history of the route, and that by the
// history of the customer on the route.
func (e *Estimator) belief(r Request) belief {
	b := e.model.prior().update(e.routes[r.Route])
	return b.update(e.pairs[pair{r.Route, r.Customer}])
}

// moments are the decayed weight, mean and sum of squared deviations of a variable.
type moments struct{ weight, mean, squares float64 }

func (m moments) variance() float64 {
	if m.weight <= 0 {
		return 0
	}
	return m.squares / m.weight
}

// add adds an observation (West's algorithm for weighted data).
func (m *moments) add(x float64) {
	m.weight, m.squares = m.weight*estimateDecay, m.squares*estimateDecay
	m.weight++
	d := x - m.mean
	m.mean += d / m.weight
	m.squares += d * (x - m.mean)
}

// merge adds other observations (Chan's algorithm).
func (m moments) merge(o moments) moments {
	w := m.weight + o.weight
	if w <= 0 {
		return m
	}
	d := o.mean - m.mean
	return moments{
		weight: w, mean: m.mean + d*o.weight/w,
		squares: m.squares + o.squares + d*d*m.weight*o.weight/w,
	}
}

func spreadOf(variance float64) float64 {
	return min(max(math.Sqrt(max(variance, 0)), minLogSpread), maxLogSpread)
}
