package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/loadgen"
)

// loadLevel is one level of load of a slope measurement: requests per second and tokens per request.
type loadLevel struct {
	rate   float64
	tokens int
}

// usageSample holds the requests and tokens of one load level, the CPU time of the entry and of all sidecars during it,
// and the resident memory of the entry in bytes at its end.
type usageSample struct {
	requests, tokens float64
	entry, sidecar   time.Duration
	entryRSS         int64
}

// BenchmarkTrafficSlopes measures the CPU time of entry and sidecars per request and per token. Run it with
// -benchtime 1x.
func BenchmarkTrafficSlopes(b *testing.B) {
	for b.Loop() {
		d := Deploy(b, DeploymentOptions{
			Entries: 1, Models: 4, Slots: 2048, InstanceListLag: 100 * time.Millisecond, DrainTimeout: time.Second,
			EngineArgs: []string{"-token-time", "10ms", "-slots", "2048"},
		})
		fewTokens := d.measureUsage(b, loadLevel{rate: 100, tokens: 8})
		manyTokens := d.measureUsage(b, loadLevel{rate: 100, tokens: 208})
		reportCosts(b, "entry", fewTokens, manyTokens, func(s usageSample) time.Duration { return s.entry })
		reportCosts(b, "side", fewTokens, manyTokens, func(s usageSample) time.Duration { return s.sidecar })
		b.Logf("entry resident memory %d KB with 8 tokens a request, %d KB with 208", fewTokens.entryRSS>>10, manyTokens.entryRSS>>10)
	}
}

// reportCosts reports the CPU time per request and per token in µs. It assumes that the time of a request grows
// linearly with its tokens, and computes both from two samples with different numbers of tokens per request.
func reportCosts(b *testing.B, program string, fewTokens, manyTokens usageSample, cost func(usageSample) time.Duration) {
	costFew, costMany := float64(cost(fewTokens).Microseconds())/fewTokens.requests,
		float64(cost(manyTokens).Microseconds())/manyTokens.requests
	lengthFew, lengthMany := fewTokens.tokens/fewTokens.requests, manyTokens.tokens/manyTokens.requests
	perToken := (costMany - costFew) / (lengthMany - lengthFew)
	perRequest := costFew - perToken*lengthFew
	b.ReportMetric(perToken, program+"-us/token")
	b.ReportMetric(perRequest, program+"-us/request")
}

const sampleDuration = 15 * time.Second

func (d *Deployment) measureUsage(b *testing.B, level loadLevel) usageSample {
	b.Helper()
	m := loadgen.Mix{
		Name: "slope", Model: ModelName, Customers: []loadgen.Customer{{Key: CallerKey, Share: 1}},
		Classes: []loadgen.Class{{
			Name: "generation", Share: 1, Value: 1, Deadline: time.Minute, Tokens: level.tokens, PromptBytes: 600,
		}},
	}
	arrivals := loadgen.Schedule(&m, []loadgen.Phase{{Name: "steady", Duration: sampleDuration, Rate: level.rate}}, 1)
	entryBefore, sidecarsBefore := d.Entries[0].Usage(), d.sidecarCPU()
	c := &loadgen.Client{Entries: []string{d.Entries[0].URL}, Mix: &m, HTTP: loadgen.NewHTTPClient()}
	results := loadgen.Run(context.Background(), c, arrivals)
	entryAfter := d.Entries[0].Usage()
	out := usageSample{
		entry: entryAfter.CPU - entryBefore.CPU, sidecar: d.sidecarCPU() - sidecarsBefore, entryRSS: entryAfter.RSS,
	}
	for _, r := range results {
		require.True(b, r.Complete, "%+v", r)
		out.requests++
		out.tokens += float64(level.tokens)
	}
	return out
}

func (d *Deployment) sidecarCPU() time.Duration {
	var sum time.Duration
	for _, s := range d.ModelSidecars {
		sum += s.Usage().CPU
	}
	return sum
}

