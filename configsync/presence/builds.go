package presence

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lavendermoor.example/telemetry/buildinfo"
)

// buildSummary returns the builds of the members with the number of members of each, in the order of the builds.
func buildSummary(members []Member) string {
	counts := map[string]int{}
	for _, m := range members {
		build := m.Build
		if build == "" {
			build = buildinfo.Unknown
		}
		counts[build]++
	}
	var parts []string
	for _, build := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", build, counts[build]))
	}
	return strings.Join(parts, ", ")
}
