package proctest

import (
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	exposedMetric    = regexp.MustCompile(`(?m)^# HELP (lavendermoor_\w+)`)
	documentedMetric = regexp.MustCompile("(?m)^\\| `(lavendermoor_\\w+)`")
)

func metricNames(pattern *regexp.Regexp, text []byte) map[string]bool {
	out := map[string]bool{}
	for _, m := range pattern.FindAllSubmatch(text, -1) {
		out[string(m[1])] = true
	}
	return out
}

// Guards against metrics that are missing in docs/metrics.md, and against documented metrics that no process exposes.
func TestMetricsAreDocumented(t *testing.T) {
	d := deploySmall(t)
	requireComplete(t, d.startStreams(6, 5)(), 5)
	documentation, err := os.ReadFile("../docs/metrics.md")
	require.NoError(t, err)
	exposed := map[string]bool{}
	for _, p := range d.processes() {
		status, _, body := Do(t, http.MethodGet, "http://"+p.AdminAddress+"/metrics", nil, nil)
		require.Equal(t, http.StatusOK, status)
		for name := range metricNames(exposedMetric, body) {
			exposed[name] = true
		}
	}
	require.Equal(t, metricNames(documentedMetric, documentation), exposed)
}
