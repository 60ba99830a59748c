package agent

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"lavendermoor.example/expertmap/rollout"
)

// Dimensions of the maps of a group of 63 ranks.
const testLayers, testRanks, testSlots, testExperts = 8, 63, 5, 252

func randomMap(rng *rand.Rand) [][][]uint16 {
	out := make([][][]uint16, testLayers)
	for l := range out {
		for range testRanks {
			var held []uint16
			for _, e := range rng.Perm(testExperts)[:testSlots] {
				held = append(held, uint16(e))
			}
			out[l] = append(out[l], held)
		}
	}
	return out
}

// changed returns a copy of a map with n changed slots.
func changed(experts [][][]uint16, rng *rand.Rand, n int) [][][]uint16 {
	out := make([][][]uint16, len(experts))
	for l := range experts {
		for _, held := range experts[l] {
			out[l] = append(out[l], append([]uint16{}, held...))
		}
	}
	for range n {
		out[rng.IntN(testLayers)][rng.IntN(testRanks)][rng.IntN(testSlots)] = uint16(rng.IntN(testExperts))
	}
	return out
}

// Guards against changes of a map that lead to another map than the one that was planned.
func TestChangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Uint16(), 0, 20)
		ranks := rapid.IntRange(1, 6).Draw(t, "ranks")
		layers := rapid.SliceOfN(rapid.SliceOfN(list, ranks, ranks), 1, 3)
		from := layers.Draw(t, "from")
		to := rapid.SliceOfN(rapid.SliceOfN(list, ranks, ranks), len(from), len(from)).Draw(t, "to")
		changes, ok := encodeChanges(from, to)
		require.True(t, ok)
		got, err := applyChanges(from, changes)
		require.NoError(t, err)
		require.Equal(t, newMapVersion(to).digest, newMapVersion(got).digest)
	})
}

// Guards against an agent that fails on changes that it cannot decode.
func TestInvalidChangesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _ = applyChanges([][][]uint16{{{1, 2}, {3}}}, rapid.SliceOf(rapid.Byte()).Draw(t, "changes"))
	})
	_, err := applyChanges([][][]uint16{{{1, 2}, {3}}}, []byte{7, 1, 5})
	var invalid *ChangesError
	require.ErrorAs(t, err, &invalid)
}

// Guards against map changes that wait for the planner's link of 8 Mbit/s: the whole map for 63 agents took 0.2 s of it.
// Load: the second map after a shift of demand, which changes 100 of 2,520 slots.
func TestPrepareHasOnlyTheChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := &Codec{}
	var maps mapStore
	first := rollout.Order{Operation: rollout.Prepare, Version: 1, Experts: randomMap(rng), Report: &rollout.OrderReport{}}
	second := rollout.Order{Operation: rollout.Prepare, Version: 2, Experts: changed(first.Experts, rng, 100)}
	second.Report = &rollout.OrderReport{}
	for _, o := range []rollout.Order{first, second} {
		body, err := c.encode(o)
		require.NoError(t, err)
		if o.Version == 2 {
			const maxBytes = 700
			require.Less(t, len(body), maxBytes)
		}
		got, err := decodeOrder(bytes.NewReader(body), &maps)
		require.NoError(t, err)
		require.Equal(t, o, got)
	}
}

// Guards against an agent that has missed a map, or was restarted, and can't load the next one. It gets the whole map.
func TestAgentThatDoesNotKnowTheBaseGetsTheWholeMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	codec := &Codec{}
	ranks := []*recordingRank{{}, {}}
	var clients []*Client
	for _, rank := range ranks {
		c := serveAgent(t, rank)
		c.codec = codec
		clients = append(clients, c)
	}
	experts := randomMap(rng)
	for version := int64(1); version <= 3; version++ {
		experts = changed(experts, rng, 50)
		for i, c := range clients {
			if i == 1 && version == 2 {
				continue // The second agent misses this version.
			}
			o := rollout.Order{Operation: rollout.Prepare, Version: version, Experts: experts}
			require.NoError(t, c.Order(t.Context(), o))
			require.Equal(t, o, ranks[i].orders[len(ranks[i].orders)-1])
		}
	}
}

// Guards against a group whose map cannot be changed while its sidecars are updated one by one: an agent of an earlier
// version decodes only compressed orders, and rejects others with status 400.
func TestEarlierAgentGetsCompressedOrders(t *testing.T) {
	var bodies [][]byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var buf bytes.Buffer
		_, _ = buf.ReadFrom(r.Body)
		bodies = append(bodies, buf.Bytes())
		if !strings.HasPrefix(buf.String(), "\x1f\x8b") {
			http.Error(w, "gzip: invalid header", http.StatusBadRequest)
		}
	}))
	t.Cleanup(srv.Close)
	c := NewClient(srv.Listener.Addr().String(), srv.Client(), &Codec{})
	require.NoError(t, c.Order(t.Context(), rollout.Order{Operation: rollout.Arm, Version: 3, Pass: 9}))
	require.Len(t, bodies, 2)
}

// BenchmarkOrder measures the processor time of an issuer and an agent for one order.
func BenchmarkOrder(b *testing.B) {
	router := mux.NewRouter()
	New(&discardingRank{}, zap.NewNop()).Register(router)
	srv := httptest.NewServer(router)
	b.Cleanup(srv.Close)
	c := NewClient(srv.Listener.Addr().String(), srv.Client(), &Codec{})
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, c.Order(context.Background(), rollout.Order{Operation: rollout.Arm, Version: 3, Pass: 9}))
	}
}

// discardingRank confirms each order.
type discardingRank struct{}

func (*discardingRank) State(context.Context, rollout.StateOptions) (rollout.State, error) {
	return rollout.State{}, nil
}

func (*discardingRank) Order(context.Context, rollout.Order) error { return nil }

// BenchmarkState measures the processor time of a planner and an agent for a poll of the state with counts.
func BenchmarkState(b *testing.B) {
	const increments = 1500
	rng := rand.New(rand.NewPCG(1, 5))
	rank := &countingRank{counts: make(rollout.Counts, testLayers*testExperts)}
	router := mux.NewRouter()
	New(rank, zap.NewNop()).Register(router)
	srv := httptest.NewServer(router)
	b.Cleanup(srv.Close)
	c := NewClient(srv.Listener.Addr().String(), srv.Client(), &Codec{})
	for b.Loop() {
		rank.counts = append(rollout.Counts{}, rank.counts...)
		for range increments {
			rank.counts[rng.IntN(len(rank.counts))]++
		}
		_, err := c.State(context.Background(), rollout.StateOptions{Counts: true})
		require.NoError(b, err)
	}
}

// countingRank reports counts.
type countingRank struct {
	discardingRank
	counts rollout.Counts
}

func (r *countingRank) State(context.Context, rollout.StateOptions) (rollout.State, error) {
	return rollout.State{Group: "g", Epoch: 3, Size: 63, Serving: true, Version: 131073, Pace: 1, Counts: r.counts}, nil
}
