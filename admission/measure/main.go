// Command measure simulates the admission queue and its baselines in virtual time and prints tables of the results.
// Results depend only on the seeds, except for the memory table.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"lavendermoor.example/admission"
	"lavendermoor.example/admission/internal/simulation"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	only := flag.String("only", "", "print only this table: blocking, crest, even-crest, share, retry, recovery, spread, memory")
	flag.Parse()
	m := &measurement{seeds: *seeds}
	tables := []struct {
		name string
		run  func()
	}{
		{"blocking", m.blocking},
		{"crest", func() { m.peak("mixed", mixed()) }},
		{"even-crest", func() { m.peak("even", withoutLongWork()) }},
		{"share", m.fairShare},
		{"retry", m.predictionAccuracy},
		{"recovery", m.limitRecovery},
		{"spread", m.exponentialTimes},
		{"memory", memory},
	}
	for _, t := range tables {
		if *only == "" || *only == t.name {
			t.run()
		}
	}
}

type measurement struct{ seeds int }

// runSeeds runs the scenario once for each seed and returns the median, minimum and maximum of each figure.
func (m *measurement) runSeeds(sc simulation.Scenario, figures func(*simulation.Result) []float64) []summary {
	var all [][]float64
	for seed := range m.seeds {
		sc.Seed = uint64(seed + 1)
		r, err := simulation.Run(&sc)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		all = append(all, figures(r))
	}
	out := make([]summary, len(all[0]))
	for i := range out {
		var column []float64
		for _, row := range all {
			column = append(column, row[i])
		}
		slices.Sort(column)
		out[i] = summary{column[0], column[len(column)/2], column[len(column)-1]}
	}
	return out
}

type summary struct{ low, median, high float64 }

func (s summary) String() string { return fmt.Sprintf("%.2f (%.2f-%.2f)", s.median, s.low, s.high) }

func printRow(name string, figures []summary) {
	fmt.Printf("| %s |", name)
	for _, f := range figures {
		fmt.Printf(" %s |", f)
	}
	fmt.Println()
}

func completedOfKind(k admission.Kind) func(*simulation.Sample) bool {
	return func(s *simulation.Sample) bool { return s.Class.Kind == k && s.Completed }
}

// blocking measures the latency of requests of each kind behind long requests at 90% load, and the throughput of long
// requests.
func (m *measurement) blocking() {
	const warm, end = 30 * time.Second, 330 * time.Second
	sc := simulation.Scenario{Classes: withoutDeadlines(mixed()), Customers: tenCustomers(), Parallel: parallel}
	window := func(s *simulation.Sample) bool { return s.Arrived >= warm && s.Arrived < end }
	figures := func(r *simulation.Result) []float64 {
		status := r.Select(func(s *simulation.Sample) bool { return completedOfKind(admission.Status)(s) && window(s) })
		command := r.Select(func(s *simulation.Sample) bool { return completedOfKind(admission.Command)(s) && window(s) })
		short := r.Select(func(s *simulation.Sample) bool { return completedOfKind(admission.Short)(s) && window(s) })
		long := r.Select(func(s *simulation.Sample) bool { return completedOfKind(admission.Long)(s) && window(s) })
		ended := r.Select(func(s *simulation.Sample) bool {
			return completedOfKind(admission.Long)(s) && s.Ended >= warm && s.Ended < end
		})
		p95 := func(x []simulation.Sample) float64 { return simulation.Quantile(x, 0.95).Seconds() }
		return []float64{p95(status), p95(command), p95(short), p95(long), float64(len(ended))}
	}
	fmt.Printf("\n## Blocking: 90%% load, 5%% of requests 50 times longer, %d seeds, median (range)\n\n", m.seeds)
	fmt.Println("p95 relative to the idle server for the same kind; long throughput relative to fifo.")
	fmt.Println("\n| order | status p95 | command p95 | short p95 | long p95 | long throughput |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	sc.Config = admission.DefaultConfig()
	sc.Phases = []simulation.Phase{{Length: end, Load: 0.02}}
	idle := m.runSeeds(sc, figures)
	sc.Phases = []simulation.Phase{{Length: end, Load: 0.9}}
	sc.Config = variants()[5].config
	fifo := m.runSeeds(sc, figures)
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		f := m.runSeeds(sc, figures)
		for i := range f {
			baseline := idle[i].median
			if i == 4 {
				baseline = fifo[i].median
			}
			f[i] = summary{f[i].low / baseline, f[i].median / baseline, f[i].high / baseline}
		}
		printRow(v.name, f)
	}
}

const (
	peakStart = 30 * time.Second
	peakEnd   = 40 * time.Second
	runEnd    = 70 * time.Second
)