// BenchmarkControlSlopes measures the cost of the control plane for an entry and a sidecar with a configuration of the
// target size: idle CPU time, CPU time per change, and memory. Run it with -benchtime 1x.
func BenchmarkControlSlopes(b *testing.B) {
	for b.Loop() {
		d := Deploy(b, DeploymentOptions{
			Entries: 1, Models: 1, Services: 1, Slots: 8, InstanceListLag: 100 * time.Millisecond, DrainTimeout: time.Second,
		})
		smallEntry, smallSidecar := d.Entries[0].Usage().RSS, d.ModelSidecars[0].Usage().RSS
		d.growToTargetSize(b)
		const idle = 10 * time.Second
		entryAtStart, sidecarAtStart := d.Entries[0].Usage(), d.ModelSidecars[0].Usage()
		time.Sleep(idle)
		entryAfterIdle, sidecarAfterIdle := d.Entries[0].Usage(), d.ModelSidecars[0].Usage()
		const changes = 100
		d.applyChanges(b, changes)
		entryAfterChanges, sidecarAfterChanges := d.Entries[0].Usage(), d.ModelSidecars[0].Usage()
		percent := func(d time.Duration) float64 { return 100 * d.Seconds() / idle.Seconds() }
		b.ReportMetric(percent(entryAfterIdle.CPU-entryAtStart.CPU), "entry-idle-%core")
		b.ReportMetric(percent(sidecarAfterIdle.CPU-sidecarAtStart.CPU), "side-idle-%core")
		b.ReportMetric(float64((entryAfterChanges.CPU-entryAfterIdle.CPU).Milliseconds())/changes, "entry-ms/change")
		b.ReportMetric(float64((sidecarAfterChanges.CPU-sidecarAfterIdle.CPU).Milliseconds())/changes, "side-ms/change")
		b.ReportMetric(float64(entryAfterChanges.RSS)/(1<<20), "entry-MB")
		b.ReportMetric(float64(sidecarAfterChanges.RSS)/(1<<20), "side-MB")
		b.ReportMetric(float64(smallEntry)/(1<<20), "entry-small-MB")
		b.ReportMetric(float64(smallSidecar)/(1<<20), "side-small-MB")
	}
}

// Target size of the system.
const (
	targetCustomers = 1700
	targetModels    = 28
	targetServers   = 2900
	targetEntries   = 1100
)

// growToTargetSize extends the configuration and the instance list to the target size. No processes are started for the
// added servers and entries.
func (d *Deployment) growToTargetSize(b *testing.B) {
	b.Helper()
	doc := configDocument{}
	for i := range targetCustomers {
		doc.Customers = append(doc.Customers, customerObject(fmt.Sprint("customer-", i), fmt.Sprint("key-", i)))
	}
	for i := range targetModels {
		name := fmt.Sprint("model-", i)
		doc.Models = append(doc.Models, map[string]any{"name": name})
		doc.Groups = append(doc.Groups, map[string]any{"name": name, "model": name, "ranks": 64, "experts": 256, "layers": 60})
	}
	for i := range targetServers {
		address := fmt.Sprintf("10.%d.%d.1:7200", i>>8, i&0xff)
		domain := fmt.Sprint("domain-", i%7)
		doc.Servers = append(doc.Servers, map[string]any{
			"name": fmt.Sprint("server-", i), "address": address, "failure_domain": domain,
			"group": fmt.Sprint("model-", i%targetModels), "slots": 64,
		})
		d.PublishInstance(fmt.Sprint("server-", i), address, domain, "side", "live")
	}
	for i := range targetEntries {
		d.PublishInstance(fmt.Sprint("node-", i), fmt.Sprintf("10.%d.%d.2:7101", i>>8, i&0xff), fmt.Sprint("domain-", i%7), "entry", "live")
	}
	raw, err := json.Marshal(doc)
	require.NoError(b, err)
	file := filepath.Join(b.TempDir(), "grow.jsonc")
	require.NoError(b, os.WriteFile(file, raw, 0o600))
	out, code := d.Ctl("apply", "-f", file)
	require.Zero(b, code, out)
	d.waitRevision(2)
}

// applyChanges applies n small changes in sequence and waits until the last one is active in all sidecars.
func (d *Deployment) applyChanges(b *testing.B, n int) {
	b.Helper()
	for i := range n {
		out, code := d.Apply(fmt.Sprintf(`{"customers": [{"name": "customer-%d", "weight": %d}]}`, i, i+2))
		require.Zero(b, code, out)
	}
	d.waitRevision(int64(2 + n))
}
