// Command measure prints the comparison of routing policies in docs/measurements/routing.md.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"time"

	"lavendermoor.example/routing"
	"lavendermoor.example/routing/simulation"
)

// variant is a policy with the name of its table row.
type variant struct {
	name   string
	policy func() routing.Policy
}

func main() {
	size := flag.String("size", "small", "size of the simulation: small, large or cold (large, just after the start)")
	seed := flag.Uint64("seed", 1, "seed of the simulation")
	rate := flag.Float64("rate", 0, "requests per second instead of the rate of the size")
	only := flag.String("only", "", "run only the policy with this name")
	flag.Parse()
	cold := simulation.Large
	cold.Duration = 80 * time.Second
	o, ok := map[string]simulation.Options{"small": simulation.Small, "large": simulation.Large, "cold": cold}[*size]
	if !ok {
		flag.Usage()
		os.Exit(2)
	}
	o.Seed = *seed
	if *rate > 0 {
		o.Rate = *rate
	}
	fmt.Println("policy             | cached | load  | first 95% | busy  | requests")
	for _, v := range variants() {
		if *only != "" && *only != v.name {
			continue
		}
		r, err := simulation.Run(o, v.policy)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("%-18s | %v\n", v.name, r)
	}
}

func variants() []variant {
	var out []variant
	for _, name := range routing.PolicyNames {
		out = append(out, variant{name, func() routing.Policy {
			p, _ := routing.PolicyByName(name) // All PolicyNames are valid.
			return p
		}})
	}
	addBounded := func(name string, b routing.AffinityBound) {
		out = append(out, variant{name, func() routing.Policy { return routing.AffinityPolicy(b) }})
	}
	for _, f := range []float64{1.1, 1.5, 2} {
		b := routing.DefaultAffinityBound
		b.LoadFactor = f
		addBounded(fmt.Sprint("factor ", f), b)
	}
	for _, s := range []float64{0.05, 0.1, 0.5, 1, math.Inf(1)} {
		b := routing.DefaultAffinityBound
		b.MaxPrefixShare = s
		addBounded(fmt.Sprint("share ", s), b)
	}
	for _, n := range []int{4, 16} {
		out = append(out, variant{fmt.Sprintf("first %d blocks", n), func() routing.Policy {
			return routing.AffinityPolicy(routing.DefaultAffinityBound).WithPrefixHash(simulation.FixedPrefixHash(n))
		}})
	}
	return out
}
