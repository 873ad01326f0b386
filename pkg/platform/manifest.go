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

// Digest is a SHA-256 digest. The zero value stands for no digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// DigestFromBytes returns the digest whose bytes are b. If b has another length,
// it returns the zero digest, which matches no content.
func DigestFromBytes(b []byte) Digest {
	var d Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Version identifies a version and its position in the order of versions. The zero
// value is lower than all versions.
type Version struct {
	number uint64
	digest Digest
}

// NewVersion returns the version with the given number and manifest digest.
func NewVersion(number uint64, digest Digest) Version {
	return Version{number: number, digest: digest}
}

// Number returns the number assigned by the operator.
func (v Version) Number() uint64 { return v.number }

// Digest returns the digest of the version's manifest.
func (v Version) Digest() Digest { return v.digest }

// Compare orders versions by number and then by digest. It returns a negative number
// if v is lower than w, a positive number if it is higher, and 0 if they are equal.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.number, w.number), bytes.Compare(v.digest[:], w.digest[:]))
}

// Part describes one part of a version's content, without the content itself.
type Part struct {
	name   string
	digest Digest
	size   int
}

// NewPart returns a part with the given name, content digest and size in bytes.
func NewPart(name string, digest Digest, size int) Part {
	return Part{name: name, digest: digest, size: size}
}

// Name returns the name, which stays the same across versions.
func (p Part) Name() string { return p.name }

// Digest returns the digest of the content.
func (p Part) Digest() Digest { return p.digest }

// Size returns the size of the content in bytes.
func (p Part) Size() int { return p.size }

// Manifest lists the parts of a version. It is immutable.
type Manifest struct {
	version   Version
	parts     []Part
	signer    ed25519.PublicKey
	signature []byte
}

// NewManifest returns an unsigned manifest for a version number and its parts, whose
// names must be distinct. It does not retain the slice.
func NewManifest(number uint64, parts []Part) *Manifest {
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b Part) int { return cmp.Compare(a.name, b.name) })
	m := &Manifest{parts: sorted}
	m.version = Version{number: number, digest: DigestOf(canonical(number, sorted))}
	return m
}

// Version returns the version that the manifest describes.
func (m *Manifest) Version() Version { return m.version }

// Parts returns the parts, sorted by name. The caller must not modify the slice.
func (m *Manifest) Parts() []Part { return m.parts }

// Signer returns the public key of the signer, or nil if the manifest is not signed.
// The caller must not modify it.
func (m *Manifest) Signer() ed25519.PublicKey { return m.signer }

// Signature returns the Ed25519 signature of the manifest's digest, or nil if the
// manifest is not signed. The caller must not modify it.
func (m *Manifest) Signature() []byte { return m.signature }

// Sign returns a copy of m signed with key.
func (m *Manifest) Sign(key ed25519.PrivateKey) *Manifest {
	digest := m.version.digest
	return m.WithSignature(key.Public().(ed25519.PublicKey), ed25519.Sign(key, digest[:]))
}

// WithSignature returns a copy of m with an existing signature. It does not
// verify the signature. The copy retains the slices.
func (m *Manifest) WithSignature(signer ed25519.PublicKey, signature []byte) *Manifest {
	signed := *m
	signed.signer = signer
	signed.signature = signature
	return &signed
}

// Verify checks that m has a valid signature by one of the trusted keys. The error
// wraps ErrUntrustedSigner or ErrBadSignature.
func (m *Manifest) Verify(trusted []ed25519.PublicKey) error {
	isTrusted := slices.ContainsFunc(trusted, func(k ed25519.PublicKey) bool { return k.Equal(m.signer) })
	if !isTrusted {
		return fmt.Errorf("version %d: %w", m.version.number, ErrUntrustedSigner)
	}
	if !ed25519.Verify(m.signer, m.version.digest[:], m.signature) {
		return fmt.Errorf("version %d: %w", m.version.number, ErrBadSignature)
	}
	return nil
}

// Diff returns the parts of m that are missing from base or differ there, and
// the names of the parts that only base has, both sorted by name.
func (m *Manifest) Diff(base *Manifest) (changed []Part, removed []string) {
	baseOnly := make(map[string]Part, len(base.parts))
	for _, p := range base.parts {
		baseOnly[p.name] = p
	}
	for _, p := range m.parts {
		if baseOnly[p.name] != p {
			changed = append(changed, p)
		}
		delete(baseOnly, p.name)
	}
	for name := range baseOnly {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// WithChanges returns an unsigned manifest for a version number, with the parts of m
// after the given changes and removals. It is the inverse of Diff.
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

// canonical returns the serialization of a manifest that is hashed and signed.
// It is independent of the wire format, whose encoding need not be stable.
func canonical(number uint64, parts []Part) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "lycheehead manifest\nversion %d\n", number)
	for _, p := range parts {
		fmt.Fprintf(&b, "part %q %s %d\n", p.name, p.digest, p.size)
	}
	return b.Bytes()
}
