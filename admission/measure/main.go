// Command measure runs the admission queue against its baselines in virtual time and prints tables. Runs depend
// only on the seeds.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"lavendermoor.example/admission"
	"lavendermoor.example/admission/internal/virtual"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	only := flag.String("only", "", "one table: blocking, crest, even-crest, share, retry, recovery, spread, memory")
	flag.Parse()
	m := &measurement{seeds: *seeds}
	tables := []struct {
		name string
		run  func()
	}{
		{"blocking", m.blocking},
		{"crest", func() { m.crest("mixed", mixed()) }},
		{"even-crest", func() { m.crest("even", even()) }},
		{"share", m.share},
		{"retry", m.retry},
		{"recovery", m.recovery},
		{"spread", m.spreadOfTimes},
		{"memory", memory},
	}
	for _, t := range tables {
		if *only == "" || *only == t.name {
			t.run()
		}
	}
}

type measurement struct{ seeds int }

// each runs the scenario once for each seed and returns the median, lowest and highest of the figures.
func (m *measurement) each(sc virtual.Scenario, figures func(*virtual.Result) []float64) []spread {
	var all [][]float64
	for seed := range m.seeds {
		sc.Seed = uint64(seed + 1)
		r, err := virtual.Run(&sc)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		all = append(all, figures(r))
	}
	out := make([]spread, len(all[0]))
	for i := range out {
		var column []float64
		for _, row := range all {
			column = append(column, row[i])
		}
		slices.Sort(column)
		out[i] = spread{column[0], column[len(column)/2], column[len(column)-1]}
	}
	return out
}

type spread struct{ low, median, high float64 }

func (s spread) String() string { return fmt.Sprintf("%.2f (%.2f-%.2f)", s.median, s.low, s.high) }

func row(name string, figures []spread) {
	fmt.Printf("| %s |", name)
	for _, f := range figures {
		fmt.Printf(" %s |", f)
	}
	fmt.Println()
}

func ofKind(k admission.Kind) func(*virtual.Sample) bool {
	return func(s *virtual.Sample) bool { return s.Class.Kind == k && s.Ran }
}

// blocking measures status reads behind long work at 90% load, and the throughput of long work.
func (m *measurement) blocking() {
	const warm, end = 30 * time.Second, 330 * time.Second
	sc := virtual.Scenario{Classes: withoutDeadlines(mixed()), Customers: tenCustomers(), Parallel: parallel}
	window := func(s *virtual.Sample) bool { return s.Arrived >= warm && s.Arrived < end }
	figures := func(r *virtual.Result) []float64 {
		status := r.Select(func(s *virtual.Sample) bool { return ofKind(admission.Status)(s) && window(s) })
		command := r.Select(func(s *virtual.Sample) bool { return ofKind(admission.Command)(s) && window(s) })
		short := r.Select(func(s *virtual.Sample) bool { return ofKind(admission.Short)(s) && window(s) })
		long := r.Select(func(s *virtual.Sample) bool { return ofKind(admission.Long)(s) && window(s) })
		ended := r.Select(func(s *virtual.Sample) bool {
			return ofKind(admission.Long)(s) && s.Ended >= warm && s.Ended < end
		})
		p95 := func(x []virtual.Sample) float64 { return virtual.Quantile(x, 0.95).Seconds() }
		return []float64{p95(status), p95(command), p95(short), p95(long), float64(len(ended))}
	}
	fmt.Printf("\n## Blocking: 90%% load, 5%% of requests 50 times longer, %d seeds, median (range)\n\n", m.seeds)
	fmt.Println("p95 relative to the idle server for the same kind; long throughput relative to fifo.")
	fmt.Println("\n| order | status p95 | command p95 | short p95 | long p95 | long throughput |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	sc.Config = admission.DefaultConfig()
	sc.Phases = []virtual.Phase{{Length: end, Load: 0.02}}
	idle := m.each(sc, figures)
	sc.Phases = []virtual.Phase{{Length: end, Load: 0.9}}
	sc.Config = variants()[5].config
	fifo := m.each(sc, figures)
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		f := m.each(sc, figures)
		for i := range f {
			by := idle[i].median
			if i == 4 {
				by = fifo[i].median
			}
			f[i] = spread{f[i].low / by, f[i].median / by, f[i].high / by}
		}
		row(v.name, f)
	}
}

