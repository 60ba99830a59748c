package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/configsync/presence"
)

// Guards against gateways whose orders of the servers begin at the same place, with which all of them fill the same
// servers first.
func TestOrderStartsAreSpreadEvenly(t *testing.T) {
	members := []presence.Member{{Name: "g3"}, {Name: "g1"}, {Name: "g4"}, {Name: "g2"}}
	for i, name := range []string{"g1", "g2", "g3", "g4"} {
		start, known := orderStart(members, name)
		require.True(t, known)
		require.InDelta(t, float64(i)/4, start, 0)
	}
	_, known := orderStart(members, "other")
	require.False(t, known)
	_, known = orderStart(nil, "g1")
	require.False(t, known)
}
