package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/workload"
)

var usualWork = workload.Amount{Reading: 16 * time.Millisecond, Generation: 60 * time.Millisecond}

func engineFleet(servers int, now time.Time) *Fleet {
	f := NewFleet(noDialect{}, "d")
	var listed []catalog.Server
	for i := range servers {
		listed = append(listed, server("s"+strconv.Itoa(i)))
	}
	f.Update(listed, time.Time{}, now)
	f.SetOrderStart(0)
	return f
}

func pickForWork(t testing.TB, f *Fleet, reading time.Duration, now time.Time) *Backend {
	t.Helper()
	b, err := f.Pick(PickOptions{
		Service: "s", Now: now, Random: func() float64 { return 0.5 },
		Work: &PickWork{Amount: workload.Amount{Reading: reading, Generation: usualWork.Generation}, Usual: usualWork},
	})
	require.NoError(t, err)
	return b
}

// Guards against two long prompts that are read at the same time on one server: all ranks of its group wait for both.
// Once the first event shows that a prompt was read, only the stream counts.
func TestUnreadPromptsAreSpread(t *testing.T) {
	now := time.Now()
	f := engineFleet(2, now)
	long := workload.Amount{Reading: 50 * time.Millisecond, Generation: 10 * time.Millisecond}
	first := pickForWork(t, f, long.Reading, now)
	first.Begin(0, now)
	first.AddWork(long)
	for range 2 {
		b := pickForWork(t, f, usualWork.Reading, now)
		require.NotSame(t, first, b, "its prompt has not been read")
		b.Begin(0, now)
		b.AddWork(workload.Amount{Generation: usualWork.Generation})
	}
	first.ObserveEvent(workload.Amount{Reading: long.Reading}, now)
	require.Same(t, first, pickForWork(t, f, usualWork.Reading, now))
}

// Guards against work that stays counted after the end of a request.
func TestWorkReturnsToZero(t *testing.T) {
	now := time.Now()
	b := engineFleet(1, now).Backends("s")[0]
	a := workload.Amount{Reading: 3, Generation: 7}
	b.AddWork(a)
	b.ObserveEvent(workload.Amount{Reading: 3, Generation: 2}, now)
	b.FinishWork(workload.Amount{Generation: 5})
	require.Zero(t, b.Dump(now).WorkMs)
}

// Guards against gateways that meet on the same servers by chance because none knows the streams of the others. Random
// ties of 24 gateways with 8 streams each gave one of 32 servers 12 streams, twice the mean of 6.
func TestGatewaysFillDifferentServersFirst(t *testing.T) {
	const gateways, servers, streams = 24, 32, 8
	now := time.Now()
	sums := map[string]int{}
	for g := range gateways {
		f := engineFleet(servers, now)
		f.SetOrderStart(float64(g) / gateways)
		for range streams {
			b := pickForWork(t, f, usualWork.Reading, now)
			b.Begin(0, now)
			sums[b.Server().ID]++
		}
	}
	require.Len(t, sums, servers)
	for id, n := range sums {
		require.InDelta(t, gateways*streams/servers, n, 1, id)
	}
}

// Guards against gateways that meet on the first servers of a group because its servers follow each other in the list:
// the starts of half of the gateways then lie outside of it. In list order, the
// sums of 8 streams from each of 24 gateways were 3 to 15.
func TestGatewaysFillDifferentServersOfEachGroup(t *testing.T) {
	const gateways, streams = 24, 8
	now := time.Now()
	sums := map[string]int{}
	for g := range gateways {
		f := engineFleet(64, now)
		f.SetOrderStart(float64(g) / gateways)
		for i, b := range f.Backends("s") {
			group := "g" + strconv.Itoa(i/32)
			f.ApplyGroupReport("s", b.Pool.Address(), GroupReport{Group: group, Epoch: 1, Serving: true, RequestedAt: now})
		}
		for range streams {
			b, err := f.Pick(PickOptions{
				Service: "s", HasGroup: true, Group: "g1", Now: now, Work: &PickWork{Amount: usualWork, Usual: usualWork},
			})
			require.NoError(t, err)
			b.Begin(0, now)
			sums[b.Server().ID]++
		}
	}
	most, least := 0, gateways
	for _, n := range sums {
		most, least = max(most, n), min(least, n)
	}
	t.Log(len(sums), least, most)
	require.Len(t, sums, 32)
	require.LessOrEqual(t, most, 10, "the mean is 6")
}

// Guards against an order that differs between gateways because the lists arrive in different orders.
func TestOrderFollowsIDs(t *testing.T) {
	now := time.Now()
	f, g := NewFleet(noDialect{}, "d"), NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b"), server("c")}, time.Time{}, now)
	g.Update([]catalog.Server{server("c"), server("a"), server("b")}, time.Time{}, now)
	for _, id := range []string{"a", "b", "c"} {
		require.InDelta(t, f.backend(t, id).status(now, "d").position, g.backend(t, id).status(now, "d").position, 0)
	}
}

// Guards against gateways that all fill the same servers first while they do not know how many they are.
func TestOrderIsRandomWhileTheGatewaysAreUnknown(t *testing.T) {
	now := time.Now()
	f := NewFleet(noDialect{}, "d")
	f.Update([]catalog.Server{server("a"), server("b"), server("c")}, time.Time{}, now)
	for first, want := range f.Backends("s") {
		calls := 0
		random := func() float64 {
			calls++
			if calls-1 == first {
				return 0
			}
			return 0.9
		}
		b, err := f.Pick(PickOptions{
			Service: "s", Now: now, Random: random, Work: &PickWork{Amount: usualWork, Usual: usualWork},
		})
		require.NoError(t, err)
		require.Same(t, want, b)
	}
}

// Guards against a change of the choice for services without engines: ties are broken at random, not by the order.
func TestServicesWithoutEnginesIgnoreTheOrder(t *testing.T) {
	now := time.Now()
	f := engineFleet(4, now)
	first := pickID(t, f, now)
	for _, start := range []float64{0.25, 0.5, 0.75} {
		f.SetOrderStart(start)
		require.Equal(t, first, pickID(t, f, now))
	}
}

// BenchmarkPick63 measures the choice among 63 servers, for a service without engines and by work.
func BenchmarkPick63(b *testing.B) {
	now := time.Now()
	f := engineFleet(63, now)
	f.ApplyGroupReport("s", "s0:80", GroupReport{Group: "g", Epoch: 1, Serving: true, RequestedAt: now})
	for i, backend := range f.Backends("s") {
		for range i % 5 {
			backend.Begin(100, now)
			backend.AddWork(usualWork)
		}
	}
	opts := PickOptions{Service: "s", Now: now, Random: func() float64 { return 0.5 }}
	run := func(name string, o PickOptions) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.Pick(o); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	run("tokens", opts)
	opts.Work = &PickWork{Amount: usualWork, Usual: usualWork}
	run("work", opts)
}
