package workload

import (
	"math"
	"time"
)

// Progress tracks the work of one request at a server that is still to be done. It is not safe for concurrent use.
type Progress struct {
	model     Model
	estimate  Estimate
	maxTokens int
	// perEvent is the number of tokens of an event. events counts the events of this attempt, before those of earlier
	// attempts, which a resumed stream does not generate again.
	perEvent       float64
	events, before int
	remaining      Amount
}

// NewProgress returns the progress of a request that a server is about to get. before is the number of events that the
// caller has already received.
func NewProgress(m Model, r Request, e Estimate, before int) Progress {
	p := Progress{model: m, estimate: e, maxTokens: r.MaxTokens, perEvent: m.TokensPerEvent(), before: before}
	p.remaining = Amount{Reading: e.Reading, Generation: p.generation()}
	return p
}

// Remaining returns the work that is left.
func (p *Progress) Remaining() Amount { return p.remaining }

// Event records an event of the response and returns the work done since the last one, which may be negative if the
// response becomes longer than estimated. The prompt has been read when the first event arrives.
func (p *Progress) Event() (done Amount) {
	earlier := p.remaining
	p.events++
	p.remaining = Amount{Generation: p.generation()}
	return Amount{Reading: earlier.Reading, Generation: earlier.Generation - p.remaining.Generation}
}

// Output returns the number of tokens generated so far, by all attempts.
func (p *Progress) Output() float64 { return float64(p.before+p.events) * p.perEvent }

func (p *Progress) generation() time.Duration {
	done := p.Output()
	left := p.estimate.Output
	if done > 0 {
		left = p.estimate.meanResidual(done)
	}
	// The event with the last token is still to come until the stream ends.
	left = max(left, 1)
	if p.maxTokens > 0 {
		left = min(left, max(float64(p.maxTokens)-done, 1))
	}
	return p.model.Generation(left)
}

// meanResidual returns the expected number of tokens that follow the first done ones: the mean residual life of the
// log-normal distribution. A response that is longer than estimated is expected to last, not to end at once.
func (e Estimate) meanResidual(done float64) float64 {
	z := (math.Log(done) - e.LogMedian) / e.LogSpread
	longer := math.Erfc(z / math.Sqrt2)
	if longer < minSurvival {
		return done * e.LogSpread * e.LogSpread / max(z*e.LogSpread, e.LogSpread)
	}
	mean := math.Exp(e.LogMedian + e.LogSpread*e.LogSpread/2)
	return mean*math.Erfc((z-e.LogSpread)/math.Sqrt2)/longer - done
}

// minSurvival is the probability below which the quotient of the two tails is computed by its asymptotic form.
const minSurvival = 1e-6
