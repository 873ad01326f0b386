package platform

import (
	"crypto/ed25519"
	"fmt"
	"sync/atomic"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// maxManifests is the number of recent manifests that a store keeps as bases of
// updates.
const maxManifests = 16

// maxRejected is the number of rejected manifests that a store remembers.
const maxRejected = 64

// Codec decodes the content of a version's parts, in the order of the manifest,
// into the type that the store's owner uses. Whether it returns an error must
// depend on its arguments alone, so that all daemons accept the same versions.
type Codec[C any] interface {
	// Decode decodes and validates the content of a version, given its number. It must
	// not modify the parts. It is called while the store is locked, so it must not
	// call the store. An error rejects the version.
	Decode(number uint64, parts [][]byte) (C, error)
}

// Snapshot is one version in force. It is immutable.
type Snapshot[C any] struct {
	manifest *Manifest
	content  C
}

// Manifest returns the version's manifest.
func (s *Snapshot[C]) Manifest() *Manifest { return s.manifest }

// Content returns the decoded content.
func (s *Snapshot[C]) Content() C { return s.content }

// OfferResult is the result of offering a version to a store.
type OfferResult uint8

// The results of an offer.
const (
	// Applied: the version is now in force.
	Applied OfferResult = iota
	// Current: the version was already in force.
	Current
	// Older: a higher version is in force.
	Older
	// MissingParts: the version cannot be validated without further parts. The offer
	// has no effect.
	MissingParts
	// Rejected: the version is invalid and has no effect.
	Rejected
)

// String returns the name of the result: "applied", "current", "older", "missing" or
// "rejected". It panics if r is none of the constants.
func (r OfferResult) String() string {
	return [...]string{"applied", "current", "older", "missing", "rejected"}[r]
}

// Store keeps the highest valid version. It is safe for concurrent use; Current and
// Version do not lock. Use NewStore to create one.
type Store[C any, D Codec[C]] struct {
	codec   D
	trusted []ed25519.PublicKey
	current atomic.Pointer[Snapshot[C]]

	// mu, of rank lock.Store, guards the fields below.
	mu        *lock.Mutex
	blobs     map[Digest][]byte
	manifests []*Manifest
	rejected  map[Digest]error
	// rejectedOrder lists the keys of rejected, oldest first.
	rejectedOrder []Digest
}

// NewStore returns a store without a version. It accepts only manifests that are
// signed by one of the trusted keys, and retains the slice.
func NewStore[C any, D Codec[C]](codec D, trusted []ed25519.PublicKey) *Store[C, D] {
	return &Store[C, D]{
		codec:    codec,
		trusted:  trusted,
		mu:       lock.New(lock.Store),
		blobs:    make(map[Digest][]byte),
		rejected: make(map[Digest]error),
	}
}

// Current returns the version in force, or nil if there is none yet.
func (s *Store[C, D]) Current() *Snapshot[C] { return s.current.Load() }

// Version returns the identity of the version in force, or the zero Version if
// there is none yet.
func (s *Store[C, D]) Version() Version {
	if cur := s.current.Load(); cur != nil {
		return cur.manifest.version
	}
	return Version{}
}

// Offer validates a signed manifest together with the content of some of its parts
// and applies it if it is valid and higher than the version in force. The blobs may
// be in any order; those of the version in force need not be included. The store
// retains the manifest and the blobs, which the caller must not modify afterwards.
//
// If the result is MissingParts, Offer returns the missing parts, and the caller must
// repeat the offer with the same blobs and those of the missing parts. If it is
// Rejected, the error wraps ErrUntrustedSigner, ErrBadSignature or the error of the
// codec; otherwise it is nil.
func (s *Store[C, D]) Offer(m *Manifest, blobs [][]byte) (OfferResult, []Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, done, err := s.precheck(m); done {
		return result, nil, err
	}
	if err := m.Verify(s.trusted); err != nil {
		return Rejected, nil, err
	}
	supplied := make(map[Digest][]byte, len(blobs))
	for _, b := range blobs {
		supplied[DigestOf(b)] = b
	}
	contents, missing := s.resolveParts(m, supplied)
	if len(missing) > 0 {
		return MissingParts, missing, nil
	}
	content, err := s.codec.Decode(m.version.number, contents)
	if err != nil {
		err = fmt.Errorf("version %d: %w", m.version.number, err)
		s.reject(m.version.digest, err)
		return Rejected, nil, err
	}
	s.apply(&Snapshot[C]{manifest: m, content: content}, contents)
	return Applied, nil, nil
}

// precheck returns the result of offers that need no validation: versions that
// were rejected before or are not higher than the one in force.
func (s *Store[C, D]) precheck(m *Manifest) (result OfferResult, done bool, err error) {
	if err, found := s.rejected[m.version.digest]; found {
		return Rejected, true, err
	}
	cur := s.current.Load()
	if cur == nil {
		return 0, false, nil
	}
	switch c := m.version.Compare(cur.manifest.version); {
	case c == 0:
		return Current, true, nil
	case c < 0:
		return Older, true, nil
	}
	return 0, false, nil
}

// resolveParts looks up the content of each part among the supplied blobs and
// those of the version in force. It also returns the parts that it did not find.
func (s *Store[C, D]) resolveParts(m *Manifest, supplied map[Digest][]byte) ([][]byte, []Part) {
	var missing []Part
	contents := make([][]byte, len(m.parts))
	for i, p := range m.parts {
		data, ok := supplied[p.digest]
		if !ok {
			data, ok = s.blobs[p.digest]
		}
		if !ok {
			missing = append(missing, p)
			continue
		}
		contents[i] = data
	}
	return contents, missing
}

func (s *Store[C, D]) apply(next *Snapshot[C], contents [][]byte) {
	s.blobs = make(map[Digest][]byte, len(contents))
	for i, p := range next.manifest.parts {
		s.blobs[p.digest] = contents[i]
	}
	s.manifests = append(s.manifests, next.manifest)
	if len(s.manifests) > maxManifests {
		s.manifests = s.manifests[1:]
	}
	s.current.Store(next)
}

func (s *Store[C, D]) reject(d Digest, err error) {
	if len(s.rejectedOrder) == maxRejected {
		delete(s.rejected, s.rejectedOrder[0])
		s.rejectedOrder = s.rejectedOrder[1:]
	}
	s.rejected[d] = err
	s.rejectedOrder = append(s.rejectedOrder, d)
}

// RejectionReasons returns the errors of the versions that the codec rejected most
// recently, up to 64, oldest first.
func (s *Store[C, D]) RejectionReasons() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.rejectedOrder))
	for _, d := range s.rejectedOrder {
		list = append(list, s.rejected[d].Error())
	}
	return list
}

