package entry

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// keyPairCheckInterval is the shortest time between two checks of the files of a key pair.
const keyPairCheckInterval = 10 * time.Second

// keyPair is a certificate and its private key, which are reloaded when their files change. If the new pair does not
// load, the old one stays in use.
type keyPair struct {
	files TLS
	log   *zap.Logger

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

// ServerTLS returns a TLS configuration for the key pair. It fails if the pair does not load; when a changed pair does
// not load later, an error is logged at each check.
func ServerTLS(files TLS, log *zap.Logger) (*tls.Config, error) {
	p := &keyPair{files: files, log: log}
	if err := p.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current(time.Now()), nil
		},
	}, nil
}

func (p *keyPair) current(now time.Time) *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.checkedAt) >= keyPairCheckInterval {
		p.checkedAt = now
		if p.latestModTime().After(p.modTime) {
			p.reload()
		}
	}
	return p.cert
}

// reload loads a changed pair; if that fails, the old one stays in use.
func (p *keyPair) reload() {
	if err := p.load(); err != nil {
		p.log.Error("key pair not reloaded", zap.String("cert_file", p.files.CertFile), zap.Error(err))
		return
	}
	p.log.Info("key pair reloaded", zap.String("cert_file", p.files.CertFile))
}

func (p *keyPair) latestModTime() time.Time {
	var last time.Time
	for _, name := range []string{p.files.CertFile, p.files.KeyFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

func (p *keyPair) load() error {
	modTime := p.latestModTime()
	cert, err := tls.LoadX509KeyPair(p.files.CertFile, p.files.KeyFile)
	if err != nil {
		return err
	}
	p.cert, p.modTime = &cert, modTime
	return nil
}
