package gatewayd

import (
	"slices"

	"lavendermoor.example/configsync/presence"
)

// orderStart returns where the gateway's own order of the servers begins: the gateways' starts are spread evenly in the
// order of their names. It returns false if the gateway is not among the members.
func orderStart(members []presence.Member, name string) (start float64, known bool) {
	before := 0
	for _, m := range members {
		if m.Name < name {
			before++
		}
	}
	known = slices.ContainsFunc(members, func(m presence.Member) bool { return m.Name == name })
	return float64(before) / float64(max(len(members), 1)), known
}
