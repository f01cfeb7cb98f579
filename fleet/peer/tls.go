package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// serverConfig returns a configuration that requires and verifies the certificate of the caller.
func serverConfig(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.MinVersion = tls.VersionTLS13
	return config
}

// clientConfig returns a configuration that verifies the chain of the peer's certificate but no host name, because peers are
// dialled by IP address. Instead, each call compares the host id in the response with the certificate.
func clientConfig(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.MinVersion = tls.VersionTLS13
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, base.RootCAs) }
	return config
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return err
}

// certNames are the host ids that the certificate of a peer authenticates. Nil stands for a connection without TLS.
type certNames []string

func certNamesOf(conn net.Conn) certNames {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificate := secured.ConnectionState().PeerCertificates[0]
	return append(certNames{certificate.Subject.CommonName}, certificate.DNSNames...)
}

// verify returns an error if the certificate does not authenticate the stated host id.
func (n certNames) verify(id fleet.HostID) error {
	if n == nil || (id != "" && slices.Contains(n, string(id))) {
		return nil
	}
	return fmt.Errorf("peer: the certificate is for %q and not for host %q", n, id)
}
