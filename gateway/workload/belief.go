package workload

import "math"

// history is what was observed of the responses of a route, or of one customer on it, as logarithms.
type history struct {
	length moments
	// hint and hintedLength are of the requests with a hint, product is the decayed sum of the products of their
	// deviations.
	hint, hintedLength moments
	product            float64
}

// observe records the logarithm of the length of a response.
func (h *history) observe(hint int, y float64) {
	if h.length.weight > 0 {
		y = clamp(y, h.length.mean)
	}
	h.length.add(y)
	if hint <= 0 {
		return
	}
	x := math.Log(float64(hint))
	if h.hint.weight > 0 {
		x = clamp(x, h.hint.mean)
	}
	h.product *= estimateDecay
	dx := x - h.hint.mean
	h.hint.add(x)
	h.hintedLength.add(y)
	h.product += dx * (y - h.hintedLength.mean)
}

func clamp(x, mean float64) float64 {
	return min(max(x, mean-maxLogDeviation), mean+maxLogDeviation)
}

// belief is a history with the weight of priorWeight responses. The regression of lengths on hints follows from it: a
// bias of the hints is a difference of the two means, and hints that say nothing have a slope of 0.
type belief struct {
	length, hint, hintedLength moments
	product                    float64
}

// prior returns the belief before any response was observed.
func (m Model) prior() belief {
	// The mean of a log-normal variable is above its median.
	mean := math.Log(m.usualOutput) - priorLogSpread*priorLogSpread/2
	p := moments{weight: priorWeight, mean: mean, squares: priorWeight * priorLogSpread * priorLogSpread}
	return belief{length: p, hint: p, hintedLength: p, product: priorHintSlope * p.squares}
}

// update returns the belief after a history, in which the earlier belief counts for priorWeight responses.
func (b belief) update(h *history) belief {
	if h == nil {
		return b
	}
	out := b.withWeight(priorWeight)
	out.length = out.length.merge(h.length)
	if h.hint.weight <= 0 {
		return out
	}
	w := out.hint.weight + h.hint.weight
	dx, dy := h.hint.mean-out.hint.mean, h.hintedLength.mean-out.hintedLength.mean
	// The sums are added without the difference of the means: a bias must not appear as a slope.
	out.product += h.product
	out.hint = moments{weight: w, mean: out.hint.mean + dx*h.hint.weight/w, squares: out.hint.squares + h.hint.squares}
	out.hintedLength = moments{
		weight: w, mean: out.hintedLength.mean + dy*h.hint.weight/w,
		squares: out.hintedLength.squares + h.hintedLength.squares,
	}
	return out
}

func (b belief) withWeight(w float64) belief {
	if b.hint.weight > 0 {
		b.product *= w / b.hint.weight
	}
	b.length, b.hint, b.hintedLength = b.length.withWeight(w), b.hint.withWeight(w), b.hintedLength.withWeight(w)
	return b
}

func (m moments) withWeight(w float64) moments {
	if m.weight <= 0 {
		return m
	}
	m.squares *= w / m.weight
	m.weight = w
	return m
}

// predict returns the mean and spread of the logarithm of the length of a response whose hint has the logarithm x
// (least squares).
func (b belief) predict(x float64) (mean, spread float64) {
	slope := 0.0
	if b.hint.squares > 0 {
		slope = min(max(b.product/b.hint.squares, 0), 1)
	}
	mean = b.hintedLength.mean + slope*(clamp(x, b.hint.mean)-b.hint.mean)
	explained := slope * slope * b.hint.variance()
	return mean, spreadOf(b.hintedLength.variance() - explained)
}
