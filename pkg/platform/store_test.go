package platform_test

import (
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

var errInvalid = eris.New("content is bad")

// textCodec decodes the parts to their joined text and rejects the part "bad".
type textCodec struct{}

func (textCodec) Decode(_ uint64, parts [][]byte) (string, error) {
	var texts []string
	for _, p := range parts {
		if string(p) == "bad" {
			return "", errInvalid
		}
		texts = append(texts, string(p))
	}
	return strings.Join(texts, " "), nil
}

type store = platform.Store[string, textCodec]

// newKey returns a private key derived from the signer's name.
func newKey(name string) ed25519.PrivateKey {
	seed := platform.DigestOf([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func newStore() *store {
	trusted := newKey("operator").Public().(ed25519.PublicKey)
	return platform.NewStore[string](textCodec{}, []ed25519.PublicKey{trusted})
}

// newVersion returns a signed manifest and the content of its parts by name, from
// a list of NAME=CONTENT fields.
func newVersion(number uint64, signer, text string) (*platform.Manifest, map[string][]byte) {
	var parts []platform.Part
	blobs := make(map[string][]byte)
	for field := range strings.FieldsSeq(text) {
		name, content, _ := strings.Cut(field, "=")
		parts = append(parts, platform.NewPart(name, platform.DigestOf([]byte(content)), len(content)))
		blobs[name] = []byte(content)
	}
	return platform.NewManifest(number, parts).Sign(newKey(signer)), blobs
}

// TestStore runs scripts of offers to one store.
func TestStore(t *testing.T) {
	s := newStore()
	datadriven.RunTest(t, "testdata/store", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "new":
			s = newStore()
		case "offer":
			return offer(t, d, s)
		case "since":
			var number uint64
			d.ScanArgs(t, "version", &number)
			base, _ := newVersion(number, "operator", d.Input)
			u, ok := s.UpdateFrom(base.Version().Digest())
			if !ok {
				return "nothing\n"
			}
			return fmt.Sprintf("whole %t, changed %s, removed %v\n", u.Base() == platform.Digest{}, partNames(u.Changed()), u.Removed())
		}
		return ""
	})
}

// offer offers the version of a script. The argument without omits a part, and
// forged adds a part but keeps the signature of the version without it.
func offer(t *testing.T, d *datadriven.TestData, s *store) string {
	var number uint64
	signer, without, forged := "operator", "", ""
	d.ScanArgs(t, "version", &number)
	d.MaybeScanArgs(t, "signer", &signer)
	d.MaybeScanArgs(t, "without", &without)
	d.MaybeScanArgs(t, "forged", &forged)
	m, blobs := newVersion(number, signer, d.Input)
	if forged != "" {
		original := m
		m, blobs = newVersion(number, signer, d.Input+" "+forged)
		m = m.WithSignature(original.Signer(), original.Signature())
	}
	delete(blobs, without)
	result, missing, err := s.Offer(m, slices.Collect(maps.Values(blobs)))
	out := result.String()
	if len(missing) > 0 {
		out += " " + partNames(missing)
	}
	if err != nil {
		out += " (" + err.Error() + ")"
	}
	if cur := s.Current(); cur != nil {
		out += fmt.Sprintf("; in force: %d %q", cur.Manifest().Version().Number(), cur.Content())
	}
	return out + "\n"
}

func partNames(parts []platform.Part) string {
	var list []string
	for _, p := range parts {
		list = append(list, p.Name())
	}
	return strings.Join(list, ",")
}

// TestVersions checks properties of versions over random histories.
func TestVersions(t *testing.T) {
	fuzz.Run(t, "testdata/versions", map[string]fuzz.Property{"revert": neverReverts, "rebuild": changesRebuild})
}

// neverReverts offers the same versions to several stores in random orders:
// valid and invalid ones, complete or in two steps, possibly with equal numbers.
// No store may revert to a lower version, and all stores must end with the same
// version.
func neverReverts(t *rapid.T, broken bool) {
	n := rapid.IntRange(1, 12).Draw(t, "releases")
	type signedVersion struct {
		m     *platform.Manifest
		blobs [][]byte
	}
	var versions []signedVersion
	for i := range n {
		number := rapid.Uint64Range(1, 6).Draw(t, "number")
		content := rapid.SampledFrom([]string{"a=x", "a=y b=z", "a=bad", "a=x b=" + fmt.Sprint(i)}).Draw(t, "content")
		signer := rapid.SampledFrom([]string{"operator", "operator", "stranger"}).Draw(t, "signer")
		m, blobs := newVersion(number, signer, content)
		versions = append(versions, signedVersion{m, slices.Collect(maps.Values(blobs))})
	}
	var final []platform.Version
	for range 3 {
		s := newStore()
		var last platform.Version
		for _, v := range rapid.Permutation(versions).Draw(t, "order") {
			if rapid.Bool().Draw(t, "partly first") {
				_, _, _ = s.Offer(v.m, nil)
			}
			_, _, _ = s.Offer(v.m, v.blobs)
			if broken {
				// The naive variant takes the last offer as the current version.
				last = v.m.Version()
				continue
			}
			if s.Version().Compare(last) < 0 {
				t.Fatalf("store reverted from %v to %v", last, s.Version())
			}
			last = s.Version()
		}
		final = append(final, last)
	}
	if final[0] != final[1] || final[1] != final[2] {
		t.Fatalf("stores did not converge: %v", final)
	}
}

// changesRebuild checks that applying the diff of two manifests to the first
// yields the second.
func changesRebuild(t *rapid.T, _ bool) {
	draw := func(label string, number uint64) *platform.Manifest {
		content := rapid.MapOf(rapid.StringMatching("[a-f]"), rapid.StringMatching("[x-z]")).Draw(t, label)
		text := ""
		for name, v := range content {
			text += name + "=" + v + " "
		}
		m, _ := newVersion(number, "operator", text)
		return m
	}
	from, to := draw("from", 1), draw("to", 2)
	changed, removed := to.Diff(from)
	if got := from.WithChanges(2, changed, removed); got.Version() != to.Version() {
		t.Fatalf("rebuilt %v, want %v", got.Version(), to.Version())
	}
}
