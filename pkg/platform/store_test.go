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

var errBad = eris.New("content is bad")

// words is a codec whose content is the parts' text; "bad" is not valid.
type words struct{}

func (words) Decode(_ uint64, parts [][]byte) (string, error) {
	var all []string
	for _, p := range parts {
		if string(p) == "bad" {
			return "", errBad
		}
		all = append(all, string(p))
	}
	return strings.Join(all, " "), nil
}

type store = platform.Store[string, words]

// key returns the key pair of a signer.
func key(name string) ed25519.PrivateKey {
	seed := platform.DigestOf([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func newStore() *store {
	trusted := key("operator").Public().(ed25519.PublicKey)
	return platform.NewStore[string](words{}, []ed25519.PublicKey{trusted})
}

// release is a version as tests write it: name=text parts.
func release(number uint64, signer, text string) (*platform.Manifest, map[string][]byte) {
	var parts []platform.Part
	blobs := make(map[string][]byte)
	for field := range strings.FieldsSeq(text) {
		name, content, _ := strings.Cut(field, "=")
		parts = append(parts, platform.NewPart(name, platform.DigestOf([]byte(content)), len(content)))
		blobs[name] = []byte(content)
	}
	return platform.NewManifest(number, parts).Sign(key(signer)), blobs
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
			base, _ := release(number, "operator", d.Input)
			u, ok := s.UpdateFrom(base.Version().Digest())
			if !ok {
				return "nothing\n"
			}
			return fmt.Sprintf("whole %t, changed %s, removed %v\n", u.Base() == platform.Digest{}, names(u.Changed()), u.Removed())
		}
		return ""
	})
}

func offer(t *testing.T, d *datadriven.TestData, s *store) string {
	var number uint64
	signer, without, forged := "operator", "", ""
	d.ScanArgs(t, "version", &number)
	d.MaybeScanArgs(t, "signer", &signer)
	d.MaybeScanArgs(t, "without", &without)
	d.MaybeScanArgs(t, "forged", &forged)
	m, blobs := release(number, signer, d.Input)
	if forged != "" {
		stolen := m
		m, blobs = release(number, signer, d.Input+" "+forged)
		m = m.WithSignature(stolen.Signer(), stolen.Signature())
	}
	delete(blobs, without)
	verdict, missing, err := s.Offer(m, slices.Collect(maps.Values(blobs)))
	out := verdict.String()
	if len(missing) > 0 {
		out += " " + names(missing)
	}
	if err != nil {
		out += " (" + err.Error() + ")"
	}
	if cur := s.Current(); cur != nil {
		out += fmt.Sprintf("; in force: %d %q", cur.Manifest().Version().Number(), cur.Content())
	}
	return out + "\n"
}

func names(parts []platform.Part) string {
	var list []string
	for _, p := range parts {
		list = append(list, p.Name())
	}
	return strings.Join(list, ",")
}

// TestVersions runs properties of versions over random histories.
func TestVersions(t *testing.T) {
	fuzz.Run(t, "testdata/versions", map[string]fuzz.Property{"revert": neverReverts, "rebuild": changesRebuild})
}

// neverReverts offers versions to several stores in random orders, good
// and bad ones, whole and in parts, two of one number among them. No store may
// go back, and all that heard everything must end with the same version.
func neverReverts(t *rapid.T, broken bool) {
	n := rapid.IntRange(1, 12).Draw(t, "releases")
	type offered struct {
		m     *platform.Manifest
		blobs [][]byte
	}
	var all []offered
	for i := range n {
		number := rapid.Uint64Range(1, 6).Draw(t, "number")
		content := rapid.SampledFrom([]string{"a=x", "a=y b=z", "a=bad", "a=x b=" + fmt.Sprint(i)}).Draw(t, "content")
		signer := rapid.SampledFrom([]string{"operator", "operator", "stranger"}).Draw(t, "signer")
		m, blobs := release(number, signer, content)
		all = append(all, offered{m, slices.Collect(maps.Values(blobs))})
	}
	var ends []platform.Version
	for range 3 {
		s := newStore()
		var last platform.Version
		for _, o := range rapid.Permutation(all).Draw(t, "order") {
			if rapid.Bool().Draw(t, "partly first") {
				_, _, _ = s.Offer(o.m, nil)
			}
			_, _, _ = s.Offer(o.m, o.blobs)
			if broken {
				// The naive version goes by the last offer.
				last = o.m.Version()
				continue
			}
			if s.Version().Compare(last) < 0 {
				t.Fatalf("went back from %v to %v", last, s.Version())
			}
			last = s.Version()
		}
		ends = append(ends, last)
	}
	if ends[0] != ends[1] || ends[1] != ends[2] {
		t.Fatalf("stores ended apart: %v", ends)
	}
}

// changesRebuild checks that changes to a base lead to the very manifest.
func changesRebuild(t *rapid.T, _ bool) {
	draw := func(label string, number uint64) *platform.Manifest {
		content := rapid.MapOf(rapid.StringMatching("[a-f]"), rapid.StringMatching("[x-z]")).Draw(t, label)
		text := ""
		for name, v := range content {
			text += name + "=" + v + " "
		}
		m, _ := release(number, "operator", text)
		return m
	}
	from, to := draw("from", 1), draw("to", 2)
	changed, removed := to.Diff(from)
	if got := from.WithChanges(2, changed, removed); got.Version() != to.Version() {
		t.Fatalf("rebuilt %v, want %v", got.Version(), to.Version())
	}
}
