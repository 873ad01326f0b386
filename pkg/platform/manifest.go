package platform

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// Digest is a SHA-256.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// DigestFromBytes returns the digest whose bytes are b; a slice of another length
// gives the zero digest, which matches no content.
func DigestFromBytes(b []byte) Digest {
	var d Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Version is a place in the order of versions.
type Version struct {
	number uint64
	digest Digest
}

// NewVersion returns the version with a number and a manifest's digest.
func NewVersion(number uint64, digest Digest) Version {
	return Version{number: number, digest: digest}
}

// Number returns the number that the operator gave.
func (v Version) Number() uint64 { return v.number }

// Digest returns the manifest's digest.
func (v Version) Digest() Digest { return v.digest }

// Compare orders versions by number and then by digest.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.number, w.number), bytes.Compare(v.digest[:], w.digest[:]))
}

// Part names one value of a version.
type Part struct {
	name   string
	digest Digest
	size   int
}

// NewPart returns the part of the given name, digest and size in bytes.
func NewPart(name string, digest Digest, size int) Part {
	return Part{name: name, digest: digest, size: size}
}

// Name returns the name, which is the same from version to version.
func (p Part) Name() string { return p.name }

// Digest returns the digest of the content.
func (p Part) Digest() Digest { return p.digest }

// Size returns the size of the content in bytes.
func (p Part) Size() int { return p.size }

// Manifest lists the parts of a version. It does not change once made.
type Manifest struct {
	version   Version
	parts     []Part
	signer    ed25519.PublicKey
	signature []byte
}

// NewManifest returns the unsigned manifest of a version number and its parts.
func NewManifest(number uint64, parts []Part) *Manifest {
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b Part) int { return cmp.Compare(a.name, b.name) })
	m := &Manifest{parts: sorted}
	m.version = Version{number: number, digest: DigestOf(canonical(number, sorted))}
	return m
}

// Version returns the manifest's place in the order.
func (m *Manifest) Version() Version { return m.version }

// Parts returns the parts by name. The slice is not to be changed.
func (m *Manifest) Parts() []Part { return m.parts }

// Signer returns the public key of the sign-off.
func (m *Manifest) Signer() ed25519.PublicKey { return m.signer }

// Signature returns the sign-off.
func (m *Manifest) Signature() []byte { return m.signature }

// Sign returns m with the sign-off of key.
func (m *Manifest) Sign(key ed25519.PrivateKey) *Manifest {
	digest := m.version.digest
	return m.WithSignature(key.Public().(ed25519.PublicKey), ed25519.Sign(key, digest[:]))
}

// WithSignature returns m with a sign-off that was made before.
func (m *Manifest) WithSignature(signer ed25519.PublicKey, signature []byte) *Manifest {
	signed := *m
	signed.signer = signer
	signed.signature = signature
	return &signed
}

// Verify checks that one of the trusted keys signed m.
func (m *Manifest) Verify(trusted []ed25519.PublicKey) error {
	known := slices.ContainsFunc(trusted, func(k ed25519.PublicKey) bool { return k.Equal(m.signer) })
	if !known {
		return fmt.Errorf("version %d: %w", m.version.number, ErrUntrustedSigner)
	}
	if !ed25519.Verify(m.signer, m.version.digest[:], m.signature) {
		return fmt.Errorf("version %d: %w", m.version.number, ErrBadSignature)
	}
	return nil
}

// Diff returns the parts of m that base lacks or has otherwise, and the
// names of those that only base has.
func (m *Manifest) Diff(base *Manifest) (changed []Part, removed []string) {
	before := make(map[string]Part, len(base.parts))
	for _, p := range base.parts {
		before[p.name] = p
	}
	for _, p := range m.parts {
		if before[p.name] != p {
			changed = append(changed, p)
		}
		delete(before, p.name)
	}
	for name := range before {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// WithChanges returns the unsigned manifest that differs from m by the given parts.
func (m *Manifest) WithChanges(number uint64, changed []Part, removed []string) *Manifest {
	parts := make(map[string]Part, len(m.parts))
	for _, p := range m.parts {
		parts[p.name] = p
	}
	for _, name := range removed {
		delete(parts, name)
	}
	for _, p := range changed {
		parts[p.name] = p
	}
	list := make([]Part, 0, len(parts))
	for _, p := range parts {
		list = append(list, p)
	}
	return NewManifest(number, list)
}

// canonical writes a manifest in the one form that is digested and signed, so
// that no encoding of messages has to be stable.
func canonical(number uint64, parts []Part) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "lycheehead manifest\nversion %d\n", number)
	for _, p := range parts {
		fmt.Fprintf(&b, "part %q %s %d\n", p.name, p.digest, p.size)
	}
	return b.Bytes()
}