const (
	crestFrom = 30 * time.Second
	crestEnd  = 40 * time.Second
	runEnd    = 70 * time.Second
)

// crest measures 10 s of three times the capacity.
func (m *measurement) crest(name string, classes []virtual.Class) {
	sc := virtual.Scenario{Classes: classes, Customers: tenCustomers(), Parallel: parallel, Phases: []virtual.Phase{
		{Length: crestFrom, Load: 0.7}, {Length: crestEnd - crestFrom, Load: 3}, {Length: runEnd - crestEnd, Load: 0.7},
	}}
	value := 0.0
	for _, c := range classes {
		value += c.Share * c.Value
	}
	capacity := value * sc.CapacityRate() * (crestEnd - crestFrom).Seconds()
	fmt.Printf("\n## Crest, %s mix: 70%% load, 3 x capacity for 10 s, 70%%; %d seeds, median (range)\n\n", name, m.seeds)
	fmt.Println("Goodput: value of answers in time during the crest over that of the same mix at full capacity.")
	fmt.Println("Recovery: seconds after the crest until 95% of the arrivals of each second are answered in time.")
	fmt.Println("\n| order | goodput | work in time / capacity | recovery of short kinds s | of long work s | p99 age of refusals ms | refused late % |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		row(v.name, m.each(sc, func(r *virtual.Result) []float64 {
			in := r.Select(func(s *virtual.Sample) bool { return s.Ended >= crestFrom && s.Ended < crestEnd && s.InTime })
			work := 0.0
			for i := range in {
				work += in[i].Class.Service.Seconds()
			}
			lost := r.Select(func(s *virtual.Sample) bool { return !s.Ran && s.Arrived >= crestFrom && s.Arrived < crestEnd })
			late := 0
			for i := range lost {
				if lost[i].Latency() > 0 {
					late++
				}
			}
			return []float64{
				virtual.Value(in) / capacity, work / parallel / (crestEnd - crestFrom).Seconds(),
				recovery(r, func(k admission.Kind) bool { return k != admission.Long }),
				recovery(r, func(k admission.Kind) bool { return k == admission.Long }),
				float64(virtual.Quantile(lost, 0.99).Milliseconds()), 100 * float64(late) / float64(max(len(lost), 1)),
			}
		}))
	}
}

// recovery returns the seconds after the crest from which 95% of the arrivals of each second that keep accepts
// are in time.
func recovery(r *virtual.Result, keep func(admission.Kind) bool) float64 {
	bins := int((runEnd - crestEnd) / time.Second)
	good, all := make([]int, bins), make([]int, bins)
	for i := range r.Samples {
		s := &r.Samples[i]
		if s.Arrived < crestEnd || s.Arrived >= runEnd || !keep(s.Class.Kind) {
			continue
		}
		bin := int((s.Arrived - crestEnd) / time.Second)
		all[bin]++
		if s.InTime {
			good[bin]++
		}
	}
	for b := bins - 1; b >= 0; b-- {
		if float64(good[b]) < 0.95*float64(all[b]) {
			return float64(b + 1)
		}
	}
	return 0
}

