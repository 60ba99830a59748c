package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
)

const benchModels = 28

func benchFleet(b *testing.B, replicas int) (*cluster.State, *membership.View) {
	f := &fleet{}
	for i := range benchModels {
		f.addModel(fmt.Sprintf("m%02d", i), max(replicas/benchModels, 1), nil)
	}
	return f.state(b), f.members().View(start)
}

// BenchmarkPick measures one decision at 1/10, 1 and 10 times the target number of replicas.
func BenchmarkPick(b *testing.B) {
	prompt := make([]byte, 4096)
	for _, replicas := range []int{290, 2900, 29_000} {
		st, v := benchFleet(b, replicas)
		for _, name := range []string{NameAffinity, NameRoundRobin, NameRandom, NameLeastInFlight} {
			policy, _ := PolicyByName(name)
			r := NewRouter(policy, domains[0])
			r.Update(st, v)
			for _, rep := range r.builder.replicas {
				rep.ObserveReport(start, Report{Running: 4, Limit: 16})
			}
			b.Run(fmt.Sprintf("%s/replicas=%d", name, replicas), func(b *testing.B) {
				q := Query{Now: start.Add(time.Second), Prompt: prompt}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					q.Random = uint64(i)
					q.Model = "m07"
					prompt[0] = byte(i)
					if _, err := r.Picker().Pick(q); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkUpdate measures building a picker: the first one, and one after a change that keeps the same replicas.
func BenchmarkUpdate(b *testing.B) {
	for _, replicas := range []int{290, 2900, 29_000} {
		st, v := benchFleet(b, replicas)
		b.Run(fmt.Sprintf("first/replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				NewRouter(affinity(), domains[0]).Update(st, v)
			}
		})
		b.Run(fmt.Sprintf("next/replicas=%d", replicas), func(b *testing.B) {
			r := NewRouter(affinity(), domains[0])
			r.Update(st, v)
			b.ReportAllocs()
			for b.Loop() {
				r.Update(st, v)
			}
		})
	}
}

// BenchmarkMemory measures the memory of membership and router per configured server, with one report from each server.
func BenchmarkMemory(b *testing.B) {
	f := &fleet{}
	for i := range benchModels {
		f.addModel(fmt.Sprintf("m%02d", i), 2900/benchModels, nil)
	}
	st := f.state(b)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := f.members()
		r := NewRouter(affinity(), domains[0])
		r.Update(st, m.View(start))
		for name, replica := range r.builder.replicas {
			replica.ObserveReport(start, Report{Running: 1, Limit: 16})
			m.ObserveReport(start, membership.Report{Server: name, Incarnation: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(f.servers)), "B/server")
		runtime.KeepAlive(r)
		runtime.KeepAlive(m)
	}
}