// Update describes a version as changes to a base manifest, or in full if it has
// no base. It shares its slices with the store: the caller must not modify them.
type Update struct {
	manifest *Manifest
	base     Digest
	changed  []Part
	removed  []string
	blobs    [][]byte
}

// Manifest returns the manifest that results from the update.
func (u Update) Manifest() *Manifest { return u.manifest }

// Base returns the digest of the manifest that the changes apply to. If it is
// the zero digest, the changed parts are the complete list.
func (u Update) Base() Digest { return u.base }

// Changed returns the parts that differ from the base.
func (u Update) Changed() []Part { return u.changed }

// Removed returns the names of the parts that only the base has.
func (u Update) Removed() []string { return u.removed }

// Blobs returns the content of the changed parts, in the same order.
func (u Update) Blobs() [][]byte { return u.blobs }

// UpdateFrom returns the version in force as changes to the manifest with the
// base digest if the store still has that manifest, and in full otherwise. It
// returns false if no version is in force.
func (s *Store[C, D]) UpdateFrom(base Digest) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur == nil {
		return Update{}, false
	}
	u := Update{manifest: cur.manifest, changed: cur.manifest.parts}
	if m := s.findManifest(base); m != nil {
		u.base = base
		u.changed, u.removed = cur.manifest.Diff(m)
	}
	for _, p := range u.changed {
		u.blobs = append(u.blobs, s.blobs[p.digest])
	}
	return u, true
}

// Rebuild returns the unsigned manifest that results from applying changes to
// the manifest with the base digest, or from the changed parts alone if base is zero.
// The caller adds the signature that it received with Manifest.WithSignature. The
// error wraps ErrUnknownBase if the store does not have the base among its last 16
// manifests.
func (s *Store[C, D]) Rebuild(number uint64, base Digest, changed []Part, removed []string) (*Manifest, error) {
	if base == (Digest{}) {
		return NewManifest(number, changed), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.findManifest(base)
	if m == nil {
		return nil, fmt.Errorf("version %d: %w", number, ErrUnknownBase)
	}
	return m.WithChanges(number, changed, removed), nil
}

func (s *Store[C, D]) findManifest(digest Digest) *Manifest {
	for _, m := range s.manifests {
		if m.version.digest == digest {
			return m
		}
	}
	return nil
}

// PreviousDigest returns the digest of the manifest that was in force before the
// current one, or the zero digest if there is none. It is the most likely base
// of daemons that are offered an update.
func (s *Store[C, D]) PreviousDigest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifests) < 2 {
		return Digest{}
	}
	return s.manifests[len(s.manifests)-2].version.digest
}
