// Package proctest runs the real binaries as separate processes on loopback, with stand-ins of the platform,
// and lets tests kill, pause and restart them.
package proctest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Programs are the binaries that the harness builds.
var Programs = []string{
	"lavendermoor-entry", "lavendermoor-side", "lavendermoor-standin", "lavendermoorctl", "lavendermoor-load",
	"lavendermoor-gateway", "lavendermoor-rank", "lavendermoor-demo",
}

var (
	buildOnce   sync.Once
	buildDir    string
	errBuild    error
	buildOutput []byte
)

// raceEnv is the environment variable that makes the harness build the programs with the race detector.
const raceEnv = "LAVENDERMOOR_RACE"

// Binary returns the path of a program, built once in each test run.
func Binary(t testing.TB, program string) string {
	t.Helper()
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "lavendermoor-bin")
		if errBuild != nil {
			return
		}
		args := []string{"build", "-o", buildDir + "/"}
		if os.Getenv(raceEnv) != "" {
			args = append(args, "-race")
		}
		for _, p := range Programs {
			args = append(args, "lavendermoor.example/cmd/"+p)
		}
		buildOutput, errBuild = exec.CommandContext(context.Background(), "go", args...).CombinedOutput()
	})
	require.NoError(t, errBuild, "%s", buildOutput)
	return filepath.Join(buildDir, program)
}

// RemoveBinaries removes what Binary built; call it from TestMain.
func RemoveBinaries() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

// loopbackIP returns a loopbackIP address of this test process's own. On 127.0.0.1 a port that was free a moment ago
// may be taken by an outgoing connection of any process before the program that is meant to use it starts.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// allocatedAddresses holds the addresses that FreeAddress has returned. The kernel may choose a port again before the program
// that it was meant for has opened it.
var allocatedAddresses sync.Map

// FreeAddress returns an address of this test process whose port was free a moment ago, each one once.
func FreeAddress(t testing.TB) string { return freeAddressOn(t, loopbackIP()) }

// freeAddressOn is FreeAddress for a loopback IP.
func freeAddressOn(t testing.TB, ip string) string {
	t.Helper()
	l := listenOn(t, ip)
	defer l.Close()
	return l.Addr().String()
}

// listenOn listens on a loopback IP, on a port that was given to nobody. A part of the test process itself uses the listener, so that
// nothing can take the port in between.
func listenOn(t testing.TB, ip string) net.Listener {
	t.Helper()
	for {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
		require.NoError(t, err)
		if _, taken := allocatedAddresses.LoadOrStore(l.Addr().String(), true); !taken {
			return l
		}
		l.Close()
	}
}

// Proc is a running process. Its output is shown when the test fails.
type Proc struct {
	Name string
	// AdminAddress is the address of its admin listener, empty for stand-ins.
	AdminAddress string

	t    testing.TB
	cmd  *exec.Cmd
	out  lockedBuffer
	done chan struct{}
	// err is the result of the process, valid after done is closed.
	err error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Start starts a program; the test's end kills it.
func Start(t testing.TB, name, program string, args ...string) *Proc {
	t.Helper()
	p := &Proc{Name: name, t: t, done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), Binary(t, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	// The process ends with the test binary, also when that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.out.String()))
		}
	})
	return p
}

// maxShownBytes bounds the output of a process that a failed test shows, in bytes.
const maxShownBytes = 8 << 10

func tail(text string) string {
	if len(text) > maxShownBytes {
		return "..." + text[len(text)-maxShownBytes:]
	}
	return text
}

// Output returns what the process has written so far.
func (p *Proc) Output() string { return p.out.String() }

// Kill ends the process at once, as kill -9 does, and waits for its end.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to end, as the platform does before it takes an instance away.
func (p *Proc) Terminate() { require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM)) }

// Pause stops the process in mid-work.
func (p *Proc) Pause() { require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGSTOP)) }

// Resume continues a paused process.
func (p *Proc) Resume() { require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGCONT)) }

// WaitExit waits for the end of the process and returns its result.
func (p *Proc) WaitExit(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		require.FailNow(p.t, "process did not end", "%s after %v", p.Name, timeout)
		return nil
	}
}

// State returns the state dump of the process, decoded into v.
func (p *Proc) State(v any) error {
	return getJSON("http://"+p.AdminAddress+"/debug/state", v)
}

func getJSON(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// waitTimeout bounds how long the harness waits for a state that must come about. It is far above the stated
// targets, because the machine is shared, and is not a measurement.
const waitTimeout = 30 * time.Second

// Eventually waits until ok returns true.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	require.FailNow(t, "state did not come about", what)
}

// WaitReady waits until the process answers readiness checks with success.
func (p *Proc) WaitReady() {
	p.t.Helper()
	Eventually(p.t, p.Name+" is ready", func() bool { return statusCode("http://"+p.AdminAddress+"/readyz") == http.StatusOK })
}

func statusCode(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// writeSettings writes a settings file and returns its name.
func writeSettings(t testing.TB, name string, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), name+".json")
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	return file
}

// Ctl runs lavendermoorctl with an operator key and returns its output and exit code.
func Ctl(t testing.TB, key string, args ...string) (out string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, Binary(t, "lavendermoorctl"), args...)
	cmd.Env = append(os.Environ(), "LAVENDERMOOR_KEY="+key)
	raw, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		require.NoError(t, err)
	}
	return string(raw), cmd.ProcessState.ExitCode()
}

// HashKey returns the SHA-256 of a key as the configuration holds it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func joinAddresses(list []string) string { return strings.Join(list, ",") }

func instanceName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }
