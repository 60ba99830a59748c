package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func progressOf(r Request) Progress {
	m := NewModel(&testEngine)
	return NewProgress(m, r, NewEstimator(m).Estimate(r), 0)
}

// Guards against work that stays counted although events show that it is done, and against a sum that does not return
// to 0 at the end.
func TestEventsShowWorkAsDone(t *testing.T) {
	p := progressOf(Request{Route: "r", PromptTokens: 2000, MaxTokens: 348})
	sum := p.Remaining()
	require.Equal(t, NewModel(&testEngine).Reading(2000), sum.Reading)
	for i := range 10 {
		done := p.Event()
		sum.Reading -= done.Reading
		sum.Generation -= done.Generation
		require.Zero(t, sum.Reading, "event %d: the prompt has been read", i)
	}
	require.Equal(t, p.Remaining(), sum)
	require.InDelta(t, 60, p.Output(), 0)
}

// Guards against a long stream that counts as finished once it has exceeded its estimate, and against more work than
// the caller's maximum leaves.
func TestStreamBeyondItsEstimate(t *testing.T) {
	m := NewModel(&testEngine)
	p := progressOf(Request{Route: "r", PromptTokens: 100, MaxTokens: 348, Hint: 20})
	for range 40 { // 240 tokens.
		p.Event()
	}
	require.Greater(t, p.Remaining().Generation, m.Generation(20))
	require.LessOrEqual(t, p.Remaining().Generation, m.Generation(348-240))
	for range 100 {
		p.Event()
		require.Positive(t, p.Remaining().Generation)
	}
	require.LessOrEqual(t, p.Remaining().Generation, m.Generation(1))
}

// Guards against a resumed stream that counts for what another server has already generated.
func TestResumedStreamCountsForTheRest(t *testing.T) {
	m := NewModel(&testEngine)
	r := Request{Route: "r", PromptTokens: 100, MaxTokens: 120}
	p := NewProgress(m, r, NewEstimator(m).Estimate(r), 15)
	require.LessOrEqual(t, p.Remaining().Generation, m.Generation(120-90))
}
