package proctest

import (
	"bytes"
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runLoadTool runs lavendermoor-load and returns its output.
func runLoadTool(b *testing.B, args ...string) string {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, Binary(b, "lavendermoor-load"), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	require.NoError(b, cmd.Run(), "%s", out.String())
	return out.String()
}

func entryURLs(d *Deployment) string {
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, e.URL)
	}
	return strings.Join(urls, ",")
}

// BenchmarkEntryOverhead compares generations through an entry with direct requests to the stand-in engine, at the
// request rate of one node in a system of the target size. Run it with -benchtime 1x.
func BenchmarkEntryOverhead(b *testing.B) {
	for b.Loop() {
		d := Deploy(b, DeploymentOptions{
			Entries: 1, Models: 6, Slots: 512, InstanceListLag: 100 * time.Millisecond, DrainTimeout: time.Second,
			EngineArgs: []string{"-token-time", "20ms", "-slots", "512"},
		})
		var engines []string
		for _, s := range d.ModelSidecars {
			engines = append(engines, s.BackendURL)
		}
		b.Log(runLoadTool(b, "-entries", entryURLs(d), "-compare", strings.Join(engines, ","), "-only-model",
			"-keys", CallerKey, "-rate", "96", "-before", "20s", "-hold", "0s", "-after", "0s", "-verify-standin"))
	}
}
