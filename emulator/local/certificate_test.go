package local_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/host/config"
)

const certificateValidity = time.Hour

// authority is a certificate authority that writes host certificates to files.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	path        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotAfter: time.Now().Add(certificateValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a := &authority{certificate: template, key: newKey(t), path: filepath.Join(t.TempDir(), "authority.pem")}
	der := sign(t, template, template, a.key, a.key)
	writePEM(t, a.path, "CERTIFICATE", der)
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate = parsed
	return a
}

// issue creates a certificate for a host id on loopback and returns the paths of its files.
func (a *authority) issue(t *testing.T, hostID string) *config.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: hostID},
		NotAfter: time.Now().Add(certificateValidity), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	directory := t.TempDir()
	files := &config.TLS{
		Certificate: filepath.Join(directory, "host.pem"), Key: filepath.Join(directory, "host-key.pem"), Authority: a.path,
	}
	writePEM(t, files.Certificate, "CERTIFICATE", sign(t, template, a.certificate, key, a.key))
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Key, "PRIVATE KEY", der)
	return files
}

// http2Client returns an HTTP/2 client that trusts the authority.
func (a *authority) http2Client(t *testing.T) *http.Client {
	t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	transport := &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
