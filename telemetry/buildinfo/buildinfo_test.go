package buildinfo

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

const programSource = `package main

import (
	"encoding/json"
	"os"

	"lavendermoor.example/telemetry/buildinfo"
)

func main() { _ = json.NewEncoder(os.Stdout).Encode(buildinfo.Current()) }
`

// testModule is a program that prints its build, in a git checkout of its own.
type testModule struct {
	t   *testing.T
	dir string
}

func newTestModule(t *testing.T) *testModule {
	t.Helper()
	telemetry, err := filepath.Abs("..")
	require.NoError(t, err)
	m := &testModule{t: t, dir: t.TempDir()}
	m.write("main.go", programSource)
	m.write("go.mod", "module lavendermoor.example/printbuild\n\ngo 1.26.0\n\nrequire lavendermoor.example/telemetry v0.0.0\n\n"+
		"replace lavendermoor.example/telemetry => "+telemetry+"\n")
	sums, err := os.ReadFile(filepath.Join(telemetry, "go.sum"))
	require.NoError(t, err)
	m.write("go.sum", string(sums))
	m.write(".gitignore", "program\n")
	m.build("-mod=mod", "-buildvcs=false") // Completes go.mod.
	m.run("git", "init", "-q")
	m.commit()
	return m
}

func (m *testModule) write(name, text string) {
	require.NoError(m.t, os.WriteFile(filepath.Join(m.dir, name), []byte(text), 0o600))
}

func (m *testModule) run(name string, args ...string) string {
	m.t.Helper()
	cmd := exec.CommandContext(context.Background(), name, args...)
	cmd.Dir = m.dir
	cmd.Env = append(os.Environ(), "GOWORK=off", "GOPROXY=off", "GOFLAGS=", "GIT_CONFIG_GLOBAL=/dev/null", "TZ=UTC")
	out, err := cmd.CombinedOutput()
	require.NoError(m.t, err, "%s %v: %s", name, args, out)
	return strings.TrimSpace(string(out))
}

// commit commits all files and returns the commit.
func (m *testModule) commit() string {
	m.t.Helper()
	m.run("git", "add", ".")
	m.run("git", "-c", "user.name=test", "-c", "user.email=test@localhost", "commit", "-q", "-m", "test")
	return m.run("git", "rev-parse", "HEAD")
}

// build builds the program, runs it and returns what it prints.
func (m *testModule) build(flags ...string) Info {
	m.t.Helper()
	m.run("go", append(append([]string{"build"}, flags...), "-o", "program", ".")...)
	var info Info
	require.NoError(m.t, json.Unmarshal([]byte(m.run("./program")), &info))
	return info
}

// Guards against programs that cannot tell which code they were built from.
func TestProgramTellsItsCode(t *testing.T) {
	m := newTestModule(t)
	commit := m.run("git", "rev-parse", "HEAD")
	external := []string{"-buildvcs=true", "-ldflags=-linkmode=external"}

	clean := m.build(external...)
	require.Equal(t, commit, clean.Revision)
	require.Equal(t, m.run("git", "log", "-1", "--format=%cd", "--date=format-local:%Y-%m-%dT%H:%M:%SZ"), clean.CommitTime)
	require.Equal(t, unreleased, clean.Version)
	toolID := m.run("go", "tool", "buildid", "program")
	require.Equal(t, toolID[strings.LastIndexByte(toolID, '/')+1:], clean.BuildID)
	require.Equal(t, clean, m.build(external...), "a build of the same code is the same")

	m.write("main.go", programSource+"\nvar _ = os.Getpid\n")
	require.Equal(t, commit+"-modified", m.build(external...).Revision)
	next := m.commit()
	require.Equal(t, next, m.build(external...).Revision)

	release := m.build("-buildvcs=true", "-ldflags=-X github.com/prometheus/common/version.Version=1.2.3")
	require.Equal(t, "1.2.3", release.Version)
}

// Guards against builds that cannot be told apart where the Go tool records no commit, as with -buildvcs=false.
func TestBuildWithoutCommitHasAnID(t *testing.T) {
	m := newTestModule(t)
	before := m.build("-buildvcs=false")
	require.Equal(t, Unknown, before.Revision)
	require.Equal(t, Unknown, before.CommitTime)
	require.NotEqual(t, Unknown, before.BuildID)

	m.write("main.go", programSource+"\nfunc init() { _ = os.Stdout.Sync() }\n")
	require.NotEqual(t, before.BuildID, m.build("-buildvcs=false").BuildID)
}

// Guards against a build that is missing or wrong in tables.
func TestShortBuild(t *testing.T) {
	const commit = "b35350812345aa0f00112233445566778899aabb"
	require.Equal(t, "b35350812345", Info{Revision: commit, BuildID: "x"}.Short())
	require.Equal(t, "b35350812345-modified", Info{Revision: commit + "-modified", BuildID: "x"}.Short())
	require.Equal(t, "build x", Info{Revision: Unknown, BuildID: "x"}.Short())
}

// Guards against program files whose build ID cannot be read, and against notes that are cut off.
func TestBuildIDOfOtherFiles(t *testing.T) {
	require.Equal(t, Unknown, readBuildID(filepath.Join(t.TempDir(), "missing")))
	file := filepath.Join(t.TempDir(), "script")
	require.NoError(t, os.WriteFile(file, []byte("#!/bin/sh\n"), 0o600))
	require.Equal(t, Unknown, readBuildID(file))
}

// Guards against a metric that differs from what the program prints.
func TestBuildMetric(t *testing.T) {
	registry := prometheus.NewRegistry()
	require.NoError(t, Register(registry))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Equal(t, "lavendermoor_build_info", families[0].GetName())
	labels := map[string]string{}
	for _, l := range families[0].GetMetric()[0].GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	want := Current()
	require.Equal(t, want, Info{
		Version: labels["version"], Revision: labels["revision"], BuildID: labels["build_id"], GoVersion: labels["goversion"],
		CommitTime: want.CommitTime,
	})
}
