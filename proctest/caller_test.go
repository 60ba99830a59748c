package proctest

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/entry"
)

// Guards against callers that occupy resources of an entry by sending their request body slowly or never.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	d := deploySmall(t)
	out, code := d.Apply(`{"limits": {"read_timeout_ms": 300}}`)
	require.Zero(t, code, out)
	d.waitRevision(2)
	conn, err := net.Dial("tcp", d.Entries[0].Settings.Listen)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: 1000\r\n\r\n{", CallerKey)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, callerapi.RequestTimeout.Status(), resp.StatusCode)
}

// writeKeyPair writes a certificate for this test process's loopback IP, with the given serial number, and its key.
func writeKeyPair(t *testing.T, files entry.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	host, _, err := net.SplitHostPort(FreeAddress(t))
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
	require.NoError(t, os.WriteFile(files.CertFile, certPEM, 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, keyPEM, 0o600))
}

// Guards against an entry that keeps using the old TLS key pair after its files were replaced.
func TestTLSKeyPairIsReloaded(t *testing.T) {
	dir := t.TempDir()
	files := entry.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writeKeyPair(t, files, 1)
	d := Deploy(t, DeploymentOptions{Entries: 1, Models: 1, Slots: 8, InstanceListLag: 100 * time.Millisecond})
	e := d.startEntryWith(1, func(s *entry.Settings) { s.TLS = &files })
	e.WaitReady()
	serial := func() int64 {
		// The certificate is self-signed; the test only reads its serial number.
		conn, err := tls.Dial("tcp", e.Settings.Listen, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return 0
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.Equal(t, int64(1), serial())
	writeKeyPair(t, files, 2)
	Eventually(t, "the new key pair is used", func() bool { return serial() == 2 })
}

// Guards against settings errors that are only detected after the process has opened its ports.
func TestSettingsErrorsExitWithStatusTwo(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(file, []byte("{\n  // a comment\n  \"listen_on\": \"x\"\n}"), 0o600))
	for _, program := range []string{"lavendermoor-entry", "lavendermoor-side"} {
		for _, flags := range [][]string{{"-config", file}, {"-config", file, "-check-config"}} {
			p := Start(t, program, program, flags...)
			require.EqualError(t, p.WaitExit(waitTimeout), "exit status 2")
			require.Contains(t, p.Output(), file+":3: listen_on: unknown field")
			require.False(t, strings.Contains(p.Output(), "started"))
		}
	}
}
