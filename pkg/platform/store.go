package platform

import (
	"crypto/ed25519"
	"fmt"
	"sync/atomic"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// history is how many manifests a store keeps to work out changes from.
const history = 16

// rejections is how many rejected manifests a store remembers.
const rejections = 64

// Codec turns the content of a version's parts, by the manifest's order, into
// what the owner of the store uses. Its verdict may depend on the content
// alone.
type Codec[C any] interface {
	Decode(number uint64, parts [][]byte) (C, error)
}

// Snapshot is one version in force. It does not change.
type Snapshot[C any] struct {
	manifest *Manifest
	content  C
}

// Manifest returns the version's manifest.
func (s *Snapshot[C]) Manifest() *Manifest { return s.manifest }

// Content returns the decoded content.
func (s *Snapshot[C]) Content() C { return s.content }

// OfferResult says what became of an offer.
type OfferResult uint8

// The verdicts.
const (
	// Applied: the version is now in force.
	Applied OfferResult = iota
	// Current: the version was in force already.
	Current
	// Older: a higher version is in force.
	Older
	// MissingParts: parts are needed before the version can be judged.
	MissingParts
	// Rejected: the version is bad and changes nothing.
	Rejected
)

// String returns the verdict's name.
func (v OfferResult) String() string {
	return [...]string{"applied", "current", "older", "missing", "rejected"}[v]
}

// Store keeps the highest good version. Make one with NewStore.
type Store[C any, D Codec[C]] struct {
	codec   D
	trusted []ed25519.PublicKey
	current atomic.Pointer[Snapshot[C]]

	// mu, of rank lock.Store, guards what follows.
	mu       *lock.Mutex
	blobs    map[Digest][]byte
	past     []*Manifest
	rejected map[Digest]error
	refusals []Digest
}

// NewStore returns a store without a version. Only sign-offs of the trusted
// keys count.
func NewStore[C any, D Codec[C]](codec D, trusted []ed25519.PublicKey) *Store[C, D] {
	return &Store[C, D]{
		codec:    codec,
		trusted:  trusted,
		mu:       lock.New(lock.Store),
		blobs:    make(map[Digest][]byte),
		rejected: make(map[Digest]error),
	}
}

// Current returns the version in force, or nil before the first.
func (s *Store[C, D]) Current() *Snapshot[C] { return s.current.Load() }

// Version returns the place of the version in force, zero before the first.
func (s *Store[C, D]) Version() Version {
	if cur := s.current.Load(); cur != nil {
		return cur.manifest.version
	}
	return Version{}
}

// Offer judges a manifest with some of its parts. Where parts are still
// missing it names them, and the offer is to be made again with them.
func (s *Store[C, D]) Offer(m *Manifest, blobs [][]byte) (OfferResult, []Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict, done, err := s.known(m); done {
		return verdict, nil, err
	}
	if err := m.Verify(s.trusted); err != nil {
		return Rejected, nil, err
	}
	given := make(map[Digest][]byte, len(blobs))
	for _, b := range blobs {
		given[DigestOf(b)] = b
	}
	contents, missing := s.collect(m, given)
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

// known settles offers that need no further look.
func (s *Store[C, D]) known(m *Manifest) (verdict OfferResult, done bool, err error) {
	if err, bad := s.rejected[m.version.digest]; bad {
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

// collect finds the content of each part among the given and the held ones.
func (s *Store[C, D]) collect(m *Manifest, given map[Digest][]byte) ([][]byte, []Part) {
	var missing []Part
	contents := make([][]byte, len(m.parts))
	for i, p := range m.parts {
		data, ok := given[p.digest]
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
	s.past = append(s.past, next.manifest)
	if len(s.past) > history {
		s.past = s.past[1:]
	}
	s.current.Store(next)
}

func (s *Store[C, D]) reject(d Digest, err error) {
	if len(s.refusals) == rejections {
		delete(s.rejected, s.refusals[0])
		s.refusals = s.refusals[1:]
	}
	s.rejected[d] = err
	s.refusals = append(s.refusals, d)
}

// RejectionReasons returns why the remembered bad versions were rejected.
func (s *Store[C, D]) RejectionReasons() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.refusals))
	for _, d := range s.refusals {
		list = append(list, s.rejected[d].Error())
	}
	return list
}

// Update is a version as changes to a base, or whole where there is no base.
type Update struct {
	manifest *Manifest
	base     Digest
	changed  []Part
	removed  []string
	blobs    [][]byte
}

// Manifest returns the manifest that the update leads to.
func (u Update) Manifest() *Manifest { return u.manifest }

// Base returns the digest of the manifest that the changes apply to; the zero
// digest says that the changes are the whole list.
func (u Update) Base() Digest { return u.base }

// Changed returns the parts that differ from the base.
func (u Update) Changed() []Part { return u.changed }

// Removed returns the names of the parts that only the base has.
func (u Update) Removed() []string { return u.removed }

// Blobs returns the content of the changed parts, in their order.
func (u Update) Blobs() [][]byte { return u.blobs }

// UpdateFrom returns the version in force as changes to the manifest with the base
// digest where the store still knows it, else whole. There is none where the
// store has no version.
func (s *Store[C, D]) UpdateFrom(base Digest) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur == nil {
		return Update{}, false
	}
	u := Update{manifest: cur.manifest, changed: cur.manifest.parts}
	if known := s.find(base); known != nil {
		u.base = base
		u.changed, u.removed = cur.manifest.Diff(known)
	}
	for _, p := range u.changed {
		u.blobs = append(u.blobs, s.blobs[p.digest])
	}
	return u, true
}

// Rebuild returns the unsigned manifest that changes to a base lead to.
func (s *Store[C, D]) Rebuild(number uint64, base Digest, changed []Part, removed []string) (*Manifest, error) {
	if base == (Digest{}) {
		return NewManifest(number, changed), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.find(base)
	if known == nil {
		return nil, fmt.Errorf("version %d: %w", number, ErrUnknownBase)
	}
	return known.WithChanges(number, changed, removed), nil
}

func (s *Store[C, D]) find(digest Digest) *Manifest {
	for _, m := range s.past {
		if m.version.digest == digest {
			return m
		}
	}
	return nil
}

// PreviousDigest returns the digest of the manifest before the one in force, to offer
// changes to daemons that most likely hold it; zero where there is none.
func (s *Store[C, D]) PreviousDigest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.past) < 2 {
		return Digest{}
	}
	return s.past[len(s.past)-2].version.digest
}
