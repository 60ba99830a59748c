package rankgroup

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rankapi"
	"lavendermoor.example/telemetry/invariant"
)

func smallSettings() Settings {
	set := DefaultSettings()
	set.Shape = expertmap.Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}
	return set
}

func balancedMap(t *testing.T, g *Group, version int64) *expertmap.Map {
	speed := make([]float64, g.set.Shape.Ranks)
	for i := range speed {
		speed[i] = 1
	}
	m, err := expertmap.Balanced(version, g.Load(), speed)
	require.NoError(t, err)
	return m
}

func failOnViolation(t *testing.T) {
	t.Cleanup(invariant.OnViolation(func(v *invariant.ViolationError) { t.Error(v) }))
}

// stepUntil runs steps until the group uses a version.
func stepUntil(t *testing.T, g *Group, version int64) {
	for range 10_000 {
		if g.Step().Version == version {
			return
		}
	}
	require.Fail(t, "the group does not switch")
}

func offerAll(t *testing.T, g *Group, m *expertmap.Map) {
	for i := range g.ranks {
		_, err := g.Offer(i, m)
		require.NoError(t, err)
	}
}

// Guards P1 when offers reach ranks at different times: the switch waits for the last rank.
func TestDelayedOfferDelaysMapSwitch(t *testing.T) {
	failOnViolation(t)
	g := New(smallSettings())
	offerAll(t, g, balancedMap(t, g, 1))
	stepUntil(t, g, 1)
	g.SetFaults(2, Faults{OfferDelaySeconds: 1})
	offerAll(t, g, balancedMap(t, g, 2))
	start := g.Seconds()
	stepUntil(t, g, 2)
	require.Greater(t, g.Seconds()-start, 0.99)
}

// Shows that the assertion of P1 fires when ranks use what they have loaded (the mechanism off).
func TestInvariantDetectsMixedMapVersions(t *testing.T) {
	violations := 0
	t.Cleanup(invariant.OnViolation(func(*invariant.ViolationError) { violations++ }))
	g := New(smallSettings())
	g.chooseMap = func(s *expertmap.MapSwitch, _ []expertmap.BarrierReport) (*expertmap.Map, error) {
		return s.Lookup(s.Report().High), nil
	}
	offerAll(t, g, balancedMap(t, g, 1))
	stepUntil(t, g, 1)
	g.SetFaults(2, Faults{OfferDelaySeconds: 1})
	offerAll(t, g, balancedMap(t, g, 2))
	stepUntil(t, g, 2)
	require.Positive(t, violations)
}

// Guards P1 over the death and restart of a rank: the group waits, and continues once the rank has the version.
func TestDeadRankStallsGroupUntilRestart(t *testing.T) {
	failOnViolation(t)
	g := New(smallSettings())
	m := balancedMap(t, g, 1)
	offerAll(t, g, m)
	stepUntil(t, g, 1)
	g.SetFaults(1, Faults{Dead: true})
	require.False(t, g.Step().Ran)
	g.SetFaults(1, Faults{})
	require.False(t, g.Step().Ran)
	_, err := g.Offer(1, m)
	require.NoError(t, err)
	stepUntil(t, g, 1)
}

// Guards the HTTP form of offers: a repeat is harmless, a gap is refused with the version that is missing.
func TestOfferOverHTTP(t *testing.T) {
	failOnViolation(t)
	g := New(smallSettings())
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	base, err := url.Parse(srv.URL + "/ranks/3")
	require.NoError(t, err)
	c := rankapi.NewClient(base, http.DefaultClient)
	offer := rankapi.Offer{Group: g.set.Group, Map: balancedMap(t, g, 1)}
	for range 2 {
		status, err := c.Offer(t.Context(), offer)
		require.NoError(t, err)
		require.Equal(t, int64(1), status.Top)
	}
	offer.Map = balancedMap(t, g, 3)
	_, err = c.Offer(t.Context(), offer)
	var refused *rankapi.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, int64(1), refused.Have)
	g.SetFaults(3, Faults{Dead: true})
	_, err = c.Status(t.Context(), false)
	require.Error(t, err)
}
