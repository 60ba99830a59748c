// Command measure prints the comparison of rules for the choice of a rank in docs/design/expected-work.md.
package main

import (
	"flag"
	"fmt"
	"time"

	"lavendermoor.example/gateway/workload/simulation"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the runs")
	duration := flag.Duration("duration", 2*time.Minute, "virtual time of a run")
	experts := flag.Float64("experts", 0, "part of the work on tokens that all ranks share")
	factor := flag.Float64("rate", 1, "factor of the rates")
	only := flag.String("load", "", "run only the load with this name")
	flag.Parse()
	for _, l := range simulation.Loads() {
		if *only != "" && *only != l.Name {
			continue
		}
		fmt.Printf("\n%-21s| %s\n", l.Name, simulation.Header)
		o := simulation.Options{Seed: *seed, Duration: *duration, ExpertPart: *experts, RateFactor: *factor}
		var last simulation.Result
		for _, rule := range simulation.Rules() {
			last = simulation.Run(l, rule, o)
			fmt.Printf("%-21s| %v\n", rule.Name, last)
		}
		fmt.Printf("error of the estimate, median and 0.9 quantile: %.2f %.2f with a hint, %.2f %.2f without\n",
			last.HintedError[0], last.HintedError[1], last.PlainError[0], last.PlainError[1])
	}
}
