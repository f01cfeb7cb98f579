// Package tlsconfig builds the TLS configurations of a host from the files named in its configuration file. A certificate
// is reloaded when its file changes, so that it can be replaced without a restart.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/host/config"
)

// Server returns the configuration for a listener that requests no client certificates, or nil if files is nil.
func Server(files *config.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	source, err := newCertificateReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.certificate() },
	}, nil
}

// Mutual returns the configuration for connections between hosts, in which both sides must present a certificate signed by
// the authority. It returns nil if files is nil.
func Mutual(files *config.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	source, err := newCertificateReloader(files)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no PEM certificate", files.Authority)
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
		RootCAs:        pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.certificate()
		},
	}, nil
}

// certificateReloader loads a certificate and its key, and reloads them when the certificate's file changes.
type certificateReloader struct {
	files *config.TLS

	mu       sync.Mutex
	modified time.Time
	current  *tls.Certificate
}

func newCertificateReloader(files *config.TLS) (*certificateReloader, error) {
	s := &certificateReloader{files: files}
	_, err := s.certificate()
	return s, err
}

func (s *certificateReloader) certificate() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.files.Certificate)
	if err == nil && s.current != nil && info.ModTime().Equal(s.modified) {
		return s.current, nil
	}
	if err == nil {
		err = s.reload(info.ModTime())
	}
	if err != nil && s.current == nil {
		return nil, errors.Join(errors.New("tls: no certificate is loaded"), err)
	}
	// A file that is being replaced may be unreadable for a moment. The loaded certificate stays in use.
	return s.current, nil
}

func (s *certificateReloader) reload(modified time.Time) error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return err
	}
	s.current = &certificate
	s.modified = modified
	return nil
}
