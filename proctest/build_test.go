package proctest

import (
	"context"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// buildID returns the content hash in the build ID of a program file.
func buildID(t *testing.T, program string) string {
	t.Helper()
	out, err := exec.CommandContext(context.Background(), "go", "tool", "buildid", Binary(t, program)).Output()
	require.NoError(t, err)
	id := strings.TrimSpace(string(out))
	return id[strings.LastIndexByte(id, '/')+1:]
}

// requireTellsBuild checks that the first log line and a metric of a process name the build of its program.
func requireTellsBuild(t *testing.T, p *Proc, program string) {
	t.Helper()
	id := buildID(t, program)
	Eventually(t, p.Name+" has written a line", func() bool { return strings.Contains(p.Output(), "\n") })
	first, _, _ := strings.Cut(p.Output(), "\n")
	require.Contains(t, first, "msg=starting")
	require.Contains(t, first, "build_id="+id)
	status, _, metrics := Do(t, http.MethodGet, "http://"+p.AdminAddress+"/metrics", nil, nil)
	require.Equal(t, http.StatusOK, status)
	require.Regexp(t, `(?m)^lavendermoor_build_info\{[^}]*build_id="`+id+`"[^}]*\} 1$`, string(metrics))
}

// Guards against a program that names another build than its own, or none, when it is asked for its version.
func TestProgramsPrintTheirBuild(t *testing.T) {
	t.Parallel()
	for _, program := range Programs {
		out, err := exec.CommandContext(context.Background(), Binary(t, program), "--version").Output()
		require.NoError(t, err, program)
		require.Contains(t, string(out), "build_id="+buildID(t, program)+" ", program)
	}
}

// Guards against processes of unknown code: an operator must see which instances run which build.
func TestProcessesTellTheirBuild(t *testing.T) {
	d := deploySmall(t)
	requireTellsBuild(t, d.Entries[0].Proc, "lavendermoor-entry")
	requireTellsBuild(t, d.sidecars()[0].Proc, "lavendermoor-side")
	out, code := d.Ctl("status", "-o", "json")
	require.Zero(t, code, out)
	require.Contains(t, out, buildID(t, "lavendermoor-entry"))
	require.Contains(t, out, buildID(t, "lavendermoor-side"))
	out, code = d.Ctl("status")
	require.Zero(t, code, out)
	require.Regexp(t, `NAME +PROGRAM +ADDRESS +REVISION +DRAINING +BUILD +PROBLEM`, out)
}

// Guards against gateways and rank sidecars of unknown code, and against gateways that don't see each other's builds.
func TestFleetTellsItsBuilds(t *testing.T) {
	f := DeployFleet(t, FleetSize{Gateways: 2, ModelReplicas: 1, PlainReplicas: 1})
	for _, g := range f.Gateways {
		requireTellsBuild(t, g.Proc, "lavendermoor-gateway")
		Eventually(t, g.Name+" logs the builds of all gateways", func() bool {
			return strings.Contains(g.Output(), `msg="builds of the processes"`) && strings.Contains(g.Output(), ": 2\"")
		})
	}
	sidecar := f.RankSidecars[0]
	sidecar.AdminAddress = sidecar.PeerAddress()
	requireTellsBuild(t, sidecar.Proc, "lavendermoor-rank")
}
