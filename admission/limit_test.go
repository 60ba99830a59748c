package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that does not decrease while the server is slow or does not recover afterwards.
func TestLimitRecovers(t *testing.T) {
	const capacity = 16
	lim := newLimiter(LimitConfig{Initial: capacity, Min: 2, Max: 64, Tolerance: 1.5})
	now := time.Duration(0)
	phase := func(seconds int, slowdown float64) int {
		for end := now + time.Duration(seconds)*time.Second; now < end; {
			// Above its capacity the server slows all requests down.
			service := 0.05 * max(1, lim.limit*slowdown/capacity)
			now += time.Duration(service / lim.limit * float64(time.Second))
			lim.saturated = true
			lim.observe(now, Status, service, 1)
		}
		return lim.slots()
	}
	normal := phase(30, 1)
	require.GreaterOrEqual(t, normal, capacity)
	require.LessOrEqual(t, normal, 2*capacity)
	slow := phase(10, 4)
	require.LessOrEqual(t, slow, capacity/2)
	require.GreaterOrEqual(t, phase(10, 1), capacity)

	lim.cfg.Fixed = true
	before := lim.slots()
	require.Equal(t, before, phase(10, 4), "a fixed limit must not change")
}

// Guards against a limit that increases although it is not reached. It would then admit a burst of any size.
func TestLimitGrowsOnlyWhenSaturated(t *testing.T) {
	lim := newLimiter(LimitConfig{Initial: 8, Min: 2, Max: 64, Tolerance: 1.5})
	for i := range 1000 {
		lim.observe(time.Duration(i)*time.Millisecond, Status, 0.01, 1)
	}
	require.Equal(t, 8, lim.slots())
}

// Guards against a limit that decreases because highly variable service times are mistaken for a slow server.
func TestLimitToleratesNoisyServiceTimes(t *testing.T) {
	lim := newLimiter(LimitConfig{Initial: 16, Min: 2, Max: 16, Tolerance: 1.25})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 100_000 {
		lim.saturated = true
		lim.observe(time.Duration(i)*3*time.Millisecond, Status, 0.05*rng.ExpFloat64(), 1)
		require.GreaterOrEqual(t, lim.slots(), 12)
	}
}
