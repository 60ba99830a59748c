package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/entry/operator"
	"lavendermoor.example/standin/kvserver"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// startOperatorServer serves the operator RPC on a stand-in for the key-value service.
func startOperatorServer(t *testing.T) *kvserver.Server {
	t.Helper()
	service := kvserver.New()
	kvHTTP := httptest.NewServer(service.Handler())
	t.Cleanup(kvHTTP.Close)
	base, err := url.Parse(kvHTTP.URL)
	require.NoError(t, err)
	st := store.New(kv.NewClient(base, 2*time.Second, nil))
	node := feed.NewNode(feed.Options{
		Self: feed.Peer{Name: "e1"}, Peers: func() []feed.Peer { return nil }, Store: st, Client: http.DefaultClient, Seed: 1,
	})
	_, h := operator.New(operator.Options{Store: st, Node: node, BootstrapKeySHA256: hashOf("boot")})
	rpc := httptest.NewServer(h)
	t.Cleanup(rpc.Close)
	t.Setenv("LAVENDERMOOR_SERVER", rpc.URL)
	t.Setenv("LAVENDERMOOR_KEY", "boot")
	return service
}

// ctl runs one command line.
func ctl(t *testing.T, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(t.Context(), args, strings.NewReader(stdin), &out, &errs)
	return code, out.String(), errs.String()
}

const example = "../../examples/cooperative.jsonc"

// Guards against exit codes and texts that an operator's script cannot act on.
func TestCommandsAndExitCodes(t *testing.T) {
	service := startOperatorServer(t)
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	text := "{\n \"groups\": [\n  { \"name\": \"g\", \"model\": \"none\",\n    \"ranks\": 1 }\n ]\n}"
	require.NoError(t, os.WriteFile(bad, []byte(text), 0o600))
	syntax := filepath.Join(t.TempDir(), "syntax.jsonc")
	require.NoError(t, os.WriteFile(syntax, []byte("{\n \"grups\": []\n}"), 0o600))
	admin := func() { t.Setenv("LAVENDERMOOR_KEY", "example-grid-operations") }
	for _, c := range []struct {
		before         func()
		args           string
		code           int
		stdout, stderr string
	}{
		{args: "apply -f " + syntax, code: exitUsage, stderr: syntax + ":2: grups: unknown field"},
		{args: "apply -f " + bad, code: exitInvalid, stderr: bad + ":3: group/g.model"},
		{args: "apply -f " + example + " -dry-run", stdout: "nothing committed"},
		{args: "apply -f " + example + " -m first -operation one", stdout: "committed as revision 1"},
		{args: "list", code: exitDenied, stderr: "unauthenticated"},
		{before: admin, args: "apply -operation one -f " + example, stdout: "had been committed as revision 1"},
		{args: "diff -exit-code -f " + example, stdout: "no differences"},
		{args: "drain answer-01", stdout: "committed as revision 2"},
		{args: "diff -exit-code -f " + example, code: exitDiffers, stdout: "+ server/answer-01"},
		{args: "apply -expect 1 -f " + example, code: exitConflict, stderr: "another change won: revision 2 by grid-operations"},
		{args: "get server/answer-01", stdout: `"draining"`},
		{args: "get server/none", code: exitNotFound, stderr: "does not exist"},
		{args: "get nonsense", code: exitUsage, stderr: "TYPE/NAME"},
		{args: "list -o json rule", stdout: `"commands"`},
		{args: "undrain answer-01", stdout: "committed as revision 3"},
		{args: "delete customer/marina", stdout: "- customer/marina"},
		{args: "rollback 2", stdout: "committed as revision 5"},
		{args: "get customer/marina", stdout: `"marina"`},
		{args: "history", stdout: "first"},
		{args: "status", stdout: "latest revision known: 5"},
		{before: func() { service.SetFaults(kvserver.Faults{Down: true}) }, args: "undrain answer-01", code: exitUnavailable, stderr: "unavailable"},
		{args: "list customer", stdout: "customer/marina"},
		{args: "nonsense", code: exitUsage, stderr: "unknown command"},
		{args: "help apply", stdout: "Exit codes"},
		{before: func() { t.Setenv("LAVENDERMOOR_SERVER", "http://127.0.0.1:1") }, args: "drain x", code: exitUnavailable},
	} {
		if c.before != nil {
			c.before()
		}
		code, out, errs := ctl(t, "", strings.Fields(c.args)...)
		require.Equal(t, c.code, code, "%s: %s", c.args, errs)
		require.Contains(t, out, c.stdout, c.args)
		require.Contains(t, errs, c.stderr, c.args)
	}
}

// Guards against a hash that does not match the hash of callers' keys.
func TestHashKey(t *testing.T) {
	code, out, _ := ctl(t, "abc\n", "hash-key")
	require.Equal(t, exitOK, code)
	require.Equal(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n", out)
	code, _, _ = ctl(t, "", "hash-key")
	require.Equal(t, exitUsage, code)
}
