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
	s := orders.NewSpread(1000, 1000, 400, 4)
	const slot = 1e9
	require.EqualValues(t, slot, s.Slot)
	require.EqualValues(t, 250, s.Share())
	used := map[int64]int{}
	for g := range 400 {
		name := fmt.Sprint("group-", g)
		d := s.Delay(name, orders.CustomerFacing, 20)
		require.Less(t, int64(d), int64(400*slot))
		require.Equal(t, d, s.Delay(name, orders.CustomerFacing, 20))
		used[int64(d)]++
		require.Less(t, int64(s.Delay(name, orders.CustomerFacing, 0)), int64(8*slot))
		require.GreaterOrEqual(t, int64(s.Delay(name, orders.Rebalancing, 0)), int64(8*slot))
	}
	// 400 balls in 400 bins fill 1 - 1/e of them.
	require.InDelta(t, 253, len(used), 25)
}
