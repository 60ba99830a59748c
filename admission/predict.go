package admission

import (
	"math/bits"
	"slices"
)

const (
	// medianWindow is the number of recent predictions whose median separates short and long generations.
	medianWindow = 255
	// medianMin is the minimum number of predictions for classification; with fewer, the caller's kind is kept.
	medianMin = 16
	// longFactor is the multiple of the median above which a generation counts as long.
	longFactor = 8
	// maxHistories limits the number of histories, one for each historyKey. At about 100 bytes each, the table stays below
	// 1 MB; the oldest entry is evicted first.
	maxHistories = 8192
	// historyGain is the weight of a new observation in the exponentially weighted means.
	historyGain = 0.2
	// defaultTokens is the prediction for a request without max_tokens before the first observation.
	defaultTokens = 256
	// defaultRatio is the assumed ratio of generated tokens to max_tokens before the first observation.
	defaultRatio = 0.5
)

type historyKey struct {
	customer, model string
	// maxTokensBits is the bit length of max_tokens. Short and long requests of a customer usually differ in max_tokens
	// and so get separate histories.
	maxTokensBits int
}

// predictor estimates the number of generated tokens and classifies generations as short or long.
type predictor struct {
	// histories holds the exponentially weighted mean number of generated tokens. order is a ring buffer of its keys in
	// the order of insertion; oldest is the index of the key that is evicted next.
	histories map[historyKey]float64
	order     []historyKey
	oldest    int
	// usedRatio is the exponentially weighted mean ratio of generated tokens to max_tokens, over the generations that
	// have max_tokens. meanTokens is that of the number of generated tokens, over all generations.
	usedRatio  float64
	meanTokens float64

	// recent is a ring buffer of the latest predictions, which sorted holds in ascending order; next is the index in
	// recent that is overwritten next.
	recent [medianWindow]float64
	sorted []float64
	next   int
}

func newPredictor() *predictor {
	return &predictor{histories: map[historyKey]float64{}, usedRatio: defaultRatio, meanTokens: defaultTokens}
}

// predict returns the expected number of tokens, at least 1 and at most maxTokens unless that is 0.
func (p *predictor) predict(customer, model string, maxTokens int) float64 {
	key := historyKey{customer, model, bits.Len(uint(maxTokens))}
	t, ok := p.histories[key]
	switch {
	case ok:
	case maxTokens > 0:
		t = p.usedRatio * float64(maxTokens)
	default:
		t = p.meanTokens
	}
	if maxTokens > 0 {
		t = min(t, float64(maxTokens))
	}
	return max(t, 1)
}

// observe records the number of tokens of a completed generation.
func (p *predictor) observe(customer, model string, maxTokens, tokens int) {
	got := float64(tokens)
	key := historyKey{customer, model, bits.Len(uint(maxTokens))}
	if t, ok := p.histories[key]; ok {
		p.histories[key] = t + historyGain*(got-t)
	} else {
		p.insert(key, got)
	}
	p.meanTokens += historyGain * (got - p.meanTokens)
	if maxTokens > 0 {
		p.usedRatio += historyGain * (min(got/float64(maxTokens), 1) - p.usedRatio)
	}
}

func (p *predictor) insert(key historyKey, tokens float64) {
	if len(p.order) < maxHistories {
		p.order = append(p.order, key)
	} else {
		delete(p.histories, p.order[p.oldest])
		p.order[p.oldest] = key
		p.oldest = (p.oldest + 1) % maxHistories
	}
	p.histories[key] = tokens
}

// classify returns Short or Long for a generation with the predicted number of tokens and adds it to the median window.
func (p *predictor) classify(tokens float64, given Kind) Kind {
	kind := given
	if len(p.sorted) >= medianMin {
		kind = Short
		if tokens > longFactor*p.sorted[len(p.sorted)/2] {
			kind = Long
		}
	}
	p.addRecent(tokens)
	return kind
}

func (p *predictor) addRecent(tokens float64) {
	if len(p.sorted) == medianWindow {
		i, _ := slices.BinarySearch(p.sorted, p.recent[p.next])
		p.sorted = slices.Delete(p.sorted, i, i+1)
	}
	i, _ := slices.BinarySearch(p.sorted, tokens)
	p.sorted = slices.Insert(p.sorted, i, tokens)
	p.recent[p.next] = tokens
	p.next = (p.next + 1) % medianWindow
}
