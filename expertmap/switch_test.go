package expertmap

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var smallShape = Shape{Ranks: 3, Experts: 4, Layers: 1, Slots: 2}

// TestMain fixes the seed of the property tests; -rapid.seed selects another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20")
	flag.Parse()
	os.Exit(m.Run())
}

// testMap returns a small map; odd variants have another assignment than even ones.
func testMap(t require.TestingT, version int64, variant int) *Map {
	assign := []uint16{0, 1, 2, 3, 0, 2}
	if variant%2 == 1 {
		assign = []uint16{0, 1, 2, 3, 1, 3}
	}
	m, err := NewMap(version, smallShape, assign)
	require.NoError(t, err)
	return m
}

// Guards against a rank that skips a version or accepts two different maps under one version.
func TestOfferRejectsGapAndConflict(t *testing.T) {
	var s MapSwitch
	load, err := s.Offer(testMap(t, 4, 0))
	require.NoError(t, err)
	require.True(t, load)
	_, err = s.Offer(testMap(t, 6, 0))
	require.IsType(t, &VersionGapError{}, err)
	_, err = s.Offer(testMap(t, 4, 1))
	require.IsType(t, &DigestConflictError{}, err)
	load, err = s.Offer(testMap(t, 4, 0))
	require.NoError(t, err)
	require.False(t, load)
	require.Equal(t, BarrierReport{}, s.Report())
}

// Guards against a report that includes a loaded version although the one before it is still loading.
func TestReportCoversContiguousVersions(t *testing.T) {
	var s MapSwitch
	for v := int64(1); v <= 3; v++ {
		_, err := s.Offer(testMap(t, v, 0))
		require.NoError(t, err)
	}
	s.MarkLoaded(1)
	s.MarkLoaded(3)
	require.Equal(t, BarrierReport{Low: 1, High: 1}, s.Report())
	s.MarkLoaded(2)
	require.Equal(t, BarrierReport{Low: 1, High: 3}, s.Report())
}

// switchModel drives ranks that receive offers late, repeatedly and in any order, load maps independently of each
// other, and restart. chooseMap is the rule by which a rank selects its map at a barrier.
type switchModel struct {
	ranks []*MapSwitch
	// published holds the map of each version, as the key-value service stores it.
	published []*Map
	// last is the highest version used by a step.
	last      int64
	chooseMap func(s *MapSwitch, reports []BarrierReport) (*Map, error)
}

func barrierRule(s *MapSwitch, reports []BarrierReport) (*Map, error) { return s.BeginStep(reports) }

// newestLoadedRule ignores the other ranks' reports: each rank uses the newest map that it has loaded.
func newestLoadedRule(s *MapSwitch, _ []BarrierReport) (*Map, error) {
	return s.Lookup(s.Report().High), nil
}

// step runs a barrier and reports whether the ranks then use different maps.
func (m *switchModel) step(t *rapid.T) (mixed bool) {
	reports := make([]BarrierReport, len(m.ranks))
	for i, s := range m.ranks {
		reports[i] = s.Report()
	}
	used := map[string]bool{}
	for _, s := range m.ranks {
		got, err := m.chooseMap(s, reports)
		require.NoError(t, err)
		digest := "none"
		if got != nil {
			digest = got.Digest()
			m.last = max(m.last, got.Version)
		}
		used[digest] = true
	}
	return len(used) > 1
}

// explore runs one random schedule. It returns true if a step used two maps or the version in use decreased.
func (m *switchModel) explore(t *rapid.T) (broken bool) {
	for range rapid.IntRange(1, 80).Draw(t, "actions") {
		rank := m.ranks[rapid.IntRange(0, len(m.ranks)-1).Draw(t, "rank")]
		before := m.last
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0:
			m.published = append(m.published, testMap(t, int64(len(m.published)+1), rapid.IntRange(0, 1).Draw(t, "content")))
		case 1, 2, 3, 4:
			if len(m.published) > 0 {
				_, _ = rank.Offer(rapid.SampledFrom(m.published).Draw(t, "offer"))
			}
		case 5, 6, 7:
			rank.MarkLoaded(int64(rapid.IntRange(1, len(m.published)+1).Draw(t, "loaded")))
		case 8:
			if rapid.Bool().Draw(t, "restart") {
				*rank = MapSwitch{}
			}
		case 9:
			if m.step(t) {
				return true
			}
		}
		if m.last < before {
			return true
		}
	}
	return false
}

func newSwitchModel(chooseMap func(*MapSwitch, []BarrierReport) (*Map, error)) *switchModel {
	return &switchModel{ranks: []*MapSwitch{{}, {}, {}}, chooseMap: chooseMap}
}

// Guards invariant P1 (one map per step) against any schedule of late, repeated and reordered offers, loads and
// restarts.
func TestSwitchRuleNeverMixesMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.False(t, newSwitchModel(barrierRule).explore(t))
	})
}

// Shows that the model detects mixed steps when each rank uses the newest map that it has loaded.
func TestNewestLoadedMixesMaps(t *testing.T) {
	broken := false
	for seed := 1; seed <= 200 && !broken; seed++ {
		broken = rapid.Custom(newSwitchModel(newestLoadedRule).explore).Example(seed)
	}
	require.True(t, broken)
}

// Guards against a group that never switches: once every rank has loaded the newest version, the next step uses it,
// also after a restart of one rank.
func TestSwitchCompletesAfterRestart(t *testing.T) {
	ranks := []*MapSwitch{{}, {}, {}}
	offerLoaded := func(s *MapSwitch, versions ...int64) {
		for _, v := range versions {
			_, err := s.Offer(testMap(t, v, 0))
			require.NoError(t, err)
			s.MarkLoaded(v)
		}
	}
	step := func() []int64 {
		reports := make([]BarrierReport, len(ranks))
		for i, s := range ranks {
			reports[i] = s.Report()
		}
		out := make([]int64, len(ranks))
		for i, s := range ranks {
			m, err := s.BeginStep(reports)
			require.NoError(t, err)
			if m != nil {
				out[i] = m.Version
			}
		}
		return out
	}
	offerLoaded(ranks[0], 1, 2)
	offerLoaded(ranks[1], 1, 2)
	offerLoaded(ranks[2], 1)
	require.Equal(t, []int64{1, 1, 1}, step())
	*ranks[2] = MapSwitch{}
	require.Equal(t, []int64{0, 0, 0}, step())
	offerLoaded(ranks[2], 2)
	require.Equal(t, []int64{2, 2, 2}, step())
}

// Guards against a step that runs although a restarted rank holds only a version that another rank has not loaded yet.
func TestRestartedRankWithNewerVersionBlocksStep(t *testing.T) {
	reports := []BarrierReport{{Low: 1, High: 1}, {Low: 2, High: 2}}
	for _, own := range reports {
		var s MapSwitch
		_, err := s.Offer(testMap(t, own.Low, 0))
		require.NoError(t, err)
		s.MarkLoaded(own.Low)
		m, err := s.BeginStep(reports)
		require.NoError(t, err)
		require.Nil(t, m)
	}
}
