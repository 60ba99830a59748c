package agent

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/expertmap/rollout"
)

// Guards against counts that change in transit: overflow, a restarted agent, and a response that was lost, so that the
// planner and the agent have different earlier counts.
func TestCountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver, prefix := &countStore{}, &countStore{}, "a"
		n := rapid.IntRange(1, 60).Draw(t, "n")
		for range rapid.IntRange(1, 8).Draw(t, "polls") {
			counts := rollout.Counts(rapid.SliceOfN(rapid.OneOf(rapid.Just(uint16(0)), rapid.Uint16Range(0, 6), rapid.Uint16()), n, n).Draw(t, "counts"))
			data, err := sender.encode(rollout.State{Rank: 2, Counts: counts}, receiver.lastID(), prefix)
			require.NoError(t, err)
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				continue // The response is lost.
			case 1:
				sender, prefix = &countStore{}, prefix+"b"
			}
			s, err := receiver.decode(bytes.NewReader(data))
			require.NoError(t, err)
			require.Equal(t, rollout.State{Rank: 2, Counts: counts}, s)
		}
	})
}

// Guards against invalid counts that are taken for valid ones, or that stop the planner.
func TestInvalidCountsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_ = addCounts(make(rollout.Counts, 5), rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
	})
	var invalid *CountsError
	require.ErrorAs(t, addCounts(make(rollout.Counts, 2), []byte{sparseCounts, 0x21}), &invalid)
	_, err := (&countStore{}).decode(bytes.NewReader([]byte(`{"counts_id":"b","counts_base":"a","counts_len":1}`)))
	require.ErrorAs(t, err, &invalid)
}

// Guards against counts that arrive every 0.3 s only, because 5.4 KB from each of 16 ranks fill a link of 8 Mbit/s.
// Load: a rank under full load counts 2,130 units in 80 ms, for 2,016 experts.
func TestCountsOfAShortIntervalAreSmall(t *testing.T) {
	const cells, units, maxBytes = testLayers * testExperts, 2130, 900
	rng := rand.New(rand.NewPCG(1, 4))
	before := make(rollout.Counts, cells)
	for i := range before {
		before[i] = uint16(rng.IntN(1 << 16))
	}
	after := append(rollout.Counts{}, before...)
	for range units {
		after[rng.IntN(cells)]++
	}
	var sender countStore
	_, err := sender.encode(rollout.State{Counts: before}, "", "a")
	require.NoError(t, err)
	data, err := sender.encode(rollout.State{Counts: after}, sender.lastID(), "a")
	require.NoError(t, err)
	t.Log(len(data))
	require.Less(t, len(data), maxBytes)
}
