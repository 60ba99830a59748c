package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
)

// Guards against a server that was removed from the list and is used again because the list was restored from an older
// copy, however old the copy is (review/10). The copy may contain an entry that this process has not seen.
func TestRemovedServerStaysRemovedAfterARestore(t *testing.T) {
	for _, copied := range []int64{0, 4, 5, 6} {
		for _, age := range []time.Duration{time.Second, 16 * time.Second, time.Hour, 30 * 24 * time.Hour} {
			t.Run(fmt.Sprintf("sequence %d after %v", copied, age), func(t *testing.T) {
				now := time.Now()
				f := NewFleet(noDialect{}, "d")
				entry := func(seq int64) ServerList {
					return ServerList{Servers: []catalog.Server{startedServer("a", startTime, seq)}, Era: 2}
				}
				f.UpdateList(ServerList{Servers: []catalog.Server{startedServer("a", startTime, 5)}, Era: 1}, time.Time{}, now)
				f.UpdateList(ServerList{Era: 1}, time.Time{}, now)
				now = now.Add(age)
				for range 2 {
					f.UpdateList(entry(copied), now.Add(time.Second), now)
					require.Empty(t, pickID(t, f, now))
				}
				f.UpdateList(entry(7), time.Time{}, now)
				require.Equal(t, "a", pickID(t, f, now), "a later entry shows that the server runs")
				f.UpdateList(ServerList{Era: 2}, time.Time{}, now)
				f.UpdateList(entry(7), time.Time{}, now)
				require.Empty(t, pickID(t, f, now), "it was removed again")
				restarted := startedServer("a", startTime.Add(time.Second), 1)
				f.UpdateList(ServerList{Servers: []catalog.Server{restarted}, Era: 2}, time.Time{}, now)
				require.Equal(t, "a", pickID(t, f, now), "it has restarted")
			})
		}
	}
}

// Guards against a server that is lost for a heartbeat because its entry expired and was written again.
func TestEntryWrittenAgainShowsThatTheServerRuns(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{startedServer("a", startTime, 5)}, time.Time{}, now)
	f.Update(nil, time.Time{}, now)
	f.Update([]catalog.Server{startedServer("a", startTime, 6)}, time.Time{}, now)
	require.Equal(t, "a", pickID(t, f, now))
}

func removedKey(i int) catalog.Incarnation {
	return catalog.Incarnation{ID: fmt.Sprintf("i-%010x", i), StartedMs: startTime.UnixMilli()}
}

// Guards against a table that grows with each removal, and against one that forgets late removals first.
func TestRemovedTableIsBounded(t *testing.T) {
	table := newRemovedTable()
	entry := catalog.Server{ID: removedKey(0).ID, Started: startTime, Seq: 1}
	for i := range 3 * maxRemoved {
		table.add(removedKey(i), 1)
		if i == maxRemoved-1 {
			table.confirm(removedKey(0))
			table.add(removedKey(0), 1) // It is removed again, now as the latest one.
			require.True(t, table.includes(entry))
		}
		if i == 2*maxRemoved-3 {
			require.True(t, table.includes(entry))
		}
	}
	require.LessOrEqual(t, len(table.last), maxRemoved)
	require.LessOrEqual(t, len(table.order), maxRemoved)
	require.False(t, table.includes(entry))
	for i := 2*maxRemoved + 1; i < 3*maxRemoved; i++ {
		_, ok := table.last[removedKey(i)]
		require.True(t, ok)
	}
}

// BenchmarkRemovedTable measures the memory of a table of 2,900 servers that were removed once, and of a full one.
func BenchmarkRemovedTable(b *testing.B) {
	for _, n := range []int{2900, maxRemoved} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := newRemovedTable()
			for i := range n {
				table.add(removedKey(i), 1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				table.includes(catalog.Server{ID: "i-1", Started: startTime, Seq: 1})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/table")
			runtime.KeepAlive(table)
		})
	}
}
