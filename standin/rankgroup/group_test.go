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
	settings := DefaultSettings()
	settings.Shape = expertmap.Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}
	return settings
}

func balancedMap(t *testing.T, g *Group, version int64) *expertmap.Map {
	speed := make([]float64, g.settings.Shape.Ranks)
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
	require.Fail(t, "the group did not switch")
}

func offerAll(t *testing.T, g *Group, m *expertmap.Map) {
	for i := range g.ranks {
		_, err := g.Offer(i, m)
		require.NoError(t, err)
	}
}

// Guards against a switch before the last rank has the map (invariant P1, one map per step) when offers take effect at
// different times.
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

// Guards against a check of invariant P1 that detects nothing. Without the barrier rule, each rank uses the newest map
// that it has loaded, so one step runs with two maps.
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

// Guards against steps without a rank that died, and against steps before the restarted rank has loaded the active map
// (invariant P1).
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

// Guards against failures of offers over HTTP: a repeated offer must have no effect, and an offer that skips a version
// must be refused with the highest version that the rank has.
func TestOfferOverHTTP(t *testing.T) {
	failOnViolation(t)
	g := New(smallSettings())
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	base, err := url.Parse(srv.URL + "/ranks/3")
	require.NoError(t, err)
	c := rankapi.NewClient(base, http.DefaultClient)
	offer := rankapi.Offer{Group: g.settings.Group, Map: balancedMap(t, g, 1)}
	for range 2 {
		status, err := c.Offer(t.Context(), offer)
		require.NoError(t, err)
		require.Equal(t, int64(1), status.HighestVersion)
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
