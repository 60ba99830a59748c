package expertmap

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// noisyTimes draws step times with 5% log-normal noise and a tenfold spike in 1 of 1,000.
func noisyTimes(rng *rand.Rand, times []float64) {
	for i := range times {
		times[i] = math.Exp(0.05 * rng.NormFloat64())
		if rng.IntN(1000) == 0 {
			times[i] *= 10
		}
	}
}

// Guards against a straggler that is not detected within 60 steps or is not cleared within 100 steps of recovery, and
// against normal ranks that are reported because of noise.
func TestStragglerDetectorFindsAndClears(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 1))
	d := NewStragglerDetector(64, DefaultStragglerSettings())
	times := make([]float64, 64)
	observe := func(steps int, factor float64) {
		for range steps {
			noisyTimes(rng, times)
			times[5] *= factor
			require.NoError(t, d.Observe(times))
		}
	}
	observe(5000, 1)
	require.Empty(t, d.Slow())
	observe(60, 1.5)
	require.Equal(t, []int{5}, d.Slow())
	require.InDelta(t, 1/1.5, d.Speeds()[5], 0.1)
	observe(100, 1)
	require.Empty(t, d.Slow())
}
