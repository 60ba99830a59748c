package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// competingLoads are the loads of docs/load-and-limits.md, section 4, each with two bursts of a route.
func competingLoads() map[string][]simRoute {
	const ms = time.Millisecond
	least := []simBurst{{2.3, 6000 * ms, 11500 * ms}, {2.3, 21000 * ms, 26500 * ms}}
	most := []simBurst{{1.9, 12000 * ms, 15800 * ms}, {1.9, 24000 * ms, 27800 * ms}}
	load := func(most, least []simBurst) []simRoute {
		return []simRoute{{0, 400 * ms, 80, most}, {1, 400 * ms, 35, nil}, {2, 1000 * ms, 105, least}}
	}
	return map[string][]simRoute{
		"least urgent": load(nil, least), "most urgent": load(most, nil), "both": load(most, least),
	}
}

// simulate returns the results of the routes, and of all of them as the last element, over several seeds.
func simulate(t *testing.T, load []simRoute, withPriorities bool) []simResult {
	t.Helper()
	const seeds = 3
	total := make([]simResult, len(load)+1)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			for i, r := range newCompetition(load, seed+1, withPriorities).run(t.Context()) {
				total[i].add(r)
				total[len(load)].add(r)
			}
		})
	}
	return total
}

// Guards against the most urgent route being refused most often while capacity is short, as without priorities, and
// against a less urgent route that starves. Scenario: bursts of routes of three priorities, six gateways, callers that
// return once.
func TestUrgentStreamsAreServedFirstWithoutStarvingOthers(t *testing.T) {
	const (
		maxServedDifference = 0.05
		maxValueDifference  = 0.15
		minLeastValue       = 0.42
	)
	for name, load := range competingLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := simulate(t, load, false), simulate(t, load, true)
			for i := range after {
				t.Logf("%d: callers %d; served %.3f, before %.3f; value %.3f, before %.3f; refused %d, before %d; refused twice %d, before %d",
					i, after[i].callers, after[i].servedShare(), before[i].servedShare(), after[i].value(), before[i].value(),
					after[i].refusals, before[i].refusals, after[i].refusedTwice, before[i].refusedTwice)
			}
			all, last := after[len(load)], len(load)-1
			for i := range load {
				require.Greater(t, after[i].servedShare(), all.servedShare()/4)
				for j := range i {
					require.Greater(t, after[j].servedShare(), after[i].servedShare()-maxServedDifference)
					require.Greater(t, after[j].value(), after[i].value()-maxValueDifference)
				}
			}
			require.Greater(t, after[0].servedShare(), before[0].servedShare())
			require.Greater(t, after[0].value(), before[0].value())
			require.Greater(t, after[last].value(), minLeastValue)
		})
	}
}
