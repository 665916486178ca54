// Package tlsreload provides TLS configurations whose certificate can be replaced while a listener
// runs. The certificate comes from files, which are read again when they change, or from PEM blocks
// in the settings.
package tlsreload

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// DefaultInterval is the time between checks of the files.
const DefaultInterval = 10 * time.Second

// Source locates the certificate chain and its key: either as files or, on a VM without such files,
// as PEM blocks in the settings.
type Source struct {
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
	CertificatePEM  string `json:"certificate_pem,omitempty"`
	KeyPEM          string `json:"key_pem,omitempty"`
	// AuthoritiesPEM holds the CA certificates that verify the other side. If it is empty, clients
	// use the system's roots and servers request no client certificates.
	AuthoritiesPEM string `json:"authorities_pem,omitempty"`
}

// SourceError says that a certificate, key or CA certificate is missing or invalid.
type SourceError struct {
	Part string
	Err  error
}

func (e *SourceError) Error() string { return fmt.Sprintf("TLS %s: %v", e.Part, e.Err) }

// Unwrap returns the cause, or nil if there is none.
func (e *SourceError) Unwrap() error { return e.Err }

// Reloader holds the current certificate. It is safe for concurrent use.
type Reloader struct {
	source      Source
	authorities *x509.CertPool
	current     atomic.Pointer[loadedCertificate]
}

type loadedCertificate struct {
	certificatePEM []byte
	keyPEM         []byte
	certificate    tls.Certificate
}

// New loads the certificate. Its error is a *SourceError.
func New(source Source) (*Reloader, error) {
	r := &Reloader{source: source}
	if source.AuthoritiesPEM != "" {
		r.authorities = x509.NewCertPool()
		if !r.authorities.AppendCertsFromPEM([]byte(source.AuthoritiesPEM)) {
			return nil, &SourceError{Part: "authorities: no certificate in the PEM"}
		}
	}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the source again and reports whether the certificate has changed. If that fails, it
// returns a *SourceError and the previous certificate stays in use. The two files may be replaced
// one after the other: as long as certificate and key don't match, Reload fails, and the next call
// reads both again.
func (r *Reloader) Reload() (bool, error) {
	certificatePEM, err := readPEM(r.source.CertificateFile, r.source.CertificatePEM, "certificate")
	if err != nil {
		return false, err
	}
	keyPEM, err := readPEM(r.source.KeyFile, r.source.KeyPEM, "key")
	if err != nil {
		return false, err
	}
	previous := r.current.Load()
	if previous != nil && bytes.Equal(previous.certificatePEM, certificatePEM) && bytes.Equal(previous.keyPEM, keyPEM) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(certificatePEM, keyPEM)
	if err != nil {
		return false, &SourceError{Part: "key pair", Err: err}
	}
	r.current.Store(&loadedCertificate{certificatePEM, keyPEM, certificate})
	return true, nil
}

func readPEM(file, inline, what string) ([]byte, error) {
	if file == "" {
		return []byte(inline), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &SourceError{Part: what, Err: err}
	}
	return data, nil
}

// Run calls Reload at every interval until the context ends.
func (r *Reloader) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := r.Reload()
		if err != nil {
			klog.ErrorS(err, "The former TLS certificate stays in use")
		}
		if changed {
			klog.InfoS("TLS certificate replaced")
		}
	}
}

// ServerConfig returns the configuration of a listener. If the source has authorities, the listener
// requires and verifies client certificates.
func (r *Reloader) ServerConfig() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
	if r.authorities != nil {
		cfg.ClientCAs = r.authorities
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg
}

// ClientConfig returns the configuration for calls to other daemons. The client presents its
// certificate if the server requests one.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    r.authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}