// share measures two customers of equal weight, of which one sends ten times its share.
func (m *measurement) share() {
	sc := virtual.Scenario{Classes: mixed(), Parallel: parallel, Customers: []virtual.Customer{
		{Name: "steady", Weight: 1, Share: 0.45 / 5.45}, {Name: "flood", Weight: 1, Share: 5 / 5.45},
	}, Phases: []virtual.Phase{{Length: 60 * time.Second, Load: 5.45}}}
	fmt.Printf("\n## Fair share: weights 1:1, steady offers 0.45 and flood 5 x capacity for 60 s, %d seeds\n\n", m.seeds)
	fmt.Println("| order | steady in time | steady work / capacity | flood work / capacity | steady status p95 ms |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		row(v.name, m.each(sc, func(r *virtual.Result) []float64 {
			all, good := 0, 0
			work := map[string]float64{}
			for i := range r.Samples {
				s := &r.Samples[i]
				if s.InTime && s.Ended < 60*time.Second {
					work[s.Customer] += s.Class.Service.Seconds() / parallel / 60
				}
				if s.Customer == "steady" {
					all++
					if s.InTime {
						good++
					}
				}
			}
			status := r.Select(func(s *virtual.Sample) bool {
				return s.Customer == "steady" && ofKind(admission.Status)(s)
			})
			return []float64{
				float64(good) / float64(all), work["steady"], work["flood"],
				float64(virtual.Quantile(status, 0.95).Milliseconds()),
			}
		}))
	}
}

// recovery measures the learned limit around a period in which the server is four times slower.
func (m *measurement) recovery() {
	sc := virtual.Scenario{Classes: mixed(), Customers: tenCustomers(), Parallel: parallel, Phases: []virtual.Phase{
		{Length: 60 * time.Second, Load: 0.9},
		{Length: 20 * time.Second, Load: 0.9, Slowdown: 4},
		{Length: 60 * time.Second, Load: 0.9},
	}}
	fmt.Printf("\n## Limit around 20 s at a quarter of the speed, %d seeds\n\n", m.seeds)
	fmt.Println("| order | limit before | lowest during | 5 s after | 20 s after | in time before | in time from 5 s after |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	inTime := func(r *virtual.Result, from, to time.Duration) float64 {
		all := r.Select(func(s *virtual.Sample) bool { return s.Arrived >= from && s.Arrived < to })
		good := 0
		for i := range all {
			if all[i].InTime {
				good++
			}
		}
		return float64(good) / float64(len(all))
	}
	for _, v := range variants()[:2] {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		row(v.name, m.each(sc, func(r *virtual.Result) []float64 {
			l := r.Limits
			return []float64{
				float64(l[59]), float64(slices.Min(l[60:80])), float64(l[84]), float64(l[99]),
				inTime(r, 20*time.Second, 60*time.Second), inTime(r, 85*time.Second, 140*time.Second),
			}
		}))
	}
}

// spreadOfTimes measures the learned limit with exponential service times, whose means are noisy.
func (m *measurement) spreadOfTimes() {
	sc := virtual.Scenario{
		Classes: even(), Customers: tenCustomers(), Parallel: parallel, Exponential: true,
		Phases: []virtual.Phase{{Length: 60 * time.Second, Load: 0.9}, {Length: 60 * time.Second, Load: 1.5}},
	}
	fmt.Printf("\n## Exponential service times without long work: 90%% load, then 1.5 x capacity, %d seeds\n\n", m.seeds)
	fmt.Println("| order | median limit at 90% | median limit at 150% | in time at 90% | work in time at 150% / capacity |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range variants()[:2] {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		row(v.name, m.each(sc, func(r *virtual.Result) []float64 {
			low, high := slices.Clone(r.Limits[20:60]), slices.Clone(r.Limits[60:120])
			slices.Sort(low)
			slices.Sort(high)
			good, all, work := 0, 0, 0.0
			for i := range r.Samples {
				s := &r.Samples[i]
				if s.Arrived < 60*time.Second {
					all++
					if s.InTime {
						good++
					}
				} else if s.InTime {
					work += s.Class.Service.Seconds()
				}
			}
			return []float64{
				float64(low[len(low)/2]), float64(high[len(high)/2]), float64(good) / float64(all), work / parallel / 60,
			}
		}))
	}
}