// peak measures a traffic peak: 10 s at three times the capacity.
func (m *measurement) peak(name string, classes []simulation.Class) {
	sc := simulation.Scenario{Classes: classes, Customers: tenCustomers(), Parallel: parallel, Phases: []simulation.Phase{
		{Length: peakStart, Load: 0.7}, {Length: peakEnd - peakStart, Load: 3}, {Length: runEnd - peakEnd, Load: 0.7},
	}}
	value := 0.0
	for _, c := range classes {
		value += c.Share * c.Value
	}
	capacity := value * sc.CapacityRate() * (peakEnd - peakStart).Seconds()
	fmt.Printf("\n## Crest, %s mix: 70%% load, 3 x capacity for 10 s, 70%%; %d seeds, median (range)\n\n", name, m.seeds)
	fmt.Println("Goodput: value of responses in time during the crest over that of the same mix at full capacity.")
	fmt.Println("Recovery: seconds after the crest until 95% of the arrivals of each second get a response in time.")
	fmt.Println("\n| order | goodput | work in time / capacity | recovery of short kinds s | of long work s | p99 age of refusals ms | refused late % |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		printRow(v.name, m.runSeeds(sc, func(r *simulation.Result) []float64 {
			inTime := r.Select(func(s *simulation.Sample) bool { return s.Ended >= peakStart && s.Ended < peakEnd && s.InTime })
			work := 0.0
			for i := range inTime {
				work += inTime[i].Class.Service.Seconds()
			}
			notCompleted := r.Select(func(s *simulation.Sample) bool { return !s.Completed && s.Arrived >= peakStart && s.Arrived < peakEnd })
			late := 0
			for i := range notCompleted {
				if notCompleted[i].Latency() > 0 {
					late++
				}
			}
			return []float64{
				simulation.Value(inTime) / capacity, work / parallel / (peakEnd - peakStart).Seconds(),
				recoveryTime(r, func(k admission.Kind) bool { return k != admission.Long }),
				recoveryTime(r, func(k admission.Kind) bool { return k == admission.Long }),
				float64(simulation.Quantile(notCompleted, 0.99).Milliseconds()), 100 * float64(late) / float64(max(len(notCompleted), 1)),
			}
		}))
	}
}

// recoveryTime returns the time in seconds from the end of the peak until 95% of the arrivals of every later second
// meet their deadline. Only kinds for which keep returns true count.
func recoveryTime(r *simulation.Result, keep func(admission.Kind) bool) float64 {
	seconds := int((runEnd - peakEnd) / time.Second)
	inTime, arrivals := make([]int, seconds), make([]int, seconds)
	for i := range r.Samples {
		s := &r.Samples[i]
		if s.Arrived < peakEnd || s.Arrived >= runEnd || !keep(s.Class.Kind) {
			continue
		}
		second := int((s.Arrived - peakEnd) / time.Second)
		arrivals[second]++
		if s.InTime {
			inTime[second]++
		}
	}
	for second := seconds - 1; second >= 0; second-- {
		if float64(inTime[second]) < 0.95*float64(arrivals[second]) {
			return float64(second + 1)
		}
	}
	return 0
}

// fairShare measures two customers of equal weight, of which one sends ten times its share.
func (m *measurement) fairShare() {
	sc := simulation.Scenario{Classes: mixed(), Parallel: parallel, Customers: []simulation.Customer{
		{Name: "steady", Weight: 1, Share: 0.45 / 5.45}, {Name: "flood", Weight: 1, Share: 5 / 5.45},
	}, Phases: []simulation.Phase{{Length: 60 * time.Second, Load: 5.45}}}
	fmt.Printf("\n## Fair share: weights 1:1, steady offers 0.45 and flood 5 x capacity for 60 s, %d seeds\n\n", m.seeds)
	fmt.Println("| order | steady in time | steady work / capacity | flood work / capacity | steady status p95 ms |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range variants() {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		printRow(v.name, m.runSeeds(sc, func(r *simulation.Result) []float64 {
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
			status := r.Select(func(s *simulation.Sample) bool {
				return s.Customer == "steady" && completedOfKind(admission.Status)(s)
			})
			return []float64{
				float64(good) / float64(all), work["steady"], work["flood"],
				float64(simulation.Quantile(status, 0.95).Milliseconds()),
			}
		}))
	}
}

// limitRecovery measures the adaptive limit before, during and after a period in which the server is four times slower.
func (m *measurement) limitRecovery() {
	sc := simulation.Scenario{Classes: mixed(), Customers: tenCustomers(), Parallel: parallel, Phases: []simulation.Phase{
		{Length: 60 * time.Second, Load: 0.9},
		{Length: 20 * time.Second, Load: 0.9, Slowdown: 4},
		{Length: 60 * time.Second, Load: 0.9},
	}}
	fmt.Printf("\n## Limit around 20 s at a quarter of the speed, %d seeds\n\n", m.seeds)
	fmt.Println("| order | limit before | lowest during | 5 s after | 20 s after | in time before | in time from 5 s after |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	inTime := func(r *simulation.Result, from, to time.Duration) float64 {
		all := r.Select(func(s *simulation.Sample) bool { return s.Arrived >= from && s.Arrived < to })
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
		printRow(v.name, m.runSeeds(sc, func(r *simulation.Result) []float64 {
			l := r.Limits
			return []float64{
				float64(l[59]), float64(slices.Min(l[60:80])), float64(l[84]), float64(l[99]),
				inTime(r, 20*time.Second, 60*time.Second), inTime(r, 85*time.Second, 140*time.Second),
			}
		}))
	}
}

// exponentialTimes measures the adaptive limit with exponential service times, whose means are noisy.
func (m *measurement) exponentialTimes() {
	sc := simulation.Scenario{
		Classes: withoutLongWork(), Customers: tenCustomers(), Parallel: parallel, Exponential: true,
		Phases: []simulation.Phase{{Length: 60 * time.Second, Load: 0.9}, {Length: 60 * time.Second, Load: 1.5}},
	}
	fmt.Printf("\n## Exponential service times without long work: 90%% load, then 1.5 x capacity, %d seeds\n\n", m.seeds)
	fmt.Println("| order | median limit at 90% | median limit at 150% | in time at 90% | work in time at 150% / capacity |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range variants()[:2] {
		sc.Config, sc.PriorityByKind = v.config, v.config.Policy == admission.Priority
		printRow(v.name, m.runSeeds(sc, func(r *simulation.Result) []float64 {
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
