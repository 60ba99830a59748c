package proctest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/config/settings"
	"lavendermoor.example/side"
	"lavendermoor.example/standin/engineorders"
	"lavendermoor.example/standin/rankgroup"
)

// deployModelGroup starts a deployment with one model group and returns the URL of the stand-in for its ranks.
func deployModelGroup(t *testing.T) (*Deployment, string) {
	ranksAddress := FreeAddress(t)
	Start(t, "ranks", "lavendermoor-standin", "-role", "ranks", "-listen", ranksAddress, "-group", ModelName+"-1",
		"-ranks", "8", "-experts", "64", "-layers", "4", "-expert-slots", "10", "-memory", "500")
	waitStatusOK(t, "http://"+ranksAddress+"/standin/counts")
	d := Deploy(t, DeploymentOptions{
		Entries: 1, Models: 1, Slots: 4, DrainTimeout: time.Second, ModelVersion: "1", EngineArgs: []string{"-load-time", "50ms"},
		ModelSettings: func(s *side.Settings) {
			s.Experts = &side.ExpertSettings{Slots: 10, Poll: settings.Duration(20 * time.Millisecond), DecideEvery: 1}
			for i := range 8 {
				s.Experts.Ranks = append(s.Experts.Ranks, fmt.Sprintf("http://%s/ranks/%d", ranksAddress, i))
			}
			s.Orders = &side.OrderSettings{
				WeightRate: 1 << 30, LoadBytes: 1 << 20, Parallel: 1, Poll: settings.Duration(50 * time.Millisecond),
				LeaseTTL: settings.Duration(3 * time.Second), LeaseMargin: settings.Duration(time.Second),
			}
		},
	})
	return d, "http://" + ranksAddress
}

func groupCounts(t *testing.T, url string) rankgroup.Counts {
	var c rankgroup.Counts
	require.NoError(t, getJSON(url+"/standin/counts", &c))
	return c
}

// Guards against passes with mixed expert maps (invariant P1) and against orders that take effect twice when the
// sidecar of a group is paused, replaced by a second one and then resumed, so that both run at the same time.
func TestPausedSidecarIsReplacedAndResumed(t *testing.T) {
	d, ranksURL := deployModelGroup(t)
	first := d.ModelSidecars[0]
	waitActiveMap := func(version int64) {
		Eventually(t, fmt.Sprint("expert map version ", version), func() bool {
			return groupCounts(t, ranksURL).Active >= version
		})
	}
	waitLoaded := func(version string) {
		Eventually(t, "only version "+version+" is loaded", func() bool {
			var dump engineorders.Dump
			require.NoError(t, getJSON(first.BackendURL+"/standin/orders", &dump))
			return strings.Join(dump.Loaded, " ") == ModelName+"@"+version+":"
		})
	}
	waitActiveMap(3)
	waitLoaded("1")
	first.Pause()
	before := groupCounts(t, ranksURL).Active
	second := d.startSidecar(first.Settings.Name, 0, first.BackendURL)
	waitActiveMap(before + 3)
	out, code := d.Apply(fmt.Sprintf(
		`{"groups":[{"name":%q,"model":%q,"version":%q,"ranks":8,"experts":64,"layers":4}]}`,
		ModelName+"-1", ModelName, NextVersion))
	require.Zero(t, code, out)
	waitLoaded(NextVersion)
	first.Resume()
	var resumed struct{ Orders side.OrdersDump }
	Eventually(t, "the first sidecar has applied the version", func() bool {
		require.NoError(t, first.State(&resumed))
		return resumed.Orders.Applied.Version == NextVersion
	})
	waitActiveMap(groupCounts(t, ranksURL).Active + 3)
	second.Kill()
	waitActiveMap(groupCounts(t, ranksURL).Active + 3)
	require.Zero(t, groupCounts(t, ranksURL).Violations)
	var dump engineorders.Dump
	require.NoError(t, getJSON(first.BackendURL+"/standin/orders", &dump))
	require.Len(t, dump.Effects, 3, "load, load of the next version, unload: %+v", dump)
	require.GreaterOrEqual(t, dump.Floor, int64(3))
}
