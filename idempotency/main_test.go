package idempotency

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the random tests; flags on the command line take precedence.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
