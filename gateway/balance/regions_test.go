package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// Guards against requests to servers outside the allowed regions, also as a last resort, to servers of unknown region,
// and to servers that have moved to another domain or whose domain was assigned to another region.
func TestRequestsStayInTheAllowedRegions(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d1")
	f.Update([]catalog.Server{serverIn("a", "d1"), serverIn("b", "d2"), serverIn("c", "d3")}, time.Time{}, now)
	pick := func(regions Regions, tried ...*Backend) string {
		b, err := f.Pick(PickOptions{
			Service: "s", Random: func() float64 { return 0.5 }, Now: now, Tried: tried, Regions: regions,
		})
		if err != nil {
			return ""
		}
		return b.Server().ID
	}
	require.Empty(t, pick(Regions{"eu", ""}), "no region is known")
	f.SetRegions(map[string]string{"d1": "us", "d2": "eu", "d4": ""})
	require.Equal(t, "a", pick(nil))
	require.Equal(t, "b", pick(Regions{"eu", ""}))
	require.Empty(t, pick(Regions{"eu", ""}, f.byID("b")), "not as a last resort either")
	require.Empty(t, pick(Regions{}))
	require.False(t, f.byID("a").IsIn(Regions{"eu"}))
	require.True(t, f.HasServerIn("s", Regions{"eu"}))
	f.SetEvacuated([]string{"d2"}, now)
	require.False(t, f.HasServerIn("s", Regions{"eu"}), "evacuated servers are not usable")
	f.SetEvacuated(nil, now)
	f.SetRegions(map[string]string{"d1": "eu", "d2": "us"})
	require.Equal(t, "a", pick(Regions{"eu"}), "the domains have changed their regions")
	f.Update([]catalog.Server{serverIn("a", "d4"), serverIn("b", "d2")}, time.Time{}, now)
	require.Empty(t, pick(Regions{"eu"}), "the server has moved to another domain")
	require.False(t, f.HasServerIn("s", Regions{"eu"}))
}

// Guards against moving a stream whose only other servers are outside its regions, and against choosing a group without a
// server in an allowed region.
func TestAlternativesAndGroupsAreInTheAllowedRegions(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d1")
	f.Update([]catalog.Server{serverIn("a", "d1"), serverIn("b", "d2"), serverIn("c", "d2")}, time.Time{}, now)
	f.SetRegions(map[string]string{"d1": "us", "d2": "eu"})
	require.False(t, f.HasAlternative("s", f.byID("a"), Regions{"us"}))
	require.True(t, f.HasAlternative("s", f.byID("b"), Regions{"eu"}))
	require.True(t, f.HasAlternative("s", f.byID("a"), nil))
	f.ApplyGroupReport("s", f.byID("b").Pool.Address(), GroupReport{Group: "g", Epoch: 1, Serving: true, RequestedAt: now})
	require.Equal(t, map[string]bool{"": true}, f.GroupsIn("s", Regions{"us"}))
	require.True(t, f.GroupsIn("s", Regions{"eu"})["g"])
	require.Nil(t, f.GroupsIn("s", nil))
	require.Empty(t, f.GroupsIn("s", Regions{}))
}

// Guards against a list that another one replaces, and against two lists without a common region that allow everything.
func TestBothListsOfRegionsRestrict(t *testing.T) {
	require.Nil(t, IntersectRegions(nil, []string{}))
	require.Equal(t, Regions{"eu"}, IntersectRegions([]string{"eu"}, nil))
	require.Equal(t, Regions{"us"}, IntersectRegions(nil, []string{"us"}))
	require.Equal(t, Regions{"us"}, IntersectRegions([]string{"eu", "us"}, []string{"us", "ap"}))
	none := IntersectRegions([]string{"eu"}, []string{"us"})
	require.NotNil(t, none)
	require.Empty(t, none)
}
