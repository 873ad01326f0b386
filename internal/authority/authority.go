// Package authority issues the certificates with which daemons authenticate each
// other.
//
// A mesh has one certificate authority. Each daemon has a certificate with the name of
// its slot, which is the name of its backend server in bundles. Daemons verify the
// peer's certificate on every connection, regardless of the peer's address. Certificates
// and keys are in PEM.
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
	authorityValidity = 10 * 365 * 24 * time.Hour
	slotValidity      = 2 * 365 * 24 * time.Hour
	serialNumberBits  = 120
	// clockSkew is how far the start of the validity lies in the past, since the
	// clocks of other machines may be behind.
	clockSkew = time.Hour
)

// KeyPair is a certificate and its private key.
type KeyPair struct {
	certificate, key []byte
}

// NewKeyPair returns the pair of a PEM certificate and a PEM private key.
func NewKeyPair(certificate, key []byte) KeyPair { return KeyPair{certificate: certificate, key: key} }

// Certificate returns the certificate in PEM.
func (p KeyPair) Certificate() []byte { return p.certificate }

// Key returns the private key in PEM.
func (p KeyPair) Key() []byte { return p.key }

// New creates an authority with a self-signed certificate.
func New() (KeyPair, error) {
	template, err := newTemplate("lycheehead authority", authorityValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key: %w", err)
	}
	return sign(template, template, public, private, private)
}

// Issue creates a key and a certificate for the slot of the given name.
func Issue(authority KeyPair, name string) (KeyPair, error) {
	signer, err := tls.X509KeyPair(authority.certificate, authority.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("parse authority: %w", err)
	}
	template, err := newTemplate(name, slotValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key: %w", err)
	}
	return sign(template, signer.Leaf, public, private, signer.PrivateKey)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
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
