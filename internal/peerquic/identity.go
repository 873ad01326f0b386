package peerquic

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/quic-go/quic-go"
)

// alpnProtocol identifies the protocol and its version in the TLS handshake.
const alpnProtocol = "lycheehead/1"

// Identity is the certificate and private key of a slot and the certificate of the mesh's
// certificate authority. It is immutable.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	resetKey    quic.StatelessResetKey
}

// NewIdentity parses an identity from PEM data. It fails if key does not belong to
// certificate or if authority contains no certificate.
func NewIdentity(authority, certificate, key []byte) (*Identity, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("parse certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("parse certificate authority: %w", x509.IncorrectPasswordError)
	}
	id := &Identity{certificate: pair, authority: pool}
	// The stateless reset key is the same after a restart, so that a restarted
	// daemon can reset the connections that its peers still hold.
	id.resetKey = quic.StatelessResetKey(sha256.Sum256(append([]byte("reset"), key...)))
	return id, nil
}

// serverConfig returns the TLS configuration for incoming connections.
func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.certificate},
		ClientCAs:    id.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpnProtocol},
	}
}

// clientConfig returns the TLS configuration for dialing the slot with the given
// name. The certificate is verified against that name rather than the address, as
// IP addresses change.
func (id *Identity) clientConfig(name string, sessions tls.ClientSessionCache) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.certificate},
		RootCAs:            id.authority,
		ServerName:         name,
		NextProtos:         []string{alpnProtocol},
		ClientSessionCache: sessions,
	}
}
