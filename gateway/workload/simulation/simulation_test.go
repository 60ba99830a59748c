package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	before = "tokens (before)"
	now    = "pass work, order"
)

// compare runs a load with the rule that the product had before and the one that it has now.
func compare(t *testing.T, load string) (was, is Result) {
	t.Helper()
	rules := map[string]Rule{}
	for _, r := range Rules() {
		rules[r.Name] = r
	}
	for _, l := range Loads() {
		if l.Name == load {
			o := Options{Seed: 1, Duration: time.Minute, RateFactor: 1}
			was, is = Run(l, rules[before], o), Run(l, rules[now], o)
			t.Logf("\n%s\n%v\n%v", Header, was, is)
			return was, is
		}
	}
	t.Fatalf("no load %q", load)
	return was, is
}

// requireNoWorse guards against a choice that serves callers worse than before, or large requests less often than
// others. The allowance of a hundredth is the spread of a run between seeds.
func requireNoWorse(t *testing.T, was, is Result) {
	t.Helper()
	require.GreaterOrEqual(t, is.OnTime, was.OnTime-0.01)
	require.GreaterOrEqual(t, is.Served, was.Served-0.01)
	for _, share := range []float64{is.Large, is.LargeServed, is.Next, is.NextServed} {
		require.Greater(t, share, 0.95)
	}
}

func TestEvenLoad(t *testing.T) {
	was, is := compare(t, "even")
	requireNoWorse(t, was, is)
	require.Less(t, is.Imbalance, was.Imbalance-0.05)
}

func TestHeavyTailedLoad(t *testing.T) {
	was, is := compare(t, "heavy-tailed")
	requireNoWorse(t, was, is)
}

func TestWrongHints(t *testing.T) {
	was, is := compare(t, "wrong hints")
	requireNoWorse(t, was, is)
	require.Less(t, is.HintedError[0], is.PlainError[0]*1.15, "hints that say nothing must not harm the estimate")
	require.Less(t, is.HintedError[1], is.PlainError[1]*1.15)
}

func TestKnowledge200MsOld(t *testing.T) {
	was, is := compare(t, "200 ms old")
	requireNoWorse(t, was, is)
}

// Also guards against large requests that miss their time because they are sent to the slow rank.
func TestOneSlowRank(t *testing.T) {
	was, is := compare(t, "one slow rank")
	requireNoWorse(t, was, is)
	require.Greater(t, is.OnTime, was.OnTime+0.1)
}

// Also guards against gateways that all choose the same ranks: these had 1.8 times the mean.
func TestTwentyFourDeciders(t *testing.T) {
	was, is := compare(t, "24 deciders")
	requireNoWorse(t, was, is)
	require.Less(t, is.Imbalance, was.Imbalance-0.15)
	require.Less(t, is.Pass, was.Pass)
}

// Guards against long prompts that are read at the same time on one rank while others read none.
func TestLongPromptsOfOneDecider(t *testing.T) {
	was, is := compare(t, "one decider")
	requireNoWorse(t, was, is)
	require.Less(t, is.Pass, was.Pass-time.Millisecond)
}
