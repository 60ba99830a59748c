package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/expertmap"
)

// popularity returns the share of each expert of a layer, given the experts in order of decreasing share. A few are
// chosen often, the others rarely.
func popularity(order []int) []float64 {
	out := make([]float64, len(order))
	total := 0.0
	for i, e := range order {
		out[e] = 1 / float64((i+1)*(i+1))
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

// demandFixture generates counts at the ranks and lets a Demand observe them.
type demandFixture struct {
	demand *Demand
	shape  expertmap.Shape
	rng    *rand.Rand
	states []State
	now    time.Time
}

func newDemandFixture(s expertmap.Shape) *demandFixture {
	d := &demandFixture{
		demand: NewDemand(s, 700*time.Millisecond), shape: s, rng: rand.New(rand.NewPCG(4, 4)), states: make([]State, s.Ranks),
		now: time.Now(),
	}
	for r := range d.states {
		d.states[r] = State{Epoch: 1, Counts: make(Counts, s.Layers*s.Experts)}
	}
	return d
}

// observe adds choices with the given shares, with random variation, and returns the estimate of the first layer.
func (d *demandFixture) observe(shares []float64) []float64 {
	const choices, spread = 4000, 0.4
	for r := range d.states {
		d.states[r].Counts = slices.Clone(d.states[r].Counts)
		for i := range d.states[r].Counts {
			share := shares[i%d.shape.Experts] * (1 + spread*(2*d.rng.Float64()-1))
			d.states[r].Counts[i] += uint16(choices * share)
		}
	}
	d.now = d.now.Add(200 * time.Millisecond)
	d.demand.Observe(d.states, d.now)
	load, known := d.demand.Load()
	if !known {
		return nil
	}
	return load.Layer(0)
}

// Guards against maps for a mixture of old and new demand. The estimate was wrong for more than a second after a shift.
// In this time, two or three maps were loaded without benefit, and passes were long. Scenario: the experts in demand
// change every few seconds.
func TestDemandResetsAfterAShift(t *testing.T) {
	s := expertmap.Shape{Ranks: 4, Experts: 32, Layers: 2, Slots: 10}
	d := newDemandFixture(s)
	order := d.rng.Perm(s.Experts)
	before := popularity(order)
	d.observe(before)
	for range 10 {
		require.Less(t, distanceOfShares(d.observe(before), before), 0.1)
	}
	slices.Reverse(order)
	after := popularity(order)
	require.Less(t, distanceOfShares(d.observe(after), after), 0.15, "the first poll after the shift shows it")
}

// Guards against a first map for a mixture of old and new demand, which suits neither. Load: the demand shifts in the
// middle of a poll interval.
func TestPollWithOldAndNewDemandIsNotUsed(t *testing.T) {
	s := expertmap.Shape{Ranks: 4, Experts: 32, Layers: 2, Slots: 10}
	for _, fraction := range []float64{0.1, 0.3, 0.5, 0.6} {
		d := newDemandFixture(s)
		order := d.rng.Perm(s.Experts)
		before := popularity(order)
		for range 10 {
			d.observe(before)
		}
		slices.Reverse(order)
		after := popularity(order)
		mixed := make([]float64, s.Experts)
		for e := range mixed {
			mixed[e] = fraction*after[e] + (1-fraction)*before[e]
		}
		d.observe(mixed)
		require.Less(t, distanceOfShares(d.observe(after), after), 0.15, "after the first whole poll")
	}
}

// Guards against estimates that are thrown away, and maps that are changed, without a shift of demand. Load: polls of 16
// ranks of 63 in 80 ms, whose requests choose related experts.
func TestNoiseIsNoShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newShiftModel(t, firstShape, 5)
		d := NewDemand(firstShape, 700*time.Millisecond)
		const polls, interval = 150, 80 * time.Millisecond
		for range polls {
			m.count(interval.Seconds())
			states := make([]State, len(m.ranks))
			for i, r := range m.ranks {
				states[i] = State{Epoch: 1, Counts: r.counts}
			}
			time.Sleep(interval)
			d.Observe(states, time.Now())
		}
		require.Zero(t, d.shiftedAt)
		m.shift()
		m.count(interval.Seconds())
		states := make([]State, len(m.ranks))
		for i, r := range m.ranks {
			states[i] = State{Epoch: 1, Counts: r.counts}
		}
		d.Observe(states, time.Now())
		require.Equal(t, time.Now(), d.shiftedAt, "the first poll after a shift shows it")
	})
}

// Guards against an estimate that follows the random variation of the mix of concurrent requests.
func TestDemandAveragesWithoutAShift(t *testing.T) {
	s := expertmap.Shape{Ranks: 4, Experts: 32, Layers: 2, Slots: 10}
	d := newDemandFixture(s)
	shares := popularity(d.rng.Perm(s.Experts))
	tilted := popularity(d.rng.Perm(s.Experts))
	for e := range tilted {
		tilted[e] = 0.85*shares[e] + 0.15*tilted[e]
	}
	d.observe(shares)
	for range 10 {
		d.observe(shares)
	}
	require.Less(t, distanceOfShares(d.observe(tilted), shares), 0.5*distanceOfShares(tilted, shares))
}

// distanceOfShares returns the total variation distance, 0 to 1, of two distributions.
func distanceOfShares(a, b []float64) float64 {
	total, sumA, sumB := 0.0, sum(a), sum(b)
	for i := range a {
		total += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return total / 2
}
