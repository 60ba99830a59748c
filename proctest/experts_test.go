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

// groupDeployment starts one model group with its ranks and returns the URL of their stand-in.
func groupDeployment(t *testing.T) (*Deployment, string) {
	ranks := FreeAddress(t)
	Start(t, "ranks", "lavendermoor-standin", "-role", "ranks", "-listen", ranks, "-group", Model+"-1",
		"-ranks", "8", "-experts", "64", "-layers", "4", "-expert-slots", "10", "-memory", "500")
	waitAnswers(t, "http://"+ranks+"/standin/counts")
	d := Deploy(t, Plan{
		Entries: 1, Models: 1, Slots: 4, DrainTimeout: time.Second, Version: "1", EngineArgs: []string{"-load-time", "50ms"},
		Model: func(s *side.Settings) {
			s.Experts = &side.ExpertSettings{Slots: 10, Poll: settings.Duration(20 * time.Millisecond), DecideEvery: 1}
			for i := range 8 {
				s.Experts.Ranks = append(s.Experts.Ranks, fmt.Sprintf("http://%s/ranks/%d", ranks, i))
			}
			s.Orders = &side.OrderSettings{
				WeightRate: 1 << 30, LoadBytes: 1 << 20, Parallel: 1, Poll: settings.Duration(50 * time.Millisecond),
				LeaseTTL: settings.Duration(3 * time.Second), LeaseMargin: settings.Duration(time.Second),
			}
		},
	})
	return d, "http://" + ranks
}

func groupCounts(t *testing.T, url string) rankgroup.Counts {
	var c rankgroup.Counts
	require.NoError(t, getJSON(url+"/standin/counts", &c))
	return c
}

// Guards P1 and orders without double effect over real processes: the side process of a group is paused, a second
// one takes its place, and the first wakes and goes on beside it.
func TestSideProcessPausedReplacedAndWoken(t *testing.T) {
	d, ranks := groupDeployment(t)
	first := d.Models[0]
	reach := func(version int64) {
		Eventually(t, fmt.Sprint("expert map version ", version), func() bool {
			return groupCounts(t, ranks).Active >= version
		})
	}
	loaded := func(version string) {
		Eventually(t, "version "+version+" is loaded, nothing else", func() bool {
			var dump engineorders.Dump
			require.NoError(t, getJSON(first.Backend+"/standin/orders", &dump))
			return strings.Join(dump.Loaded, " ") == Model+"@"+version+":"
		})
	}
	reach(3)
	loaded("1")
	first.Pause()
	before := groupCounts(t, ranks).Active
	second := d.startSide(first.Settings.Name, 0, first.Backend)
	reach(before + 3)
	out, code := d.Apply(fmt.Sprintf(
		`{"groups":[{"name":%q,"model":%q,"version":%q,"ranks":8,"experts":64,"layers":4}]}`, Model+"-1", Model, NextVersion))
	require.Zero(t, code, out)
	loaded(NextVersion)
	first.Resume()
	var woken struct{ Orders side.OrdersDump }
	Eventually(t, "the first process has issued its orders", func() bool {
		require.NoError(t, first.State(&woken))
		return woken.Orders.Applied.Version == NextVersion
	})
	reach(groupCounts(t, ranks).Active + 3)
	second.Kill()
	reach(groupCounts(t, ranks).Active + 3)
	require.Zero(t, groupCounts(t, ranks).Violations)
	var dump engineorders.Dump
	require.NoError(t, getJSON(first.Backend+"/standin/orders", &dump))
	require.Len(t, dump.Effects, 3, "load, load of the next version, unload: %+v", dump)
	require.GreaterOrEqual(t, dump.Floor, int64(3))
}
