package orders_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
)

// Guards against loads that start at the same time, against rebalancing before customer-facing loads, and against a
// window that does not grow or grows without limit.
func TestLoadSpread(t *testing.T) {
	s := orders.NewLoadSpread(1000, 1000, 4)
	const second = int64(1e9)
	require.EqualValues(t, second, s.LoadTime)
	require.EqualValues(t, 250, s.RatePerLoad())
	used := map[int64]int{}
	for g := range 400 {
		name := fmt.Sprint("group-", g)
		d := int64(s.Delay(name, orders.CustomerFacing, 20))
		require.Less(t, d, 16*second)
		require.EqualValues(t, d, s.Delay(name, orders.CustomerFacing, 20))
		used[d]++
		first := int64(s.Delay(name, orders.CustomerFacing, 0))
		require.Less(t, first, second)
		require.EqualValues(t, first+second, s.Delay(name, orders.Rebalancing, 0))
		require.Less(t, int64(s.Delay(name, orders.CustomerFacing, 2)), 4*second)
	}
	// 400 random picks occupy a fraction 1 - exp(-400/512) of 512 slots.
	require.InDelta(t, 278, len(used), 25)
}

// Guards against an engine that is without any version while another one is loaded, and against one that keeps what an
// earlier process loaded.
func TestDiffAndUnloadOthers(t *testing.T) {
	current := orders.EngineState{Model: "m", Version: "1", Adapters: []string{"a", "b"}, Role: "decode"}
	target := orders.EngineState{Model: "m", Version: "2", Adapters: []string{"b"}}
	var got []string
	for _, o := range append(
		orders.Diff(current, target), orders.UnloadOthers(target, []string{"1", "2"}, []string{"a", "b"})...,
	) {
		got = append(got, fmt.Sprint(o.Kind, " ", o.Version, o.Adapter))
	}
	require.Equal(t, []string{
		"load 2", "load 2b", "set_role ", "unload 1a", "unload 1b", "unload 1",
		"unload 2a", "unload 1a", "unload 1b", "unload 1",
	}, got)
	require.Empty(t, orders.Diff(target, target))
}
