package instances

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed of the property tests is fixed; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// Guards against a cache that differs from the platform's list after a sequence of complete lists and deltas, from
// processes that are ahead or behind and have seen different versions.
func TestCachesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platformList := List{}
		caches := []*Cache{NewCache(), NewCache(), NewCache(), NewCache()}
		index := rapid.IntRange(0, len(caches)-1)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				platformList = changeList(platformList, name.Draw(t, "name"), rapid.Bool().Draw(t, "present"),
					rapid.SampledFrom([]State{Live, Leaving}).Draw(t, "state"))
			},
			"observe": func(t *rapid.T) { caches[index.Draw(t, "cache")].ApplyList(platformList) },
			"exchange": func(t *rapid.T) {
				from, to := caches[index.Draw(t, "from")], caches[index.Draw(t, "to")]
				newest := max(from.Version(), to.Version())
				if delta := from.DeltaSince(to.Version()); delta != nil {
					require.NoError(t, to.ApplyDelta(delta))
				}
				require.Equal(t, newest, to.Version())
				if from.Version() == to.Version() {
					require.Equal(t, from.List(), to.List())
				}
			},
		})
	})
}

func changeList(l List, name string, present bool, state State) List {
	next := List{Version: l.Version + 1, Instances: []Instance{}}
	for _, i := range l.Instances {
		if i.Name != name {
			next.Instances = append(next.Instances, i)
		}
	}
	if present {
		next.Instances = append(next.Instances, Instance{Name: name, State: state})
	}
	sortByName(next.Instances)
	return next
}

// Guards against removed instances that stay in a cache that has missed more removals than the history of the source
// holds.
func TestDeltaAfterManyRemovalsIsComplete(t *testing.T) {
	source, lagging := NewCache(), NewCache()
	full := List{Version: 1}
	for range 2 * maxRemovals {
		full.Instances = append(full.Instances, Instance{Name: string(rune('a'+len(full.Instances)%26)) + string(rune(len(full.Instances)+0x100))})
	}
	source.ApplyList(full)
	lagging.ApplyList(full)
	for v := int64(2); v < 2*maxRemovals; v++ {
		source.ApplyList(List{Version: v, Instances: full.Instances[v:]})
	}
	require.NoError(t, lagging.ApplyDelta(source.DeltaSince(lagging.Version())))
	require.Equal(t, source.List(), lagging.List())
}
