// Command lavendermoor-load sends open-loop load to running entries and reports the results that callers see.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/loadgen"
	"lavendermoor.example/standin/engineserver"
)

type options struct {
	entries, compare                    string
	mix, keys                           string
	rate, peakFactor                    float64
	beforePeak, peakDuration, afterPeak time.Duration
	seed                                uint64
	jsonFile, plot                      string
	verify, onlyModel                   bool
}

// usageError reports an invalid command line.
type usageError struct{ problem string }

func (e *usageError) Error() string { return e.problem }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(code)
}

func parseFlags(args []string) (options, error) {
	var o options
	f := flag.NewFlagSet("lavendermoor-load", flag.ContinueOnError)
	f.StringVar(&o.entries, "entries", "http://127.0.0.1:7100", "URLs of entries, separated by commas, used round-robin")
	f.StringVar(&o.compare, "compare", "", "URLs of a second target, which gets every second request, for comparison in one run")
	f.StringVar(&o.mix, "mix", "association", "traffic: association or cooperative")
	f.StringVar(&o.keys, "keys", "", "bearer keys with their shares: KEY=SHARE,KEY=SHARE")
	f.Float64Var(&o.rate, "rate", 50, "requests per second")
	f.Float64Var(&o.peakFactor, "crest", 3, "factor of the rate during the peak")
	f.DurationVar(&o.beforePeak, "before", 10*time.Second, "time before the peak")
	f.DurationVar(&o.peakDuration, "hold", 10*time.Second, "duration of the peak; 0 for none")
	f.DurationVar(&o.afterPeak, "after", 10*time.Second, "time after the peak")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the schedule")
	f.StringVar(&o.jsonFile, "json", "", "`FILE` for the report as JSON")
	f.StringVar(&o.plot, "plot", "", "`FILE` for a plot of goodput over time, PNG")
	f.BoolVar(&o.verify, "verify-standin", false, "check responses against those of the stand-in engine")
	f.BoolVar(&o.onlyModel, "only-model", false, "send only the generation requests of the mix")
	version := start.VersionFlag(f)
	if err := f.Parse(args); err != nil {
		return o, err
	}
	if version() {
		return o, flag.ErrHelp // Run nothing, as for -help.
	}
	if o.rate <= 0 || o.peakFactor <= 0 {
		return o, &usageError{problem: "-rate and -crest must be above 0"}
	}
	return o, nil
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func run(ctx context.Context, args []string, out io.Writer) int {
	o, err := parseFlags(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		err = runLoad(ctx, &o, out)
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "lavendermoor-load:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

func buildMix(o *options) (loadgen.Mix, error) {
	customers, err := parseKeys(o.keys)
	if err != nil {
		return loadgen.Mix{}, err
	}
	var m loadgen.Mix
	switch o.mix {
	case "association":
		m = loadgen.AssociationMix(customers)
	case "cooperative":
		m = loadgen.CooperativeMix(customers)
	default:
		return m, &usageError{problem: fmt.Sprintf("mix %q does not exist (association, cooperative)", o.mix)}
	}
	if o.onlyModel {
		m.Classes = onlyGenerations(m.Classes)
	}
	return m, nil
}

func onlyGenerations(classes []loadgen.Class) []loadgen.Class {
	var out []loadgen.Class
	for _, c := range classes {
		if c.Tokens > 0 {
			out = append(out, c)
		}
	}
	return out
}

func parseKeys(text string) ([]loadgen.Customer, error) {
	if text == "" {
		return nil, &usageError{problem: "-keys is required"}
	}
	var out []loadgen.Customer
	for _, part := range strings.Split(text, ",") {
		key, share, found := strings.Cut(part, "=")
		c := loadgen.Customer{Key: key, Share: 1}
		if found {
			v, err := strconv.ParseFloat(share, 64)
			if err != nil || v <= 0 {
				return nil, &usageError{problem: fmt.Sprintf("share of key %q is not a positive number", key)}
			}
			c.Share = v
		}
		out = append(out, c)
	}
	return out, nil
}

// runLoad sends the schedule and writes the reports.
func runLoad(ctx context.Context, o *options, out io.Writer) error {
	m, err := buildMix(o)
	if err != nil {
		return err
	}
	arrivals := loadgen.Schedule(&m, loadgen.PeakPhases(o.rate, o.peakFactor, o.beforePeak, o.peakDuration, o.afterPeak), o.seed)
	targets := []string{o.entries}
	if o.compare != "" {
		targets = append(targets, o.compare)
	}
	reports := make([]*loadgen.Report, len(targets))
	done := make(chan struct{})
	for i, t := range targets {
		c := &loadgen.Client{
			Entries: strings.Split(t, ","), Mix: &m, RunID: uuid.NewString(), HTTP: loadgen.NewHTTPClient(),
		}
		if o.verify {
			c.ExpectedText = expectedStandinText
		}
		go func() {
			reports[i] = loadgen.NewReport(&m, o.seed, loadgen.Run(ctx, c, arrivalsOfTarget(arrivals, len(targets), i)))
			done <- struct{}{}
		}()
	}
	for range targets {
		<-done
	}
	return writeReports(o, out, targets, reports)
}

// arrivalsOfTarget returns the arrivals for the target with the given index; targets is the number of targets.
func arrivalsOfTarget(arrivals []loadgen.Arrival, targets, index int) []loadgen.Arrival {
	var out []loadgen.Arrival
	for _, a := range arrivals {
		if a.Number%targets == index {
			out = append(out, a)
		}
	}
	return out
}

func expectedStandinText(prompt string, tokens int) (string, bool) {
	full := engineserver.ChatPrompt(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engineserver.Token(full, i))
	}
	return text.String(), true
}

func writeReports(o *options, out io.Writer, targets []string, reports []*loadgen.Report) error {
	for i, r := range reports {
		fmt.Fprintf(out, "target %s\n", targets[i])
		if err := r.Table(out); err != nil {
			return err
		}
	}
	if err := writeFile(o.jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(reports) }); err != nil {
		return err
	}
	return writeFile(o.plot, reports[0].Plot)
}

func writeFile(name string, fn func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := fn(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
