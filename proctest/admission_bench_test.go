package proctest

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/loadgen"
	"lavendermoor.example/standin/engineserver"
)

// Load on one engine: 5% of the generations have 50 times as many tokens as the others.
const (
	admissionSlots     = 16
	admissionTokenTime = 5 * time.Millisecond
	shortTokens        = 10
	longTokens         = 50 * shortTokens
	longShare          = 0.05
	admissionSeed      = 1
	admissionDuration  = 20 * time.Second
	// busyLoad is a fraction of the nominal capacity. Timers and the network make each token about 20% slower than
	// nominal, so this is about 90% of the actual capacity.
	busyLoad = 0.75
)

func admissionMix(longFraction float64) *loadgen.Mix {
	return &loadgen.Mix{
		Name: "admission", Model: ModelName,
		Customers: []loadgen.Customer{{Key: CallerKey, Share: 1}, {Key: OtherCallerKey, Share: 1}},
		Classes: []loadgen.Class{
			{Name: "short", Share: 1 - longFraction, Value: 2, Deadline: 2 * time.Second, Tokens: shortTokens, PromptBytes: 100},
			{Name: "long", Share: longFraction, Value: 1, Deadline: 20 * time.Second, Tokens: longTokens, PromptBytes: 100},
		},
	}
}

// admissionRate returns the nominal capacity of the engine in requests per second.
func admissionRate() float64 {
	mean := float64(shortTokens)*(1-longShare) + float64(longTokens)*longShare
	return admissionSlots / (mean * admissionTokenTime.Seconds())
}

type admissionBench struct {
	b *testing.B
	d *Deployment
}

func (r *admissionBench) run(mix *loadgen.Mix, phases ...loadgen.Phase) []*loadgen.Result {
	c := &loadgen.Client{
		Entries: []string{r.d.Entries[0].URL}, Mix: mix, RunID: "admission", HTTP: loadgen.NewHTTPClient(),
		ExpectedText: func(prompt string, tokens int) (string, bool) {
			text := ""
			for i := range tokens {
				text += engineserver.Token(engineserver.ChatPrompt(prompt), i)
			}
			return text, true
		},
	}
	ctx, cancel := context.WithTimeout(r.b.Context(), 3*time.Minute)
	defer cancel()
	return loadgen.Run(ctx, c, loadgen.Schedule(mix, phases, admissionSeed))
}

// p95 returns the 95th percentile of the time to complete a correct response of a class, in milliseconds.
func p95(results []*loadgen.Result, class string) float64 {
	var all []time.Duration
	for _, r := range results {
		if r.Arrival.Class.Name == class && r.Complete && !r.Wrong {
			all = append(all, r.Total)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[len(all)*95/100].Microseconds()) / 1000
}

// completedLong counts the long responses that completed before the end of the arrivals.
func completedLong(results []*loadgen.Result) float64 {
	n := 0
	for _, r := range results {
		if r.Arrival.Class.Name == "long" && r.Complete && r.Arrival.At+r.Total < admissionDuration {
			n++
		}
	}
	return float64(n)
}

// peakMetrics returns three figures of a load peak. goodput is the value of the responses that met their deadline and
// ended during the peak, relative to the value of the mix at nominal capacity. inTimeAfter is the fraction of the
// requests arriving at least 5 s after the peak that met their deadline. longestRefusal is the longest time until a
// refusal in milliseconds.
func peakMetrics(
	mix *loadgen.Mix, results []*loadgen.Result, from, duration time.Duration,
) (goodput, inTimeAfter, longestRefusal float64) {
	value, arrived, inTime := 0.0, 0, 0
	for _, r := range results {
		end := r.Arrival.At + r.Total
		if r.InTime() && end >= from && end < from+duration {
			value += r.Arrival.Class.Value
		}
		if r.Arrival.At >= from+duration+5*time.Second {
			arrived++
			if r.InTime() {
				inTime++
			}
		}
		if !r.Complete && r.Executed == "no" {
			longestRefusal = max(longestRefusal, float64(r.Total.Milliseconds()))
		}
	}
	mean := 0.0
	for _, c := range mix.Classes {
		mean += c.Share * c.Value
	}
	return value / (mean * admissionRate() * duration.Seconds()), float64(inTime) / float64(arrived), longestRefusal
}

// BenchmarkAdmission measures admission with an entry, a sidecar and the stand-in engine as real processes, once for
// each admission policy. Run it with -benchtime 1x.
func BenchmarkAdmission(b *testing.B) {
	for _, policy := range []string{"fifo", "fair"} {
		b.Run(policy, func(b *testing.B) {
			for b.Loop() {
				d := Deploy(b, DeploymentOptions{
					Entries: 1, Models: 1, Slots: admissionSlots, AdmissionPolicy: policy, InstanceListLag: 100 * time.Millisecond,
					DrainTimeout: time.Second, EngineArgs: []string{"-token-time", admissionTokenTime.String(), "-slots", "16"},
				})
				r := &admissionBench{b: b, d: d}
				fullRate := admissionRate()
				idle := r.run(admissionMix(0), loadgen.Phase{Name: "idle", Duration: 5 * time.Second, Rate: 10})
				require.NotEmpty(b, idle)
				busy := r.run(admissionMix(longShare),
					loadgen.Phase{Name: "busy", Duration: admissionDuration, Rate: busyLoad * fullRate})
				var state sidecarState
				require.NoError(b, d.ModelSidecars[0].State(&state))
				mix := admissionMix(longShare)
				peak := r.run(mix, loadgen.PeakPhases(0.6*fullRate, 5, 2*time.Second, 8*time.Second, 10*time.Second)...)
				goodput, inTimeAfter, longestRefusal := peakMetrics(mix, peak, 2*time.Second, 8*time.Second)
				b.ReportMetric(p95(idle, "short"), "idle-short-p95-ms")
				b.ReportMetric(p95(busy, "short"), "busy-short-p95-ms")
				b.ReportMetric(completedLong(busy), "busy-long-responses")
				b.ReportMetric(float64(state.Side.Load.Limit), "limit-after-busy")
				b.ReportMetric(goodput, "crest-goodput")
				b.ReportMetric(inTimeAfter, "after-in-time")
				b.ReportMetric(longestRefusal, "longest-refusal-ms")
			}
		})
	}
}
