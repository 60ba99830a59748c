// Command experttrial measures placement policies, straggler detection and the spreading of loads on stand-ins. It runs
// in virtual time, so all results except the decision times depend only on the seed. docs/measurements/expert-maps.md
// and docs/measurements/orders.md contain the results.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"lavendermoor.example/expertmap/controller"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("experttrial", flag.ContinueOnError)
	trial := flags.String("trial", "placement", "placement, stragglers or loads")
	seeds := flags.Int("seeds", 3, "number of seeds, from 1")
	steps := flags.Int("steps", 20_000, "placement: steps per run; stragglers: steps for measuring false alarms")
	workers := flags.Int("workers", 4, "placement: concurrent runs")
	pollsPerDecision := flags.Int("decide", 15, "placement: controller polls between decisions")
	budgetGiB := flags.Int64("budget", 64, "placement: maximum GiB transferred for one map")
	averagingSteps := flags.Float64("memory", controller.DefaultOptions().AveragingSteps, "placement: averaging time of the popularity in steps")
	policyNames := flags.String("policies", strings.Join(policies, ","), "placement: policies to compare; the first one is the baseline")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	var err error
	switch *trial {
	case "placement":
		err = placementTrial(os.Stdout, placementSize{
			*seeds, *steps, *workers, *pollsPerDecision, *budgetGiB, *averagingSteps, strings.Split(*policyNames, ","),
		})
	case "stragglers":
		err = stragglerTrial(os.Stdout, *seeds, *steps)
	case "loads":
		loadTrial(os.Stdout, *seeds)
	default:
		flags.Usage()
		return 2
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "experttrial:", err)
		return 1
	}
	return 0
}
