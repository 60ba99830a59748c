package workload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

var testEngine = catalog.Engine{
	StepsPerPass: 6, StepTimePerRequest: 400 * time.Microsecond, PrefillPerSecond: 50_000, UsualPrompt: 800, UsualOutput: 140,
	TimePerMillionPairs: 2 * time.Millisecond,
}

func estimator() *Estimator { return NewEstimator(NewModel(&testEngine)) }

// teach lets an estimator observe streams whose hints are the product of the length, a bias and a random factor.
func teach(e *Estimator, customer string, n int, bias float64) {
	teachSome(e, customer, n, bias, 1)
}

func teachSome(e *Estimator, customer string, n int, bias float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for range n {
		length := math.Exp(math.Log(120) + 0.7*rng.NormFloat64())
		hint := int(length * bias * math.Exp(0.1*rng.NormFloat64()))
		e.Observe(Request{Route: "r", Customer: customer, Hint: max(hint, 1)}, length)
	}
}

// Guards against reading work that does not grow with the pairs of tokens, and against requests of unknown size that
// count as nothing.
func TestReadingWork(t *testing.T) {
	m := NewModel(&testEngine)
	require.InDelta(t, 20+1, float64(m.Reading(1000))/1e6, 0.01, "1,000 tokens have half a million pairs")
	require.Equal(t, m.Usual().Reading, estimator().Estimate(Request{Route: "r"}).Reading)
	require.Zero(t, m.Reading(-5))
}

// Guards against an estimate that ignores hints which are right.
func TestGoodHintsAreFollowed(t *testing.T) {
	e := estimator()
	teach(e, "c", 200, 1)
	for _, length := range []int{40, 120, 300} {
		got := e.Estimate(Request{Route: "r", Customer: "c", Hint: length}).Output
		require.InEpsilon(t, float64(length), got, 0.15)
	}
}

// Guards against a customer whose wrong hints change where its requests go: hints of four times the length are
// corrected, and hints that say nothing are ignored.
func TestWrongHintsAreOutweighed(t *testing.T) {
	e := estimator()
	teach(e, "biased", 300, 4)
	require.InEpsilon(t, 100, e.Estimate(Request{Route: "r", Customer: "biased", Hint: 400}).Output, 0.2)
	rng := rand.New(rand.NewPCG(3, 4))
	e = estimator()
	for range 400 {
		length, hint := math.Exp(math.Log(120)+0.7*rng.NormFloat64()), math.Exp(math.Log(120)+1.2*rng.NormFloat64())
		e.Observe(Request{Route: "r", Customer: "random", Hint: max(int(hint), 1)}, length)
	}
	small := e.Estimate(Request{Route: "r", Customer: "random", Hint: 12}).Output
	large := e.Estimate(Request{Route: "r", Customer: "random", Hint: 1200}).Output
	require.Less(t, large/small, 2.0, "hints that differ by a factor of 100 must hardly matter")
}

// Guards against one customer's hints that spoil the estimates of another on the same route.
func TestCustomersAreLearnedApart(t *testing.T) {
	e := estimator()
	for i := range uint64(60) {
		teachSome(e, "good", 5, 1, i)
		teachSome(e, "bad", 5, 4, i)
	}
	require.InEpsilon(t, 200, e.Estimate(Request{Route: "r", Customer: "good", Hint: 200}).Output, 0.2)
}

// Guards against an estimate that stays after the lengths have changed, and against one above the caller's maximum.
func TestEstimateFollowsLengthsWithinTheMaximum(t *testing.T) {
	e := estimator()
	for range 500 {
		e.Observe(Request{Route: "r"}, 60)
	}
	require.InEpsilon(t, 60, e.Estimate(Request{Route: "r"}).Output, 0.2)
	for range 500 {
		e.Observe(Request{Route: "r"}, 300)
	}
	require.InEpsilon(t, 300, e.Estimate(Request{Route: "r"}).Output, 0.2)
	require.InDelta(t, 100, e.Estimate(Request{Route: "r", MaxTokens: 100, Hint: 100_000}).Output, 0)
}

// Guards against one absurd hint that makes the good ones of a customer worthless.
func TestOneAbsurdHintIsOutweighed(t *testing.T) {
	e := estimator()
	teach(e, "c", 200, 1)
	e.Observe(Request{Route: "r", Customer: "c", Hint: math.MaxInt}, 120)
	for _, length := range []int{40, 300} {
		got := e.Estimate(Request{Route: "r", Customer: "c", Hint: length}).Output
		require.InEpsilon(t, float64(length), got, 0.25)
	}
}

// Guards against an expected length that grows after a response much shorter than expected.
func TestShortResponseLowersTheEstimate(t *testing.T) {
	e := estimator()
	start := e.Estimate(Request{Route: "r"}).Output
	e.Observe(Request{Route: "r"}, 3)
	require.Less(t, e.Estimate(Request{Route: "r"}).Output, start)
}

// Guards against estimates that are not numbers after hints at the ends of their range, and against memory that grows
// with every name.
func TestExtremeHintsAndManyCustomers(t *testing.T) {
	e := estimator()
	for i := range maxEstimateKeys + 100 {
		hint := 1
		if i%2 == 0 {
			hint = math.MaxInt
		}
		e.Observe(Request{Route: "r", Customer: string(rune(i + 1000)), Hint: hint}, float64(1+i%3))
	}
	require.LessOrEqual(t, len(e.pairs), maxEstimateKeys)
	for _, hint := range []int{0, 1, math.MaxInt} {
		got := e.Estimate(Request{Route: "r", Customer: "x", Hint: hint})
		require.False(t, math.IsNaN(got.Output) || math.IsInf(got.Output, 0))
		require.Positive(t, got.Generation)
		require.Less(t, got.Generation, time.Minute, "without a maximum")
	}
}
