package main

import (
	"fmt"
	"time"

	"lavendermoor.example/admission/internal/simulation"
)

// predictionAccuracy measures the accuracy of predicted waits during 60 s at 1.5 times the capacity: the fraction of
// accepted requests that meet their deadline, the fraction refused on arrival, and quantiles of Retry-After.
func (m *measurement) predictionAccuracy() {
	sc := simulation.Scenario{
		Classes: mixed(), Customers: tenCustomers(), Parallel: parallel,
		Phases: []simulation.Phase{{Length: 60 * time.Second, Load: 1.5}},
	}
	fmt.Printf("\n## Accuracy of the predicted wait at 1.5 x capacity for 60 s, %d seeds\n\n", m.seeds)
	fmt.Println("| order | in time, % of accepted | refused on arrival % | Retry-After p50 s | p95 s |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range variants()[:4] {
		sc.Config = v.config
		printRow(v.name, m.runSeeds(sc, func(r *simulation.Result) []float64 {
			refused := r.Select(func(s *simulation.Sample) bool { return !s.Completed && s.Latency() == 0 })
			inTime := r.Select(func(s *simulation.Sample) bool { return s.InTime })
			for i := range refused {
				// Quantile sorts by latency, which is set to Retry-After here.
				refused[i].Ended = refused[i].Arrived + refused[i].RetryAfter
			}
			all, accepted := float64(len(r.Samples)), float64(len(r.Samples)-len(refused))
			return []float64{
				100 * float64(len(inTime)) / accepted, 100 * float64(len(refused)) / all,
				simulation.Quantile(refused, 0.5).Seconds(), simulation.Quantile(refused, 0.95).Seconds(),
			}
		}))
	}
}
