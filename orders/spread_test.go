package orders_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
)

// Guards against starts that bunch up, against rebalancing that goes before customers, and against a window
// that does not widen or widens without bound.
func TestSpread(t *testing.T) {
	s := orders.NewSpread(1000, 1000, 4)
	const second = int64(1e9)
	require.EqualValues(t, second, s.Load)
	require.EqualValues(t, 250, s.Share())
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
	// 400 balls in 512 bins fill 1 - exp(-400/512) of them.
	require.InDelta(t, 278, len(used), 25)
}
