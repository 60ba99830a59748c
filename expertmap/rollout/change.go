package rollout

import "math"

const (
	// minShift is the fraction of the choices that have to go elsewhere for a shift of demand. The mix of concurrent
	// requests changes less.
	minShift = 0.4
	// minLayerShift is the same for one layer when all layers together show a shift.
	minLayerShift = 0.2
	// wholeShift is the fraction from which all choices of a poll count as made after the shift.
	wholeShift = 0.65
	// minSuspected is the fraction from which a poll may be a mixture of choices before and after a shift.
	minSuspected = 0.12
	// relatedTokens is the number of tokens that count as one independent choice, because the tokens of a request choose
	// related experts.
	relatedTokens = 16
	// shiftDeviations and suspectedDeviations are the numbers of standard deviations by which a shift or a suspected one
	// has to exceed the noise of the sample.
	shiftDeviations     = 4.5
	suspectedDeviations = 2.5
)

// change is the estimated fraction of the choices in a layer that go elsewhere than before, with its standard deviation.
type change struct {
	fraction, deviation float64
}

// changeOf compares recent choices with the estimate. If a fraction w of the choices changed to other experts, chosen
// independently of the earlier shares p, the mean of p over the recent choices falls from sum(p^2) to
// (1-w)*sum(p^2) + w/experts. The result is 0 without noise if either argument has fewer than minChoices, or if the
// shares are equal, so that a change would not show.
func changeOf(estimate choices, recent []float64) change {
	first, second, n := sum(estimate.first), sum(estimate.second), sum(recent)
	total := first + second
	if total < minChoices || first == 0 || second == 0 || n < minChoices {
		return change{}
	}
	squares, cubes, mean := 0.0, 0.0, 0.0
	for e, count := range estimate.first {
		p := (count + estimate.second[e]) / total
		// The product of the halves does not contain the noise of the sample, which would raise the square of p.
		squares += count / first * estimate.second[e] / second
		cubes += p * p * p
		mean += p * recent[e] / n
	}
	contrast := squares - 1/float64(len(recent))
	if contrast <= 0 {
		return change{}
	}
	// The variance of p under itself.
	variance := max(cubes-squares*squares, 0) * (1/n + 1/total) * relatedTokens / CountUnit
	return change{fraction: (squares - mean) / contrast, deviation: math.Sqrt(variance) / contrast}
}

// combine returns the mean of the changes of all layers that are known.
func combine(layers []change) change {
	var out change
	known := 0.0
	for _, c := range layers {
		if c.deviation > 0 {
			out.fraction += c.fraction
			out.deviation += c.deviation * c.deviation
			known++
		}
	}
	if known == 0 {
		return out
	}
	return change{fraction: out.fraction / known, deviation: math.Sqrt(out.deviation) / known}
}

// isShift reports whether the change is a shift of demand.
func (c change) isShift() bool { return c.exceeds(minShift, shiftDeviations) }

// isSuspected reports whether the change may be part of a shift.
func (c change) isSuspected() bool { return c.exceeds(minSuspected, suspectedDeviations) }

func (c change) exceeds(fraction, deviations float64) bool {
	return c.deviation > 0 && c.fraction > max(fraction, deviations*c.deviation)
}
