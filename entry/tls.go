package entry

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// keyPairCheckInterval is the time between two looks at the files of a key pair.
const keyPairCheckInterval = 10 * time.Second

// keyPair is a certificate that is loaded again when its files change. A pair that does not load leaves the
// one before in use.
type keyPair struct {
	files TLS
	log   *zap.Logger

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

// ServerTLS returns a TLS configuration for the key pair, which must load now. A later pair that does not load is
// logged at each look.
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

// reload takes over a changed pair; the old one stays in use when that fails.
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
