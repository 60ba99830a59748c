package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/expertmap"
)

// Guards against trials whose results depend on anything but the seed.
func TestTrialsAreReproducible(t *testing.T) {
	rules := retryRules()
	last := rules[len(rules)-1]
	require.Equal(t, simulate(last, 40, 1), simulate(last, 40, 1))
	run := func() outcome {
		out, err := placementRun(scenarios[2], expertmap.PolicyImprove, 1, placementSize{steps: 900, decide: 15, budget: 64, memory: 500})
		require.NoError(t, err)
		out.longestDecision = 0
		return out
	}
	require.Equal(t, run(), run())
}
