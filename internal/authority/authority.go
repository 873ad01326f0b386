// Package authority issues the certificates by which daemons know each other.
//
// A mesh has one authority. Each slot has a certificate that names it, which
// other daemons check at every connection, whatever the address. Texts are PEM.
package authority

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

const (
	// authorityLife and slotLife are how long certificates are valid.
	authorityLife = 10 * 365 * 24 * time.Hour
	slotLife      = 2 * 365 * 24 * time.Hour
	// serialBits is the size of a serial number.
	serialBits = 120
	// backdate allows for clocks that differ.
	backdate = time.Hour
)

// KeyPair is a certificate and its private key.
type KeyPair struct {
	certificate, key []byte
}

// NewKeyPair returns the pair with the given texts.
func NewKeyPair(certificate, key []byte) KeyPair { return KeyPair{certificate: certificate, key: key} }

// Certificate returns the certificate's text.
func (p KeyPair) Certificate() []byte { return p.certificate }

// Key returns the private key's text.
func (p KeyPair) Key() []byte { return p.key }

// New makes an authority.
func New() (KeyPair, error) {
	template, err := newTemplate("lycheehead authority", authorityLife)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("make key: %w", err)
	}
	return sign(template, template, public, private, private)
}

// Issue makes the certificate of the slot of the given name.
func Issue(authority KeyPair, name string) (KeyPair, error) {
	signer, err := tls.X509KeyPair(authority.certificate, authority.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("read authority: %w", err)
	}
	template, err := newTemplate(name, slotLife)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("make key: %w", err)
	}
	return sign(template, signer.Leaf, public, private, signer.PrivateKey)
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(life),
	}, nil
}

func sign(template, parent *x509.Certificate, public ed25519.PublicKey, private ed25519.PrivateKey, signer any) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate: %w", err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key: %w", err)
	}
	return KeyPair{
		certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	}, nil
}
