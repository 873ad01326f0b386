package peerquic

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/quic-go/quic-go"
)

// protocol names the protocol and its version in the TLS handshake.
const protocol = "lycheehead/1"

// Identity is a slot's certificate and the mesh's authority.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	reset       quic.StatelessResetKey
}

// NewIdentity reads an identity from PEM texts.
func NewIdentity(authority, certificate, key []byte) (*Identity, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("read certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("read authority: %w", x509.IncorrectPasswordError)
	}
	id := &Identity{certificate: pair, authority: pool}
	// The key survives a restart, so that a restarted daemon can tell the
	// others at once that their connections are gone.
	id.reset = quic.StatelessResetKey(sha256.Sum256(append([]byte("reset"), key...)))
	return id, nil
}

func (id *Identity) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.certificate},
		ClientCAs:    id.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
	}
}

// client returns the settings to dial the slot of the given name. Addresses
// are IP numbers that change, so the slot's name is what is verified.
func (id *Identity) client(name string, sessions tls.ClientSessionCache) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.certificate},
		RootCAs:            id.authority,
		ServerName:         name,
		NextProtos:         []string{protocol},
		ClientSessionCache: sessions,
	}
}
